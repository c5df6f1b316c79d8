/**
 * Orchestrates all replica groups; runs on the leader.
 *
 * @module
 */
import type { EventLog } from "../../base/event_log.ts";
import type { LoopLag } from "../../base/loop_monitor.ts";
import type { Timers } from "../../base/timers.ts";
import type { HostControl } from "../../ports/host_control.ts";
import type { EngineSpec, ServiceSpec } from "../../world/catalog.ts";
import type { ServingHost } from "../../world/serving_host.ts";
import type { CatalogHolder } from "../catalog/catalog_holder.ts";
import type {
  Suspicion,
  SuspicionTracker,
} from "../fleet/suspicion_tracker.ts";
import type { HostRegistry } from "../fleet/host_registry.ts";
import type { ReplicaGroupView } from "../fleet/replica.ts";
import { groupKey } from "../fleet/replica.ts";
import { CommandSender } from "./command_sender.ts";
import { LayoutExecutor } from "./layout_executor.ts";
import { GroupLifecycle } from "./group_lifecycle.ts";
import { isSameMembership } from "./host_observation.ts";
import type { TrackedHost } from "./host_state_tracker.ts";
import { HostStateTracker } from "./host_state_tracker.ts";
import type { ManagedGroup } from "./managed_group.ts";
import { collectGroups, isCrossDomain, isHealthy } from "./managed_group.ts";
import type { FreeHost } from "./layout.ts";
import { planLayout } from "./layout.ts";
import { LoadLimiter } from "./load_limiter.ts";
import { ReportCollector } from "./report_collector.ts";
import { RetryLimiter } from "./retry_limiter.ts";

const RECONCILE_INTERVAL_MS = 100;
const PRUNE_INTERVAL_MS = 10_000;
/** Delay after a change, so that one reconciliation handles several changes. */
const RECONCILE_DELAY_MS = 10;
/**
 * Before there is traffic, no group is formed until the number of hosts has
 * been stable for this time, as more hosts may still be announced.
 */
const STARTUP_SETTLE_MS = 1_000;
/** Share of an engine's time that demand may use. */
const TARGET_UTILIZATION = 0.7;
/** Largest share of the process's time that reconciliation may use. */
const MAX_RECONCILE_SHARE = 0.2;
/** Order of report requests at the start of a term; the lowest comes first. */
const REPORT_NEED = { repair: 0, free: 1, serving: 2 } as const;
/** Interval of report requests to a silent host. */
const REPORT_RETRY_MS = 500;

/** Interval of report requests to a host whose announcement is contradicted. */
const VERIFY_INTERVAL_MS = 300;

/** Dependencies of the orchestrator. */
export interface GroupOrchestratorDependencies {
  readonly timers: Timers;
  readonly control: HostControl;
  readonly hosts: HostRegistry;
  readonly suspicions: SuspicionTracker;
  readonly catalog: CatalogHolder;
  /** Availability zones that operators have taken out of service. */
  readonly zonesOutOfService: ReadonlySet<string>;
  readonly log: EventLog;
  readonly isLeader: () => boolean;
  /** Whether hosts' announcements can't be read at the moment. */
  readonly isStoreUnreachable: () => boolean;
  /** Whether a group's streams have brought events recently. */
  readonly makesProgress: (key: string) => boolean;
  /** Engine milliseconds requested per second by all callers, by model. */
  readonly demand: () => ReadonlyMap<string, number>;
  /**
   * Called when every member of an open, suspected group has sent a report.
   */
  readonly onGroupResponsive: (key: string) => void;
  readonly loopLag: LoopLag;
  /** Window in which the weight store limits loads, in milliseconds. */
  readonly loadWindowMs: number;
}

/** Forms, repairs and dissolves the replica groups of services with engines. */
export class GroupOrchestrator {
  readonly #deps: GroupOrchestratorDependencies;
  readonly #states: HostStateTracker;
  readonly #sender: CommandSender;
  readonly #loadLimiter: LoadLimiter;
  /** Hosts that were updated locally while the store is unreachable, by id. */
  readonly #updatedHosts = new Map<string, ServingHost>();
  /** Time since which each free host has been free, by id. */
  readonly #freeSince = new Map<string, number>();
  readonly #retry = new RetryLimiter();
  readonly #executor: LayoutExecutor;
  readonly #lifecycle: GroupLifecycle;
  readonly #reports: ReportCollector;
  #hostCount = 0;
  #hostCountChangedAt = 0;
  #isReconcileScheduled = false;
  /** Time before which the next reconciliation doesn't start. */
  #nextReconcileAt = -Infinity;

