/**
 * One entry host's gateway: every decision, no sockets.
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
import type { ShareReply, ShareRequest } from "../limits/slot_owner.ts";
import type {
  Lifecycle,
  PeerNetwork,
  SyncMessage,
} from "../membership/messages.ts";
import { PeerSync, SYNC_PERIOD_MS } from "../membership/peer_sync.ts";
import { Registration } from "../membership/registration.ts";
import { OrderLedger } from "../orders/order_ledger.ts";
import { RetryBudget } from "../retries/retry_budget.ts";
import { Suspects } from "../retries/suspects.ts";
import type { Router } from "../routing/router.ts";
import type { UpstreamEntry } from "../routing/upstream_entry.ts";
import type { Evidence } from "../routing/upstream_table.ts";
import { UpstreamTable } from "../routing/upstream_table.ts";
import type { AttemptRun } from "./attempt_run.ts";
import type { Call, CallReply } from "./call.ts";
import type { DecisionLog } from "./decision_log.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { AddressAnswer, EntryGateway } from "./entry_gateway.ts";
import { PROBE_PERIOD_MS, Prober } from "./prober.ts";
import type { RunParts, RunResult } from "./request_run.ts";
import { RequestRun } from "./request_run.ts";
import { RunBook } from "./run_book.ts";

/** How long callers keep an address. */
export const ADDRESS_TTL_MS = 5_000;
/** Longest wait for requests in flight when a gateway stops. */
export const DRAIN_LIMIT_MS = 120_000;
/** Time between reads of the host list. */
const HOSTS_PERIOD_MS = 1_000;
/** Time between tries for waiting requests and looks at silent attempts. */
const TICK_MS = 50;
/** How long peers are given to learn of a suspect before it is sent again. */
const BLAME_PUSH_MS = 250;
/** Most suspects in one message. */
const MAX_SHARED_SUSPECTS = 200;

/** Outside systems and settings of a gateway. */
export interface GatewayParts {
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
  /** Receives the end of each request, for metrics. */
  onResult(call: Call, result: RunResult): void;
}

/** Serves callers' requests and takes part in the fleet of gateways. */
export class Gateway implements EntryGateway {
  readonly #parts: GatewayParts;
  readonly #replica: ConfigReplica;
  readonly #table = new UpstreamTable();
  readonly #budgets: ColdBudgets;
  readonly #suspects = new Suspects();
  readonly #orders: OrderLedger;
  readonly #dispatcher: Dispatcher;
  readonly #sync: PeerSync;
  readonly #reader: StoreReader;
  readonly #prober: Prober;
  readonly #registration: Registration;
  readonly #book = new RunBook();
  readonly #runParts: RunParts;
  readonly #timers: Timer[] = [];
  #lifecycle: Lifecycle = "starting";

