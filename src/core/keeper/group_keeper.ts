/**
 * Looks after all replica groups on the acting node.
 *
 * @module
 */
import type { EventLog } from "../../base/event_log.ts";
import type { Timers } from "../../base/timers.ts";
import type { HostControl } from "../../ports/host_control.ts";
import type { EngineSpec, ServiceSpec } from "../../world/catalog.ts";
import type { Membership, ServingHost } from "../../world/serving_host.ts";
import type { CatalogHolder } from "../catalog/catalog_holder.ts";
import type { Doubt, Evidence } from "../fleet/evidence.ts";
import type { HostRegistry } from "../fleet/host_registry.ts";
import { CommandDesk } from "./command_desk.ts";
import { GroupFormer } from "./group_former.ts";
import { GroupTender } from "./group_tender.ts";
import type { HostBelief } from "./host_ledger.ts";
import { HostLedger } from "./host_ledger.ts";
import { collectGroups, isSound, isSpread } from "./kept_group.ts";
import type { FreeHost } from "./layout.ts";
import { planLayout } from "./layout.ts";
import { LoadCeiling } from "./load_ceiling.ts";
import { StepPacer } from "./step_pacer.ts";

const TICK_MS = 100;
const FORGET_MS = 10_000;
/** Changes that come together are looked at together. */
const SETTLE_MS = 10;
/** Before traffic, nothing is formed while hosts are still being announced. */
const START_SETTLE_MS = 1_000;
/** Part of an engine's time that demand may fill. */
const USABLE_SHARE = 0.7;
/** Pause between two questions to a host that was silent. */
const REASK_MS = 500;

/** What the keeper works with. */
export interface GroupKeeperParts {
  readonly timers: Timers;
  readonly control: HostControl;
  readonly hosts: HostRegistry;
  readonly evidence: Evidence;
  readonly catalog: CatalogHolder;
  readonly zonesOut: ReadonlySet<string>;
  readonly log: EventLog;
  readonly isActing: () => boolean;
  /** Whether hosts' announcements can't be read at present. */
  readonly isStoreLost: () => boolean;
  /** Engine milliseconds asked for per second, by model, by all callers. */
  readonly demand: () => ReadonlyMap<string, number>;
  /** Told when a doubted group was found whole. */
  readonly onFoundWhole: (key: string) => void;
  readonly loadWindowMs: number;
}

/** Keeps the replica groups of all services with engines. */
export class GroupKeeper {
  readonly #parts: GroupKeeperParts;
  readonly #ledger: HostLedger;
  readonly #desk: CommandDesk;
  readonly #ceiling: LoadCeiling;
  readonly #observed = new Map<string, ServingHost>();
  readonly #freeSince = new Map<string, number>();
  readonly #pacer = new StepPacer();
  readonly #former: GroupFormer;
  readonly #tender: GroupTender;
  #term = 0;
  #hostCount = 0;
  #countedAt = 0;
  #isLearned = false;
  #lookScheduled = false;

