/**
 * The decision logic of a gateway, without network I/O.
 *
 * @module
 */
import { rendezvousOrder } from "../../base/hash.ts";
import { invariant } from "../../base/outcome.ts";
import type { Random } from "../../base/random.ts";
import type { Timer, Timers } from "../../base/timers.ts";
import type { EngineControl } from "../../ports/engine_control.ts";
import type { HostList } from "../../ports/host_list.ts";
import type { KeyValueStore } from "../../ports/key_value_store.ts";
import type { UpstreamClient } from "../../ports/upstream_client.ts";
import type {
  Configuration,
  GatewayMember,
} from "../../world/configuration.ts";
import { ConfigReplica } from "../configuration/config_replica.ts";
import { StoreReader } from "../configuration/store_reader.ts";
import { ColdBudgets } from "../limits/cold_budgets.ts";
import type { ShareRequest, ShareResponse } from "../limits/share_allocator.ts";
import type {
  Lifecycle,
  PeerNetwork,
  SyncMessage,
} from "../membership/messages.ts";
import { PeerSync, SYNC_PERIOD_MS } from "../membership/peer_sync.ts";
import { GatewayRegistration } from "../membership/gateway_registration.ts";
import { OrderStore } from "../orders/order_store.ts";
import { RetryBudget } from "../retries/retry_budget.ts";
import type { Router } from "../routing/router.ts";
import type { UpstreamEntry } from "../routing/upstream_entry.ts";
import type { Evidence } from "../routing/upstream_table.ts";
import { UpstreamTable } from "../routing/upstream_table.ts";
import type { AttemptRun } from "./attempt_run.ts";
import type { CallerRequest, CallerResponse } from "./caller_request.ts";
import { CrashSuspects } from "./crash_suspects.ts";
import type { DecisionLog } from "./decision_log.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { AddressList, EntryGateway } from "./entry_gateway.ts";
import { PROBE_PERIOD_MS, Prober } from "./prober.ts";
import type { RequestDependencies, RequestResult } from "./request_run.ts";
import { RequestRun } from "./request_run.ts";
import { ActiveRequests } from "./active_requests.ts";

/** How long callers may cache an address. */
export const ADDRESS_TTL_MS = 5_000;
/** Longest wait for requests in flight when a gateway stops. */
export const DRAIN_TIMEOUT_MS = 120_000;
/** Time between reads of the host list. */
const HOST_LIST_PERIOD_MS = 1_000;
/** Time between dispatches of queued requests and timeout checks of attempts. */
const TICK_PERIOD_MS = 50;
/** Longest wait for peers to receive new strikes before a request is retried. */
const SUSPECT_SYNC_TIMEOUT_MS = 250;

/** External systems and settings of a gateway. */
export interface GatewayDependencies {
  readonly self: GatewayMember;
  readonly seeds: readonly GatewayMember[];
  readonly timers: Timers;
  readonly random: Random;
  readonly store: KeyValueStore;
  readonly hostList: HostList;
  readonly control: EngineControl;
  readonly client: UpstreamClient;
  readonly network: PeerNetwork;
  readonly router: Router;
  readonly log: DecisionLog;
  /** Called with the result of each request, for metrics. */
  onResult(request: CallerRequest, result: RequestResult): void;
}

/** Serves callers' requests and takes part in the fleet of gateways. */
export class Gateway implements EntryGateway {
  readonly #deps: GatewayDependencies;
  readonly #replica: ConfigReplica;
  readonly #table = new UpstreamTable();
  readonly #budgets: ColdBudgets;
  readonly #suspects = new CrashSuspects(() => this.#mayProbeParts);
  readonly #orders: OrderStore;
  readonly #dispatcher: Dispatcher;
  readonly #sync: PeerSync;
  readonly #reader: StoreReader;
  readonly #prober: Prober;
  readonly #registration: GatewayRegistration;
  readonly #requests = new ActiveRequests();
  readonly #requestDeps: RequestDependencies;
  readonly #timers: Timer[] = [];
  #lifecycle: Lifecycle = "starting";