  constructor(deps: GroupOrchestratorDependencies) {
    this.#deps = deps;
    const { timers, control, log, isLeader } = deps;
    this.#states = new HostStateTracker();
    this.#sender = new CommandSender({
      timers,
      control,
      states: this.#states,
      log,
      isLeader,
      loopLag: deps.loopLag,
    });
    this.#reports = new ReportCollector({
      requestReport: (host) => this.#sender.requestReport(host),
      onReport: () => this.#scheduleReconcile(),
    });
    this.#loadLimiter = new LoadLimiter(deps.loadWindowMs);
    const shared = {
      sender: this.#sender,
      retry: this.#retry,
      log,
      onChange: () => this.#scheduleReconcile(),
    };
    this.#executor = new LayoutExecutor({
      ...shared,
      states: this.#states,
      loadLimiter: this.#loadLimiter,
      hosts: deps.hosts,
      hasTraffic: () => this.#hasTraffic,
    });
    this.#lifecycle = new GroupLifecycle({
      ...shared,
      executor: this.#executor,
      isStoreUnreachable: deps.isStoreUnreachable,
      servesUnlisted: (key) => this.#servesUnlisted(key),
    });
  }

  /** Starts reconciling; does nothing while another node is the leader. */
  start(): void {
    this.#deps.hosts.onChange(() => this.#scheduleReconcile());
    this.#deps.timers.subscribe(RECONCILE_INTERVAL_MS, () => this.#reconcile());
    this.#deps.timers.subscribe(PRUNE_INTERVAL_MS, () => this.#prune());
  }

  /**
   * Starts a term: requests a report from every engine host, first from those
   * whose groups need a repair and from the spares for it. Hosts are left as they
   * are until their reports have arrived or failed.
   */
  onLeaseGained(term: number): void {
    this.#executor.beginTerm(term);
    this.#states.forgetObservations();
    this.#updatedHosts.clear();
    const { groups } = this.#deps.hosts;
    this.#reports.begin(this.#engineHosts(), ({ membership }) => {
      if (membership === undefined) return REPORT_NEED.free;
      const group = groups.get(groupKey(membership.group, membership.epoch));
      return group?.state === "open" && this.#isComplete(group)
        ? REPORT_NEED.serving
        : REPORT_NEED.repair;
    });
    this.#scheduleReconcile();
  }

  #isComplete({ service, model, members }: ReplicaGroupView): boolean {
    const engine = this.#engineOf(service);
    const spec = engine?.models.find(({ name }) => name === model);
    return members.length === spec?.size;
  }

  /**
   * Whether a group is complete but for announcements that have ended, and makes
   * progress: a member that only lost the store still works.
   */
  #servesUnlisted(key: string): boolean {
    const group = this.#deps.hosts.groups.get(key);
    return group !== undefined && group.unlisted.length > 0 &&
      this.#isComplete(group) && !this.#deps.suspicions.isSuspected(key) &&
      this.#deps.makesProgress(key);
  }

  /** Probes a newly suspected group at once. */
  onSuspicion(suspicion: Suspicion): void {
    if (this.#deps.isLeader()) this.#probe(suspicion.key);
  }

  /** Requests a report from every member of a suspected group. */
  async #probe(key: string): Promise<void> {
    const group = this.#deps.hosts.groups.get(key);
    const now = this.#deps.timers.now();
    if (group === undefined || !this.#retry.allow(`probe ${key}`, now)) return;
    const isReporting = (host: ServingHost) =>
      !this.#states.get(host, now).isSilent;
    if (!group.members.some(isReporting)) return;
    const reported = await Promise.all(
      group.members.map((host) => this.#sender.requestReport(host)),
    );
    this.#deps.log.info("group_probed", {
      upstream: key,
      members: group.members.map((host) => host.id),
      answers: reported,
    });
    const isResponsive = reported.every((hasReported) => hasReported) &&
      group.state === "open";
    if (isResponsive) this.#deps.onGroupResponsive(key);
    this.#reconcile();
  }

  #engineHosts(): ServingHost[] {
    return [...this.#deps.hosts.hosts()].filter((host) =>
      this.#engineOf(host.service) !== undefined
    );
  }

  #engineOf(service: string): EngineSpec | undefined {
    return this.#deps.catalog.inForce?.services.get(service)?.engine;
  }

  #scheduleReconcile(): void {
    if (this.#isReconcileScheduled || !this.#deps.isLeader()) return;
    this.#isReconcileScheduled = true;
    const waitMs = this.#nextReconcileAt - this.#deps.timers.now();
    this.#deps.timers.after(Math.max(RECONCILE_DELAY_MS, waitMs), () => {
      this.#isReconcileScheduled = false;
      this.#reconcile();
    });
  }

  /**
   * Reconciles, unless that would leave the process too little time for requests
   * and for the lease; then a later reconciliation is scheduled.
   */
  #reconcile(): void {
    if (!this.#deps.isLeader()) return;
    const { timers } = this.#deps;
    const startedAt = timers.now();
    if (startedAt < this.#nextReconcileAt) return this.#scheduleReconcile();
    this.#reconcileAll();
    const endedAt = timers.now();
    this.#nextReconcileAt = endedAt +
      (endedAt - startedAt) * (1 / MAX_RECONCILE_SHARE - 1);
  }

  #reconcileAll(): void {
    const inForce = this.#deps.catalog.inForce;
    if (inForce === undefined) return;
    this.#states.retain(
      new Set([...this.#deps.hosts.hosts()].map((h) => h.id)),
    );
    this.#retrySilentHosts();
    for (const key of this.#deps.suspicions.suspected()) this.#probe(key);
    for (const spec of inForce.services.values()) {
      if (spec.engine !== undefined) this.#reconcileService(spec, spec.engine);
    }
  }

  /**
   * Requests reports from silent hosts, which may only be unreachable briefly.
   */
  #retrySilentHosts(): void {
    const now = this.#deps.timers.now();
    for (const host of this.#engineHosts()) {
      if (!this.#states.get(host, now).isSilent) continue;
      if (!this.#retry.allow(`report ${host.id}`, now, REPORT_RETRY_MS)) {
        continue;
      }
      this.#sender.requestReport(host).then((hasReported) => {
        if (hasReported) this.#scheduleReconcile();
      });
    }
  }

  /** Requests reports from hosts whose announcements differ from what is known. */
  #verifyContradicted(states: readonly TrackedHost[], now: number): void {
    for (const { host, isContradicted, isSilent } of states) {
      if (!isContradicted || isSilent || this.#sender.isBusy(host.id)) continue;
      if (!this.#retry.allow(`verify ${host.id}`, now, VERIFY_INTERVAL_MS)) {
        continue;
      }
      this.#sender.requestReport(host).then((hasReported) => {
        if (hasReported) this.#scheduleReconcile();
      });
    }
  }

  #reconcileService(service: ServiceSpec, engine: EngineSpec): void {
    const now = this.#deps.timers.now();
    if (this.#deps.isStoreUnreachable()) {
      this.#announceUpdated(service.name, now);
    } else {
      this.#updatedHosts.clear();
    }
    const states = this.#deps.hosts.ofService(service.name).map((host) =>
      this.#states.get(host, now)
    );
    this.#verifyContradicted(states, now);
    const groups = collectGroups(
      states,
      engine,
      (key) => this.#executor.modelOf(key),
    );
    const occupied = new Set<string>();
    const crossDomainGroupByHost = new Map<string, string>();
    for (const group of groups) {
      if (!this.#hasAwaited(group)) this.#lifecycle.reconcile(group, now);
      const servesCrossDomain = isCrossDomain(group) && isHealthy(group);
      for (const { host } of group.members) {
        if (servesCrossDomain) crossDomainGroupByHost.set(host.id, group.key);
        else occupied.add(host.id);
      }
    }
    const free = states.filter((state) =>
      !occupied.has(state.host.id) && this.#isUsable(state) &&
      !this.#sender.isBusy(state.host.id) &&
      !this.#reports.isAwaited(state.host.id)
    );
    this.#updateFreeSince(free, now);
    if (!this.#isHostCountStable(states.length, now)) return;
    const steps = planLayout({
      models: engine.models,
      free: free.map((state) =>
        this.#toFreeHost(state, crossDomainGroupByHost.get(state.host.id), now)
      ),
      groups: groups.filter((g) => isHealthy(g)).map((group) => ({
        model: group.model?.name ?? "",
        domain: isCrossDomain(group) ? "" : group.members[0].host.domain,
      })),
      needed: this.#neededGroups(engine),
      usableHosts: domainSizes(states.filter((state) => this.#isUsable(state))),
      loadsAreCheap: !this.#hasTraffic,
      loadBudget: this.#loadLimiter.available(engine, now),
    });
    for (const step of steps) {
      if (step.kind === "reclaim") {
        this.#lifecycle.reclaim(step.crossDomainGroups, groups, now);
      } else {
        this.#executor.execute(step, engine, now);
      }
    }
  }

  #hasAwaited(group: ManagedGroup): boolean {
    return group.members.some(({ host }) => this.#reports.isAwaited(host.id));
  }

  /** Drops the state of groups that no longer exist. */
  #prune(): void {
    const keys = new Set(this.#deps.hosts.groups.keys());
    this.#executor.retain(keys);
    this.#lifecycle.retain(keys);
    this.#retry.expire(this.#deps.timers.now());
  }

  /**
   * While the store is unreachable, updates the local host registry with the
   * states known from commands and reports.
   */
  #announceUpdated(service: string, now: number): void {
    for (const host of [...this.#deps.hosts.ofService(service)]) {
      const updated = this.#states.withObservedState(host, now);
      if (isSameMembership(updated.membership, host.membership)) continue;
      this.#updatedHosts.set(host.id, updated);
      this.#deps.hosts.announce(updated, now);
    }
  }

  /** Hosts whose current state peers can't read from the store. */
  updatedHosts(): readonly ServingHost[] {
    if (!this.#deps.isStoreUnreachable()) this.#updatedHosts.clear();
    return [...this.#updatedHosts.values()];
  }

  /**
   * Records the number of hosts. Returns whether it has been stable for long
   * enough, or there is traffic already.
   */
  #isHostCountStable(hostCount: number, now: number): boolean {
    if (hostCount !== this.#hostCount) {
      this.#hostCount = hostCount;
      this.#hostCountChangedAt = now;
    }
    return this.#hasTraffic ||
      now - this.#hostCountChangedAt >= STARTUP_SETTLE_MS;
  }

  #toFreeHost(
    state: TrackedHost,
    crossDomainGroup: string | undefined,
    now: number,
  ): FreeHost {
    const { host, membership, staging } = state;
    const isJoining = membership?.state === "joining";
    return {
      id: host.id,
      domain: host.domain,
      loadedModel: isJoining ? undefined : state.lastModel,
      staged: staging === undefined ? host.staged : [staging],
      isLoading: staging !== undefined || isJoining,
      loadingModel: staging ?? (isJoining ? state.lastModel : undefined),
      isCold: this.#deps.hosts.coldUntil(host.id) > now,
      zone: host.zone,
      crossDomainGroup,
      idleMs: now - (this.#freeSince.get(host.id) ?? now),
    };
  }

  /** Records since when each host has been free. */
  #updateFreeSince(states: readonly TrackedHost[], now: number): void {
    const ids = new Set(states.map(({ host }) => host.id));
    for (const id of this.#freeSince.keys()) {
      if (!ids.has(id)) this.#freeSince.delete(id);
    }
    for (const id of ids) {
      if (!this.#freeSince.has(id)) this.#freeSince.set(id, now);
    }
  }

  get #hasTraffic(): boolean {
    for (const ms of this.#deps.demand().values()) if (ms > 0) return true;
    return false;
  }

  /**
   * Number of groups that the demand fills, by model. Until there is traffic,
   * these are ratios between models, from their declared shares.
   */
  #neededGroups(engine: EngineSpec): Map<string, number> {
    const demand = this.#deps.demand();
    const needed = new Map<string, number>();
    for (const model of engine.models) {
      const measured = (demand.get(model.name) ?? 0) / 1_000 /
        TARGET_UTILIZATION;
      const declared = model.share / model.size;
      needed.set(model.name, this.#hasTraffic ? measured : declared);
    }
    return needed;
  }

  #isUsable(state: TrackedHost): boolean {
    const { host } = state;
    return !state.isSilent && !host.draining &&
      !this.#deps.zonesOutOfService.has(host.zone);
  }
}

function domainSizes(states: readonly TrackedHost[]): Map<string, number> {
  const sizes = new Map<string, number>();
  for (const { host } of states) {
    sizes.set(host.domain, (sizes.get(host.domain) ?? 0) + 1);
  }
  return sizes;
}