  constructor(parts: GatewayParts) {
    this.#parts = parts;
    const { timers, store, self } = parts;
    this.#replica = new ConfigReplica(self);
    this.#orders = new OrderLedger(timers, store, {
      gatewayId: self.id,
      incarnation: self.incarnation,
    });
    this.#budgets = new ColdBudgets({
      timers,
      network: parts.network,
      log: parts.log,
      selfId: self.id,
      cfg: () => this.#replica.cfg,
      mayServe: () => this.#replica.mayServe(timers.now()),
      onCooled: () => this.#exchange(),
      onShares: () => this.#dispatcher.pump(),
    });
    this.#dispatcher = new Dispatcher({
      timers,
      table: this.#table,
      router: parts.router,
      holder: this.#budgets.holder,
      availabilityZone: self.availabilityZone,
      cfg: () => this.#replica.cfg,
    });
    this.#sync = new PeerSync({
      timers,
      network: parts.network,
      replica: this.#replica,
      selfId: self.id,
      incarnation: self.incarnation,
      seeds: parts.seeds,
      localNews: () => this.#localNews(),
      onNews: (msg) => this.#takeNews(msg),
    });
    this.#reader = new StoreReader({
      timers,
      store,
      replica: this.#replica,
      selfId: self.id,
      onRecord: (record) => {
        // Told at once by whoever reads the store; peers pass it on in turn.
        if (this.#offerRecords([record])) this.#exchange();
      },
    });
    this.#prober = new Prober({
      timers,
      control: parts.control,
      table: this.#table,
      selfId: self.id,
      gatewayIds: () => this.#budgets.owners.memberIds,
      onEvidence: (evidence) => this.#takeEvidence(evidence, "own"),
    });
    this.#registration = new Registration(timers, store, self);
    this.#runParts = this.#makeRunParts();
    this.#replica.onChange((cfg) => this.#configChanged(cfg));
  }

  /** State in the life of the gateway. */
  get lifecycle(): Lifecycle {
    return this.#lifecycle;
  }

  /** The configuration in force here. */
  get cfg(): Configuration {
    return this.#replica.cfg;
  }

  /** How the configuration was last confirmed. */
  get replica(): ConfigReplica {
    return this.#replica;
  }

  /** Everything known of upstreams. */
  get table(): UpstreamTable {
    return this.#table;
  }

  /** Requests that have not ended. */
  get inFlight(): number {
    return this.#book.runs.size;
  }

  /** Requests waiting for an upstream. */
  get waiting(): number {
    return this.#dispatcher.waiting;
  }

  /** Tells whether new work is taken, and why not. */
  get notReadyReason(): string | undefined {
    if (this.#lifecycle === "draining" || this.#lifecycle === "stopped") {
      return "The gateway is shutting down";
    }
    const now = this.#parts.timers.now();
    if (!this.#replica.mayServe(now)) {
      return "The configuration is not confirmed";
    }
    return undefined;
  }

  /** Requests waiting for a model or service. */
  waitingFor(name: string): number {
    return this.#dispatcher.waitingFor(name);
  }

  /** Begins to take part in the fleet. */
  start(): void {
    const { timers } = this.#parts;
    this.#lifecycle = "serving";
    this.#reader.start();
    this.#registration.start();
    this.#scheduleExchange();
    this.#every(HOSTS_PERIOD_MS, () => this.#readHosts());
    this.#every(PROBE_PERIOD_MS, () => this.#prober.probeShare());
    this.#every(TICK_MS, () => this.#tick());
    timers.after(0, () => {
      this.#readHosts();
      this.#exchange();
    });
  }

  /** Takes a request. Its reply is ended exactly once. */
  handle(call: Call, reply: CallReply): RequestRun | undefined {
    const reason = this.notReadyReason;
    if (reason !== undefined) {
      reply.fail({
        kind: "not_run",
        detail: reason,
        notRun: true,
        retryAfterMs: SYNC_PERIOD_MS,
        log: [],
      });
      return undefined;
    }
    const { name, maxConcurrent } = call.customer;
    const inFlight = this.#book.inFlightOf(name);
    if (inFlight >= maxConcurrent) {
      reply.fail({
        kind: "too_many_requests",
        detail: `The customer has ${inFlight} requests in flight`,
        notRun: true,
        retryAfterMs: SYNC_PERIOD_MS,
        log: [],
      });
      return undefined;
    }
    const run = new RequestRun(call, reply, this.#runParts);
    this.#book.began(run);
    run.start();
    return run;
  }

  /**
   * Answers which gateways a caller should use: several, spread by caller,
   * those of the caller's zone first, none that is leaving.
   */
  addresses(callerKey: string, zone: string | undefined): AddressAnswer {
    const members = this.#replica.cfg.gateways.filter((member) =>
      this.#offers(member)
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

  /** Answers a peer's news with this gateway's. */
  handleSync(msg: SyncMessage): SyncMessage {
    return this.#sync.answer(msg);
  }

  /** Answers a peer that wants slots of a cold upstream owned here. */
  handleShare(req: ShareRequest): ShareReply {
    return this.#budgets.answer(req);
  }

  /**
   * Stops without cutting a request: leaves the address answers, takes work
   * while callers may still hold this address, then finishes what is in flight.
   */
  async shutdown(): Promise<void> {
    if (this.#lifecycle === "draining" || this.#lifecycle === "stopped") return;
    this.#setLifecycle("withdrawn");
    this.#exchange();
    await this.#wait(ADDRESS_TTL_MS + SYNC_PERIOD_MS);
    this.#setLifecycle("draining");
    const until = this.#parts.timers.now() + DRAIN_LIMIT_MS;
    while (this.#busy && this.#parts.timers.now() < until) {
      await this.#wait(TICK_MS);
    }
    await this.#registration.leave();
    this.halt();
  }

  /** Stops at once, without finishing anything. */
  halt(): void {
    this.#lifecycle = "stopped";
    this.#reader.stop();
    this.#registration.halt();
    for (const timer of this.#timers) timer.cancel();
    this.#timers.length = 0;
  }

  get #busy(): boolean {
    return this.#book.runs.size > 0 || this.#orders.unsettled > 0;
  }

  #makeRunParts(): RunParts {
    const { timers, client, log } = this.#parts;
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
      attemptFinished: (run, attempt, whole) =>
        this.#attemptFinished(run, attempt, whole),
      upstreamBroken: (entry, detail) => this.#upstreamBroken(entry, detail),
      upstreamUnreachable: (entry, detail) =>
        this.#upstreamUnreachable(entry, detail),
      upstreamStalled: (entry) => this.#prober.probeUpstream(entry),
      suspectRunsOn: (entry, run) => this.#suspectRunsOn(entry, run),
      finished: (run, result) => this.#runFinished(run, result),
    };
  }

  #attemptStarted(run: RequestRun, attempt: AttemptRun): void {
    const { entry } = attempt;
    const id = entry.upstream.id;
    entry.inFlight += 1;
    entry.lastStartedAt = this.#parts.timers.now();
    this.#budgets.holder.started(id);
    this.#dispatcher.started(run.customer);
    this.#book.attemptBegan(run, attempt);
  }

  #attemptFinished(run: RequestRun, attempt: AttemptRun, whole: boolean): void {
    const { entry } = attempt;
    const id = entry.upstream.id;
    entry.inFlight -= 1;
    invariant(entry.inFlight >= 0, "More attempts ended than started");
    this.#book.attemptEnded(attempt);
    if (whole) this.#attemptWhole(run, attempt);
    this.#budgets.holder.finished(id, whole);
    this.#dispatcher.finished(run.customer, run.name);
  }

  #attemptWhole(run: RequestRun, attempt: AttemptRun): void {
    attempt.entry.completed += 1;
    attempt.entry.lastCompletedAt = this.#parts.timers.now();
    this.#suspects.cleared(run.call.fingerprint);
  }

  #runFinished(run: RequestRun, result: RunResult): void {
    this.#book.ended(run);
    this.#parts.log.decided({
      kind: "finish",
      request: run.id,
      reason: result.kind,
    });
    this.#parts.onResult(run.call, result);
  }

  /** Blames the requests in flight, tells peers, and closes the upstream. */
  async #upstreamBroken(entry: UpstreamEntry, detail: string): Promise<void> {
    const id = entry.upstream.id;
    if (entry.upstream.kind === "group") {
      const prints = this.#book.runsOn(id).map((run) => run.call.fingerprint);
      this.#suspects.crashed(id, prints, this.#parts.timers.now());
    }
    this.#upstreamUnreachable(entry, detail);
    await Promise.race([this.#sync.exchange(), this.#wait(BLAME_PUSH_MS)]);
  }

  #upstreamUnreachable(entry: UpstreamEntry, detail: string): void {
    const [hostId] = entry.upstream.hostIds;
    const upstreamId = entry.upstream.id;
    const kind = "unreachable" as const;
    this.#takeEvidence({ upstreamId, hostId, kind, detail }, "own");
    this.#prober.probeUpstream(entry);
  }

  #takeEvidence(evidence: Evidence, from: "own" | "peer"): void {
    if (!this.#table.close(evidence)) return;
    this.#parts.log.decided({
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
    return this.#book.runsOn(entry.upstream.id).some((other) =>
      other !== run && this.#suspects.strikes(other.call.fingerprint) > 0
    );
  }

  #tick(): void {
    const now = this.#parts.timers.now();
    for (const run of this.#book.runs) run.tick(now);
    this.#detectCold();
    this.#budgets.askForShares();
    this.#suspects.expire(now);
    this.#dispatcher.pump();
  }

  #detectCold(): void {
    for (const [id, attempts] of this.#book.attempts) {
      const entry = this.#table.entries.get(id);
      if (entry !== undefined) this.#budgets.detectCold(entry, attempts.keys());
    }
  }

  #configChanged(cfg: Configuration): void {
    const now = this.#parts.timers.now();
    this.#budgets.owners.membersChanged(cfg.gateways, now);
    this.#parts.log.decided({
      kind: "configuration",
      reason: "A newer revision is in force",
      revision: cfg.revision,
    });
    this.#dispatcher.pump();
  }

  #takeNews(msg: SyncMessage): void {
    const now = this.#parts.timers.now();
    if (msg.cfg !== undefined) this.#replica.offer(msg.cfg);
    this.#offerRecords(msg.records);
    for (const evidence of msg.evidence) this.#takeEvidence(evidence, "peer");
    this.#budgets.takeNews(msg);
    for (const suspect of msg.suspects) this.#suspects.learn(suspect, now);
    for (const shared of msg.reports) {
      const entry = this.#table.entries.get(shared.upstreamId);
      entry?.reported(shared.report, now - shared.ageMs, false);
    }
  }

  /** Takes newer records. Returns whether there were any. */
  #offerRecords(records: SyncMessage["records"]): boolean {
    let news = false;
    for (const record of records) {
      news = this.#table.offerRecord(record) || news;
    }
    if (!news) return false;
    this.#forgetUpstreams();
    this.#dispatcher.pump();
    return true;
  }

  #forgetUpstreams(): void {
    const ids = new Set(this.#table.entries.keys());
    this.#budgets.retain(ids);
    this.#book.keepUpstreams(ids);
  }

  #localNews() {
    const now = this.#parts.timers.now();
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
      warm: [...this.#budgets.holder.warm],
      cold: this.#budgets.holder.cooledLately(now),
      suspects: this.#suspects.news(now).slice(-MAX_SHARED_SUSPECTS),
      reports,
    };
  }

  async #readHosts(): Promise<void> {
    const res = await this.#parts.hostList.list();
    if (!res.ok || this.#lifecycle === "stopped") return;
    this.#table.offerHosts(res.value);
    this.#dispatcher.pump();
  }

  #scheduleExchange(): void {
    this.#parts.timers.after(this.#sync.periodMs, () => {
      if (this.#lifecycle === "stopped") return;
      this.#exchange();
      this.#scheduleExchange();
    });
  }

  async #exchange(): Promise<void> {
    if (this.#lifecycle === "stopped") return;
    await this.#sync.exchange();
  }

  #offers(member: GatewayMember): boolean {
    if (member.id === this.#parts.self.id) {
      return this.#lifecycle === "serving";
    }
    return this.#sync.offersAddress(member.id);
  }

  #setLifecycle(lifecycle: Lifecycle): void {
    this.#lifecycle = lifecycle;
    this.#parts.log.decided({ kind: "lifecycle", reason: lifecycle });
  }

  #every(periodMs: number, callback: () => void): void {
    this.#timers.push(this.#parts.timers.subscribe(periodMs, callback));
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#parts.timers.after(ms, resolve);
    });
  }
}