  constructor(deps: GatewayDependencies) {
    this.#deps = deps;
    const { timers, store, self } = deps;
    this.#replica = new ConfigReplica(self);
    this.#orders = new OrderStore(timers, store, {
      gatewayId: self.id,
      incarnation: self.incarnation,
    });
    this.#budgets = new ColdBudgets({
      timers,
      network: deps.network,
      log: deps.log,
      selfId: self.id,
      cfg: () => this.#replica.cfg,
      mayServe: () => this.#replica.mayServe(timers.now()),
      onCooled: () => this.#exchange(),
      onSharesUpdated: () => this.#dispatcher.dispatchWaiting(),
    });
    this.#dispatcher = new Dispatcher({
      timers,
      table: this.#table,
      router: deps.router,
      shares: this.#budgets.shares,
      availabilityZone: self.availabilityZone,
      cfg: () => this.#replica.cfg,
    });
    this.#sync = new PeerSync({
      timers,
      network: deps.network,
      replica: this.#replica,
      selfId: self.id,
      incarnation: self.incarnation,
      seeds: deps.seeds,
      localState: () => this.#localState(),
      onMessage: (msg) => this.#applyPeerState(msg),
    });
    this.#reader = new StoreReader({
      timers,
      store,
      replica: this.#replica,
      selfId: self.id,
      onRecord: (record) => {
        // Peers receive a new record at once instead of after a sync period, and
        // forward it in the same way.
        if (this.#mergeRecords([record])) this.#exchange();
      },
    });
    this.#prober = new Prober({
      timers,
      control: deps.control,
      table: this.#table,
      selfId: self.id,
      gatewayIds: () => this.#budgets.owners.memberIds,
      onEvidence: (evidence) => this.#applyEvidence(evidence, "own"),
    });
    this.#registration = new GatewayRegistration(timers, store, self);
    this.#requestDeps = this.#makeRequestDeps();
    this.#replica.onChange((cfg) => this.#onConfigChanged(cfg));
  }

  /** Lifecycle state of the gateway. */
  get lifecycle(): Lifecycle {
    return this.#lifecycle;
  }

  /** The configuration that this gateway applies. */
  get cfg(): Configuration {
    return this.#replica.cfg;
  }

  /** This gateway's copy of the configuration, and when it was last confirmed. */
  get replica(): ConfigReplica {
    return this.#replica;
  }

  /** State of all known upstreams. */
  get table(): UpstreamTable {
    return this.#table;
  }

  /** Number of requests that have not ended. */
  get inFlight(): number {
    return this.#requests.runs.size;
  }

  /** Number of requests waiting for an upstream. */
  get waiting(): number {
    return this.#dispatcher.waiting;
  }

  /** Why no new requests are accepted; undefined when they are. */
  get notReadyReason(): string | undefined {
    if (this.#lifecycle === "draining" || this.#lifecycle === "stopped") {
      return "The gateway is shutting down";
    }
    const now = this.#deps.timers.now();
    if (!this.#replica.mayServe(now)) {
      return "The configuration is not confirmed";
    }
    return undefined;
  }

  /** Number of requests waiting for a model or service. */
  waitingFor(name: string): number {
    return this.#dispatcher.waitingFor(name);
  }

  /** Registers the gateway and starts its periodic work. */
  start(): void {
    const { timers } = this.#deps;
    this.#lifecycle = "serving";
    this.#reader.start();
    this.#registration.start();
    this.#scheduleExchange();
    this.#schedulePeriodic(HOST_LIST_PERIOD_MS, () => this.#readHosts());
    this.#schedulePeriodic(
      PROBE_PERIOD_MS,
      () => this.#prober.probeAssignedHosts(),
    );
    this.#schedulePeriodic(TICK_PERIOD_MS, () => this.#tick());
    timers.after(0, () => {
      this.#readHosts();
      this.#exchange();
    });
  }

  /**
   * Accepts a request, or refuses it and returns undefined. In both cases the
   * response is ended or failed exactly once.
   */
  handle(
    request: CallerRequest,
    response: CallerResponse,
  ): RequestRun | undefined {
    const reason = this.notReadyReason;
    if (reason !== undefined) {
      response.fail({
        kind: "not_run",
        detail: reason,
        notRun: true,
        retryAfterMs: SYNC_PERIOD_MS,
        log: [],
      });
      return undefined;
    }
    const { name, maxConcurrent } = request.customer;
    const inFlight = this.#requests.inFlightFor(name);
    if (inFlight >= maxConcurrent) {
      response.fail({
        kind: "too_many_requests",
        detail: `The customer has ${inFlight} requests in flight`,
        notRun: true,
        retryAfterMs: SYNC_PERIOD_MS,
        log: [],
      });
      return undefined;
    }
    const run = new RequestRun(request, response, this.#requestDeps);
    this.#requests.add(run);
    run.start();
    return run;
  }

  /**
   * Returns the addresses of gateways that are not leaving, those in the caller's
   * zone first. A rendezvous hash of `callerKey` determines the order otherwise,
   * which spreads callers over the gateways.
   */
  addresses(callerKey: string, zone: string | undefined): AddressList {
    const members = this.#replica.cfg.gateways.filter((member) =>
      this.#isAdvertised(member)
    );
    const byId = new Map(members.map((member) => [member.id, member]));
    const order = rendezvousOrder(callerKey, [...byId.keys()]);
    const rank = (id: string) =>
      byId.get(id)?.availabilityZone === zone ? 0 : 1;
    order.sort((a, b) => rank(a) - rank(b));
    return {
      addresses: order.flatMap((id) => byId.get(id)?.callerAddress ?? []),
      ttlMs: ADDRESS_TTL_MS,
    };
  }

  /** Merges a peer's state and returns the state of this gateway. */
  handleSync(msg: SyncMessage): SyncMessage {
    return this.#sync.handleMessage(msg);
  }

  /**
   * Handles a peer's request for slots of a cold upstream whose budget this
   * gateway owns.
   */
  handleShare(req: ShareRequest): ShareResponse {
    return this.#budgets.handleShareRequest(req);
  }

  /**
   * Stops gracefully: withdraws from address lists, keeps accepting requests
   * while callers may still have this address cached, then waits up to
   * {@linkcode DRAIN_TIMEOUT_MS} for requests in flight and for pending writes of
   * orders.
   */
  async shutdown(): Promise<void> {
    if (this.#lifecycle === "draining" || this.#lifecycle === "stopped") return;
    this.#setLifecycle("withdrawn");
    this.#exchange();
    await this.#wait(ADDRESS_TTL_MS + SYNC_PERIOD_MS);
    this.#setLifecycle("draining");
    const until = this.#deps.timers.now() + DRAIN_TIMEOUT_MS;
    while (this.#busy && this.#deps.timers.now() < until) {
      await this.#wait(TICK_PERIOD_MS);
    }
    await this.#registration.leave();
    this.stop();
  }

  /** Stops immediately, without waiting for requests in flight. */
  stop(): void {
    this.#lifecycle = "stopped";
    this.#reader.stop();
    this.#registration.stop();
    for (const timer of this.#timers) timer.cancel();
    this.#timers.length = 0;
  }

  get #busy(): boolean {
    return this.#requests.runs.size > 0 || this.#orders.pendingWrites > 0;
  }

  #makeRequestDeps(): RequestDependencies {
    const { timers, client, log } = this.#deps;
    return {
      timers,
      client,
      log,
      cfg: () => this.#replica.cfg,
      suspects: this.#suspects,
      retryBudget: new RetryBudget(),
      orders: this.#orders,
      enqueue: (item) => this.#dispatcher.enqueue(item),
      cancelQueued: (item) => this.#dispatcher.cancel(item),
      attemptStarted: (run, attempt) => this.#attemptStarted(run, attempt),
      attemptFinished: (run, attempt, completed) =>
        this.#attemptFinished(run, attempt, completed),
      upstreamCrashed: (entry, detail) => this.#upstreamCrashed(entry, detail),
      upstreamUnreachable: (entry, detail) =>
        this.#upstreamUnreachable(entry, detail),
      probeUpstream: (entry) => this.#prober.probeUpstream(entry),
      suspectRunsOn: (entry, run) => this.#suspectRunsOn(entry, run),
      finished: (run, result) => this.#requestFinished(run, result),
    };
  }

  #attemptStarted(run: RequestRun, attempt: AttemptRun): void {
    const { entry } = attempt;
    const id = entry.upstream.id;
    entry.inFlight += 1;
    entry.lastStartedAt = this.#deps.timers.now();
    this.#budgets.shares.recordStart(id);
    this.#dispatcher.recordStart(run.customer);
    this.#requests.addAttempt(run, attempt);
  }

  #attemptFinished(
    run: RequestRun,
    attempt: AttemptRun,
    completed: boolean,
  ): void {
    const { entry } = attempt;
    const id = entry.upstream.id;
    entry.inFlight -= 1;
    invariant(entry.inFlight >= 0, "More attempts ended than started");
    this.#requests.removeAttempt(attempt);
    if (completed) this.#attemptCompleted(run, attempt);
    this.#budgets.shares.recordFinish(id, completed);
    this.#dispatcher.recordFinish(run.customer, run.name);
  }

  #attemptCompleted(run: RequestRun, attempt: AttemptRun): void {
    attempt.entry.completed += 1;
    attempt.entry.lastCompletedAt = this.#deps.timers.now();
    const now = this.#deps.timers.now();
    this.#suspects.recordCompleted(run.request, attempt.startedAt, now);
  }

  #requestFinished(run: RequestRun, result: RequestResult): void {
    this.#requests.remove(run);
    this.#deps.log.record({
      kind: "finish",
      request: run.id,
      reason: result.kind,
    });
    this.#deps.onResult(run.request, result);
  }

  /**
   * Records a crash strike for each request in flight on a group, closes the
   * upstream, and sends the strikes and the evidence to peers.
   */
  async #upstreamCrashed(entry: UpstreamEntry, detail: string): Promise<void> {
    const id = entry.upstream.id;
    if (entry.upstream.kind === "group") {
      const requests = this.#requests.runsOn(id).map((run) => run.request);
      this.#suspects.recordCrash(id, requests, this.#deps.timers.now());
    }
    this.#upstreamUnreachable(entry, detail);
    await Promise.race([
      this.#sync.exchange(),
      this.#wait(SUSPECT_SYNC_TIMEOUT_MS),
    ]);
  }

  #upstreamUnreachable(entry: UpstreamEntry, detail: string): void {
    const [hostId] = entry.upstream.hostIds;
    const upstreamId = entry.upstream.id;
    const kind = "unreachable" as const;
    this.#applyEvidence({ upstreamId, hostId, kind, detail }, "own");
    this.#prober.probeUpstream(entry);
  }

  #applyEvidence(evidence: Evidence, from: "own" | "peer"): void {
    if (!this.#table.close(evidence)) return;
    this.#deps.log.record({
      kind: "close_upstream",
      upstream: evidence.upstreamId,
      reason: `${evidence.kind}: ${evidence.detail} (${evidence.hostId})`,
    });
    const entry = this.#table.entries.get(evidence.upstreamId);
    if (from === "peer") {
      if (entry !== undefined) this.#prober.probeUpstream(entry);
      return;
    }
    this.#sync.addEvidence(evidence);
    this.#exchange();
  }

  #suspectRunsOn(entry: UpstreamEntry, run: RequestRun): boolean {
    return this.#requests.runsOn(entry.upstream.id).some((other) =>
      other !== run && this.#suspects.isSuspected(other.request)
    );
  }

  /** Whether this is the first of the gateways that the operators declared. */
  get #mayProbeParts(): boolean {
    const ids = this.#replica.cfg?.gateways.map(({ id }) => id) ?? [];
    return ids.sort()[0] === this.#deps.self.id;
  }

  #tick(): void {
    const now = this.#deps.timers.now();
    for (const run of this.#requests.runs) run.tick(now);
    this.#detectCold();
    this.#budgets.requestShares();
    this.#suspects.expire(now);
    this.#dispatcher.dispatchWaiting();
  }

  #detectCold(): void {
    for (const [id, attempts] of this.#requests.attempts) {
      const entry = this.#table.entries.get(id);
      if (entry !== undefined) this.#budgets.detectCold(entry, attempts.keys());
    }
  }

  #onConfigChanged(cfg: Configuration): void {
    const now = this.#deps.timers.now();
    this.#budgets.owners.setMembers(cfg.gateways, now);
    this.#deps.log.record({
      kind: "configuration",
      reason: "A newer revision is in force",
      revision: cfg.revision,
    });
    this.#dispatcher.dispatchWaiting();
  }

  #applyPeerState(msg: SyncMessage): void {
    const now = this.#deps.timers.now();
    if (msg.cfg !== undefined) this.#replica.installIfNewer(msg.cfg);
    this.#mergeRecords(msg.records);
    for (const evidence of msg.evidence) this.#applyEvidence(evidence, "peer");
    this.#budgets.applyPeerState(msg);
    this.#suspects.merge(msg, now);
    for (const shared of msg.reports) {
      const entry = this.#table.entries.get(shared.upstreamId);
      entry?.recordReport(shared.report, now - shared.ageMs, false);
    }
  }

  /** Merges domain records. Returns whether any of them was newer. */
  #mergeRecords(records: SyncMessage["records"]): boolean {
    let changed = false;
    for (const record of records) {
      changed = this.#table.applyRecord(record) || changed;
    }
    if (!changed) return false;
    this.#dropRemovedUpstreams();
    this.#dispatcher.dispatchWaiting();
    return true;
  }

  #dropRemovedUpstreams(): void {
    const ids = new Set(this.#table.entries.keys());
    this.#budgets.retain(ids);
    this.#requests.retainUpstreams(ids);
  }

  #localState() {
    const now = this.#deps.timers.now();
    const reports = [];
    for (const entry of this.#table.entries.values()) {
      const newest = entry.report;
      if (newest === undefined || now - newest.at > SYNC_PERIOD_MS * 2) {
        continue;
      }
      reports.push({
        upstreamId: entry.upstream.id,
        report: newest.load,
        ageMs: now - newest.at,
      });
    }
    return {
      lifecycle: this.#lifecycle,
      records: this.#table.records,
      recordsHash: this.#table.recordsHash,
      warm: [...this.#budgets.shares.warm],
      cold: this.#budgets.shares.recentlyCooled(now),
      ...this.#suspects.takeStatuses(now),
      reports,
    };
  }

  async #readHosts(): Promise<void> {
    const res = await this.#deps.hostList.list();
    if (!res.ok || this.#lifecycle === "stopped") return;
    this.#table.applyHosts(res.value);
    this.#dispatcher.dispatchWaiting();
  }

  #scheduleExchange(): void {
    this.#deps.timers.after(this.#sync.periodMs, () => {
      if (this.#lifecycle === "stopped") return;
      this.#exchange();
      this.#scheduleExchange();
    });
  }

  async #exchange(): Promise<void> {
    if (this.#lifecycle === "stopped") return;
    await this.#sync.exchange();
  }

  #isAdvertised(member: GatewayMember): boolean {
    if (member.id === this.#deps.self.id) {
      return this.#lifecycle === "serving";
    }
    return this.#sync.isOfferedToCallers(member.id);
  }

  #setLifecycle(lifecycle: Lifecycle): void {
    this.#lifecycle = lifecycle;
    this.#deps.log.record({ kind: "lifecycle", reason: lifecycle });
  }

  #schedulePeriodic(periodMs: number, callback: () => void): void {
    this.#timers.push(this.#deps.timers.subscribe(periodMs, callback));
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#deps.timers.after(ms, resolve);
    });
  }
}
