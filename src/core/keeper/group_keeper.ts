/**
 * Forms, opens, repairs and dissolves replica groups on the acting node.
 *
 * @module
 */
import type { EventLog } from "../../base/event_log.ts";
import type { Timers } from "../../base/timers.ts";
import type { HostControl } from "../../ports/host_control.ts";
import type {
  EngineModel,
  EngineSpec,
  ServiceSpec,
} from "../../world/catalog.ts";
import type { Membership, ServingHost } from "../../world/serving_host.ts";
import type { CatalogHolder } from "../catalog/catalog_holder.ts";
import type { Doubt, Evidence } from "../fleet/evidence.ts";
import type { HostRegistry } from "../fleet/host_registry.ts";
import { groupKey } from "../fleet/replica.ts";
import { CommandDesk } from "./command_desk.ts";
import type { HostBelief } from "./host_ledger.ts";
import { HostLedger } from "./host_ledger.ts";
import type { FreeHost, LayoutStep } from "./layout.ts";
import { planLayout } from "./layout.ts";
import { LoadCeiling } from "./load_ceiling.ts";

const TICK_MS = 100;
/** Changes that come together are looked at together. */
const SETTLE_MS = 10;
/** Before traffic, nothing is formed while hosts are still being announced. */
const START_SETTLE_MS = 1_000;
/** Epochs of one term; later terms have larger ones. */
const EPOCHS_PER_TERM = 4_096;
/** Time beyond a load after which a group that does not form is given up. */
const FORM_MARGIN_MS = 6_000;
/** Longest time for the work of a group that is closed to be finished. */
const FINISH_MS = 1_500;
/** Pause between two attempts at the same step. */
const RETRY_MS = 400;
/** Pause between questions to a group that forms while the store is lost. */
const ASK_FORMING_MS = 100;
/** Part of an engine's time that demand may fill. */
const USABLE_SHARE = 0.7;
/** Pause between two questions to a host that was silent. */
const REASK_MS = 500;
/** Names of groups that only keep a spare ready. */
const SPARE_PREFIX = "s-";

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

/** A group as its members' beliefs show it. */
interface KeptGroup {
  readonly key: string;
  readonly name: string;
  readonly epoch: number;
  readonly members: readonly HostBelief[];
  readonly head: HostBelief | undefined;
  readonly model: EngineModel | undefined;
}