  constructor(parts: GroupKeeperParts) {
    this.#parts = parts;
    const { timers, control, log, isActing } = parts;
    this.#ledger = new HostLedger(parts.isStoreLost);
    this.#desk = new CommandDesk({
      timers,
      control,
      ledger: this.#ledger,
      log,
      isActing,
    });
    this.#ceiling = new LoadCeiling(parts.loadWindowMs);
    const shared = {
      desk: this.#desk,
      pacer: this.#pacer,
      log,
      onChange: () => this.#lookSoon(),
    };
    this.#former = new GroupFormer({
      ...shared,
      ledger: this.#ledger,
      ceiling: this.#ceiling,
      hosts: parts.hosts,
      hasTraffic: () => this.#hasTraffic,
    });
    this.#tender = new GroupTender({
      ...shared,
      former: this.#former,
      isStoreLost: parts.isStoreLost,
    });
  }

  /** Begins to look; nothing is done while another node acts. */
  start(): void {
    this.#parts.hosts.onChange(() => this.#lookSoon());
    this.#parts.timers.subscribe(TICK_MS, () => this.#look());
    this.#parts.timers.subscribe(FORGET_MS, () => this.#forget());
  }

  /** This node acts from now on: learns every host's state first. */
  async gained(term: number): Promise<void> {
    this.#term = term;
    this.#former.beginTerm(term);
    this.#isLearned = false;
    const hosts = this.#engineHosts();
    await Promise.all(hosts.map((host) => this.#desk.refresh(host)));
    if (this.#term !== term) return;
    this.#isLearned = true;
    this.#lookSoon();
  }

  /** Looks into a new doubt at once. */
  doubted(doubt: Doubt): void {
    if (this.#parts.isActing()) this.#probe(doubt.key);
  }

  /** Asks every member of a doubted group whether it lives. */
  async #probe(key: string): Promise<void> {
    const group = this.#parts.hosts.groups.get(key);
    const now = this.#parts.timers.now();
    if (group === undefined || !this.#pacer.mayTry(`probe ${key}`, now)) return;
    const lives = (host: ServingHost) => !this.#ledger.belief(host, now).isDead;
    if (!group.members.some(lives)) return;
    const answers = await Promise.all(
      group.members.map((host) => this.#desk.refresh(host)),
    );
    this.#parts.log.info("group_probed", {
      upstream: key,
      members: group.members.map((host) => host.id),
      answers,
    });
    const isWhole = answers.every((answered) => answered) &&
      group.state === "open";
    if (isWhole) this.#parts.onFoundWhole(key);
    this.#look();
  }

  #engineHosts(): ServingHost[] {
    return [...this.#parts.hosts.hosts()].filter((host) =>
      this.#engineOf(host.service) !== undefined
    );
  }

  #engineOf(service: string): EngineSpec | undefined {
    return this.#parts.catalog.inForce?.services.get(service)?.engine;
  }

  #lookSoon(): void {
    if (this.#lookScheduled || !this.#parts.isActing()) return;
    this.#lookScheduled = true;
    this.#parts.timers.after(SETTLE_MS, () => {
      this.#lookScheduled = false;
      this.#look();
    });
  }

  #look(): void {
    if (!this.#parts.isActing() || !this.#isLearned) return;
    const inForce = this.#parts.catalog.inForce;
    if (inForce === undefined) return;
    this.#ledger.retain(
      new Set([...this.#parts.hosts.hosts()].map((h) => h.id)),
    );
    this.#reaskSilent();
    for (const key of this.#parts.evidence.doubted()) this.#probe(key);
    for (const service of inForce.services.values()) {
      if (service.engine !== undefined) this.#lookAt(service, service.engine);
    }
  }

  /** Hosts that were silent may only have been cut off for a moment. */
  #reaskSilent(): void {
    const now = this.#parts.timers.now();
    for (const host of this.#engineHosts()) {
      if (!this.#ledger.belief(host, now).isDead) continue;
      if (!this.#pacer.mayTry(`ask ${host.id}`, now, REASK_MS)) continue;
      this.#desk.refresh(host).then((answered) => {
        if (answered) this.#lookSoon();
      });
    }
  }

  #lookAt(service: ServiceSpec, engine: EngineSpec): void {
    const now = this.#parts.timers.now();
    if (this.#parts.isStoreLost()) this.#tellObserved(service.name, now);
    const beliefs = this.#parts.hosts.ofService(service.name).map((host) =>
      this.#ledger.belief(host, now)
    );
    const groups = collectGroups(
      beliefs,
      engine,
      (key) => this.#former.modelOf(key),
    );
    const kept = new Set<string>();
    const farOf = new Map<string, string>();
    for (const group of groups) {
      this.#tender.tend(group, now);
      const isFar = isSpread(group) && isSound(group);
      for (const { host } of group.members) {
        if (isFar) farOf.set(host.id, group.key);
        else kept.add(host.id);
      }
    }
    const free = beliefs.filter((belief) =>
      !kept.has(belief.host.id) && this.#isUsable(belief) &&
      !this.#desk.isBusy(belief.host.id)
    );
    this.#noteFree(free, now);
    if (!this.#isSettled(beliefs.length, now)) return;
    const steps = planLayout({
      models: engine.models,
      free: free.map((belief) =>
        this.#toFree(belief, farOf.get(belief.host.id), now)
      ),
      groups: groups.filter((g) => isSound(g)).map((group) => ({
        model: group.model?.name ?? "",
        domain: isSpread(group) ? "" : group.members[0].host.domain,
      })),
      needed: this.#needed(engine),
      hostsOf: domainSizes(beliefs.filter((b) => this.#isUsable(b))),
      loadsAreCheap: !this.#hasTraffic,
      loadRoom: this.#ceiling.room(engine, now),
    });
    for (const step of steps) {
      if (step.kind === "reclaim") {
        this.#tender.reclaim(step.farGroups, groups, now);
      } else {
        this.#former.execute(step, engine, now);
      }
    }
  }

  /** Forgets what belongs to groups that are gone. */
  #forget(): void {
    const keys = new Set(this.#parts.hosts.groups.keys());
    this.#former.retain(keys);
    this.#tender.retain(keys);
    this.#pacer.expire(this.#parts.timers.now());
  }

  /** Without the store, what commands and reports show is announced here. */
  #tellObserved(service: string, now: number): void {
    for (const host of [...this.#parts.hosts.ofService(service)]) {
      const observed = this.#ledger.observed(host, now);
      if (isSameState(observed.membership, host.membership)) continue;
      this.#observed.set(host.id, observed);
      this.#parts.hosts.announce(observed, now);
    }
  }

  /** Hosts whose state the store has not told, for peers. */
  observed(): readonly ServingHost[] {
    if (!this.#parts.isStoreLost()) this.#observed.clear();
    return [...this.#observed.values()];
  }

  /** Whether all hosts that start together have been announced. */
  #isSettled(hostCount: number, now: number): boolean {
    if (hostCount !== this.#hostCount) {
      this.#hostCount = hostCount;
      this.#countedAt = now;
    }
    return this.#hasTraffic || now - this.#countedAt >= START_SETTLE_MS;
  }

  #toFree(
    belief: HostBelief,
    farGroup: string | undefined,
    now: number,
  ): FreeHost {
    const { host, membership, staging } = belief;
    const isJoining = membership?.state === "joining";
    return {
      id: host.id,
      domain: host.domain,
      hotModel: isJoining ? undefined : belief.lastModel,
      staged: staging === undefined ? host.staged : [staging],
      isLoading: staging !== undefined || isJoining,
      comingModel: staging ?? (isJoining ? belief.lastModel : undefined),
      isCold: this.#parts.hosts.coldUntil(host.id) > now,
      zone: host.zone,
      farGroup,
      idleMs: now - (this.#freeSince.get(host.id) ?? now),
    };
  }

  /** Notes since when hosts are free. */
  #noteFree(beliefs: readonly HostBelief[], now: number): void {
    const ids = new Set(beliefs.map(({ host }) => host.id));
    for (const id of this.#freeSince.keys()) {
      if (!ids.has(id)) this.#freeSince.delete(id);
    }
    for (const id of ids) {
      if (!this.#freeSince.has(id)) this.#freeSince.set(id, now);
    }
  }

  get #hasTraffic(): boolean {
    for (const ms of this.#parts.demand().values()) if (ms > 0) return true;
    return false;
  }

  /** Groups that the measured demand fills, or by declared shares before it. */
  #needed(engine: EngineSpec): Map<string, number> {
    const demand = this.#parts.demand();
    const needed = new Map<string, number>();
    for (const model of engine.models) {
      const measured = (demand.get(model.name) ?? 0) / 1_000 / USABLE_SHARE;
      const declared = model.share / model.size;
      needed.set(model.name, this.#hasTraffic ? measured : declared);
    }
    return needed;
  }

  #isUsable(belief: HostBelief): boolean {
    const { host } = belief;
    return !belief.isDead && !host.draining &&
      !this.#parts.zonesOut.has(host.zone);
  }
}

function isSameState(
  a: Membership | undefined,
  b: Membership | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.group === b.group && a.epoch === b.epoch && a.state === b.state;
}

function domainSizes(beliefs: readonly HostBelief[]): Map<string, number> {
  const sizes = new Map<string, number>();
  for (const { host } of beliefs) {
    sizes.set(host.domain, (sizes.get(host.domain) ?? 0) + 1);
  }
  return sizes;
}