/** Keeps the replica groups of all services with engines. */
export class GroupKeeper {
  readonly #parts: GroupKeeperParts;
  readonly #ledger: HostLedger;
  readonly #desk: CommandDesk;
  readonly #ceiling: LoadCeiling;
  readonly #observed = new Map<string, ServingHost>();
  /** Groups whose members have not all answered yet. */
  readonly #joining = new Set<string>();
  readonly #formedAt = new Map<string, { model: string; at: number }>();
  readonly #freeSince = new Map<string, number>();
  readonly #closedAt = new Map<string, number>();
  readonly #triedAt = new Map<string, number>();
  #term = 0;
  #nextEpoch = 0;
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
  }

  /** Begins to look; nothing is done while another node acts. */
  start(): void {
    this.#parts.hosts.onChange(() => this.#lookSoon());
    this.#parts.timers.subscribe(TICK_MS, () => this.#look());
  }

  /** This node acts from now on: learns every host's state first. */
  async gained(term: number): Promise<void> {
    this.#term = term;
    this.#nextEpoch = term * EPOCHS_PER_TERM;
    this.#isLearned = false;
    this.#closedAt.clear();
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
    if (group === undefined || !this.#mayTry(`probe ${key}`, now)) return;
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
      if (!this.#mayTry(`ask ${host.id}`, now, REASK_MS)) continue;
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
    const groups = this.#collect(beliefs, engine);
    const kept = new Set<string>();
    const farOf = new Map<string, string>();
    for (const group of groups) {
      this.#tend(group, now);
      const isFar = isSpread(group) && this.#isSound(group);
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
      groups: groups.filter((g) => this.#isSound(g)).map((group) => ({
        model: group.model?.name ?? "",
        domain: isSpread(group) ? "" : group.members[0].host.domain,
      })),
      needed: this.#needed(engine),
      hostsOf: domainSizes(beliefs.filter((b) => this.#isUsable(b))),
      loadsAreCheap: !this.#hasTraffic,
      loadRoom: this.#ceiling.room(engine, now),
    });
    for (const step of steps) {
      if (step.kind === "reclaim") this.#reclaim(step.farGroups, groups, now);
      else this.#execute(step, engine, now);
    }
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

  #collect(beliefs: readonly HostBelief[], engine: EngineSpec): KeptGroup[] {
    const members = new Map<string, HostBelief[]>();
    for (const belief of beliefs) {
      const { membership } = belief;
      if (membership === undefined) continue;
      if (membership.group.startsWith(SPARE_PREFIX)) continue;
      const key = groupKey(membership.group, membership.epoch);
      const list = members.get(key) ?? [];
      list.push(belief);
      members.set(key, list);
    }
    return [...members].map(([key, list]) => {
      const [{ membership }] = list;
      const head = list.find((belief) => belief.membership?.rank === 0);
      const modelName = this.#formedAt.get(key)?.model ??
        (head ?? list[0]).host.models[0];
      return {
        key,
        name: membership?.group ?? "",
        epoch: membership?.epoch ?? 0,
        members: list,
        head,
        model: engine.models.find((model) => model.name === modelName),
      };
    });
  }

  #isSound(group: KeptGroup): boolean {
    const { model, members, head } = group;
    return model !== undefined && head !== undefined &&
      members.length === model.size &&
      members.every((belief) => !belief.isDead && !belief.host.draining) &&
      !["closing", "broken"].includes(head.membership?.state ?? "broken");
  }

  /** Does what a group needs; its members stay with it until they have left. */
  #tend(group: KeptGroup, now: number): void {
    if (this.#joining.has(group.key)) return;
    if (group.members.some(({ host }) => this.#desk.isBusy(host.id))) return;
    if (!this.#isSound(group)) return this.#dissolve(group, now);
    const states = group.members.map((belief) => belief.membership?.state);
    const { head } = group;
    if (head === undefined || head.membership?.state === "open") return;
    if (this.#parts.isStoreLost()) this.#ask(group, now);
    if (states.every((state) => state === "ready")) {
      this.#open(group, head, now);
    } else if (!this.#stillForms(group, now)) {
      this.#dissolve(group, now);
    }
  }

  /** Asks members for what the store would tell. */
  #ask(group: KeptGroup, now: number): void {
    if (!this.#mayTry(`ask ${group.key}`, now, ASK_FORMING_MS)) return;
    for (const { host } of group.members) {
      this.#desk.refresh(host).then(() => this.#lookSoon());
    }
  }

  #stillForms(group: KeptGroup, now: number): boolean {
    const formed = this.#formedAt.get(group.key) ??
      { model: group.model?.name ?? "", at: now };
    this.#formedAt.set(group.key, formed);
    const loadMs = group.model?.loadMs ?? 0;
    return now - formed.at < loadMs * 2 + FORM_MARGIN_MS;
  }

  async #open(group: KeptGroup, head: HostBelief, now: number): Promise<void> {
    if (!this.#mayTry(`open ${group.key}`, now)) return;
    const { name, epoch } = group;
    await this.#desk.send(head.host, { kind: "open", group: name, epoch });
    this.#lookSoon();
  }

  /** Ends a group: every member that lives leaves, and is free from then on. */
  #dissolve(group: KeptGroup, now: number): void {
    if (this.#isOnlyDraining(group) && !this.#isFinished(group, now)) return;
    this.#leaveAll(group, now);
  }

  #leaveAll(group: KeptGroup, now: number): void {
    if (!this.#mayTry(`leave ${group.key}`, now)) return;
    const living = group.members.filter((belief) => !belief.isDead);
    if (living.length === 0) return;
    this.#parts.log.info("group_dissolving", {
      upstream: group.key,
      state: group.head?.membership?.state ?? "no head",
      members: group.members.map(({ host }) => host.id),
      living: living.map(({ host }) => host.id),
    });
    const command = { kind: "leave", group: group.name, epoch: group.epoch };
    for (const { host } of living) {
      this.#desk.send(host, { ...command, kind: "leave" })
        .then(() => this.#lookSoon());
    }
  }

  /** Whether nothing is wrong with an open group but that a member is leaving. */
  #isOnlyDraining(group: KeptGroup): boolean {
    const state = group.head?.membership?.state;
    return group.members.length === group.model?.size &&
      group.members.every((belief) => !belief.isDead) &&
      (state === "open" || state === "closing");
  }

  /** Closes a group, and tells when its work is done or has had its time. */
  #isFinished(group: KeptGroup, now: number): boolean {
    const { head, key, name, epoch } = group;
    const closedAt = this.#closedAt.get(key);
    if (closedAt !== undefined) {
      const isDone = head?.membership?.state === "ready";
      return isDone || now - closedAt > FINISH_MS;
    }
    if (head === undefined) return true;
    this.#closedAt.set(key, now);
    this.#desk.send(head.host, {
      kind: "close",
      group: name,
      epoch,
      mode: "finish",
    })
      .then(() => this.#lookSoon());
    return false;
  }

  #reclaim(
    keys: readonly string[],
    groups: readonly KeptGroup[],
    now: number,
  ): void {
    for (const group of groups) {
      if (!keys.includes(group.key)) continue;
      if (group.members.some(({ host }) => this.#desk.isBusy(host.id))) {
        continue;
      }
      this.#leaveAll(group, now);
    }
  }

  #execute(
    step: Exclude<LayoutStep, { kind: "reclaim" }>,
    engine: EngineSpec,
    now: number,
  ): void {
    const model = engine.models.find((spec) => spec.name === step.model);
    if (model === undefined) return;
    if (step.kind === "form") this.#form(model, step.members, now);
    if (step.kind === "warm") this.#warm(model, step.host, now);
    if (step.kind === "stage") this.#stage(model, step.host, now);
  }

  async #form(
    model: EngineModel,
    memberIds: readonly string[],
    now: number,
  ): Promise<void> {
    const hosts = memberIds.flatMap((id) => this.#parts.hosts.get(id) ?? []);
    if (hosts.length !== memberIds.length) return;
    const epoch = this.#takeEpoch();
    const group = `g-${epoch}`;
    this.#formedAt.set(groupKey(group, epoch), { model: model.name, at: now });
    this.#parts.log.info("group_forming", {
      group,
      epoch,
      model: model.name,
      domain: hosts[0].domain,
      members: memberIds,
    });
    for (const host of hosts) {
      const needsLoad = !host.staged.includes(model.name);
      if (needsLoad && this.#hasTraffic) this.#ceiling.begun(now, model.loadMs);
    }
    const key = groupKey(group, epoch);
    this.#joining.add(key);
    await Promise.all(hosts.map((host) =>
      this.#desk.send(host, {
        kind: "join",
        group,
        epoch,
        model: model.name,
        members: memberIds,
      })
    ));
    this.#joining.delete(key);
    this.#lookSoon();
  }

  async #warm(model: EngineModel, hostId: string, now: number): Promise<void> {
    const host = this.#parts.hosts.get(hostId);
    if (host === undefined || !this.#mayTry(`warm ${hostId}`, now)) return;
    const epoch = this.#takeEpoch();
    const group = `${SPARE_PREFIX}${hostId}-${epoch}`;
    await this.#desk.send(host, {
      kind: "join",
      group,
      epoch,
      model: model.name,
      members: [hostId],
    });
  }

  async #stage(model: EngineModel, hostId: string, now: number): Promise<void> {
    const host = this.#parts.hosts.get(hostId);
    if (host === undefined || !this.#mayTry(`stage ${hostId}`, now)) return;
    this.#ceiling.begun(now, model.loadMs);
    this.#ledger.staging(host, model.name, now + model.loadMs * 2);
    await this.#desk.send(host, { kind: "stage", model: model.name });
  }

  #takeEpoch(): number {
    this.#nextEpoch += 1;
    return this.#nextEpoch;
  }

  #mayTry(step: string, now: number, pauseMs = RETRY_MS): boolean {
    const last = this.#triedAt.get(step);
    if (last !== undefined && now - last < pauseMs) return false;
    this.#triedAt.set(step, now);
    return true;
  }
}

function isSameState(
  a: Membership | undefined,
  b: Membership | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.group === b.group && a.epoch === b.epoch && a.state === b.state;
}

/** Whether a group's hosts are in several fabric domains. */
function isSpread(group: KeptGroup): boolean {
  const [{ host }] = group.members;
  return group.members.some((belief) => belief.host.domain !== host.domain);
}

function domainSizes(beliefs: readonly HostBelief[]): Map<string, number> {
  const sizes = new Map<string, number>();
  for (const { host } of beliefs) {
    sizes.set(host.domain, (sizes.get(host.domain) ?? 0) + 1);
  }
  return sizes;
}
