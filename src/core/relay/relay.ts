/**
 * Admits callers' requests, places them on upstreams and tracks load, failures
 * and retries.
 *
 * An upstream is a replica group or a host of a service without an engine. In
 * this folder, each is represented by a {@linkcode Replica} and identified by its
 * `key`.
 *
 * @module
 */
import { sha256 } from "../../base/hash.ts";
import type { LoopLag } from "../../base/loop_monitor.ts";
import type { Random } from "../../base/random.ts";
import type { Timers } from "../../base/timers.ts";
import type { RelayClient, RelayHead } from "../../ports/relay_client.ts";
import type { KeyedCustomer, Route, ServiceSpec } from "../../world/catalog.ts";
import type {
  CatalogHolder,
  CatalogInForce,
} from "../catalog/catalog_holder.ts";
import type {
  Suspicion,
  SuspicionTracker,
} from "../fleet/suspicion_tracker.ts";
import type { HostRegistry } from "../fleet/host_registry.ts";
import type { ReplicaView } from "../fleet/replica_view.ts";
import { EngineOutlook } from "../outlook/mod.ts";
import { PromptPartTracker } from "../retries/prompt_part_tracker.ts";
import type { SuspectPart } from "../retries/suspect_part.ts";
import { SuspectRequestTracker } from "../retries/suspect_request_tracker.ts";
import type { EventNumbering } from "../streams/mod.ts";
import { EventNumberings } from "../streams/mod.ts";
import { ColdHostLimiter } from "./cold_host_limiter.ts";
import type { CrashVerdict } from "./crash_detector.ts";
import { CrashDetector } from "./crash_detector.ts";
import { DemandMeter } from "./demand_meter.ts";
import { LoadTracker } from "./load_tracker.ts";
import { Placer, plainRequestMs } from "./placer.ts";
import type { Refusal, RelayRequest, RelayResponse } from "./relay_request.ts";
import type { RelayRunDependencies, RunEvent } from "./relay_run.ts";
import { RelayRun } from "./relay_run.ts";
import type { AttemptOutcome, RunningAttempt } from "./running_attempt.ts";
import { ReplicaFailures } from "./replica_failures.ts";
import { RequestContract } from "./request_contract.ts";
import { RequestCosts } from "./request_costs.ts";
import type { RetryBounds } from "./fleet_retry_budget.ts";
import { FleetRetryBudget } from "./fleet_retry_budget.ts";
import { HostNotices } from "./host_notices.ts";
import { StallDetector } from "./stall_detector.ts";
import { RequestQueue } from "./request_queue.ts";

/** Interval at which upstreams are checked for stalls. */
const STALL_CHECK_INTERVAL_MS = 100;
/** Interval at which placement of queued requests is retried. */
const DISPATCH_INTERVAL_MS = 20;
/** Interval at which outdated state is dropped. */
const EXPIRY_INTERVAL_MS = 1_000;
/** A request is refused once this many upstreams crashed as it began to run. */
const MAX_CRASHES = 3;
/** A request that crashes its upstream does so within this time of its first event. */
const FIRST_EVENT_CRASH_MS = 250;
/** A lag of the event loop from which requests may have been read late. */
const BEHIND_LAG_MS = 100;
/** Time for which requests may have been read late after such a lag. */
const BEHIND_WINDOW_MS = 200;
/** An upstream that sent an event within this time is considered reachable. */
const RECENT_EVENT_MS = 150;

/** Receives the events of each request, for logs and metrics. */
export interface RelayObserver {
  /** Called for each event of a request that was admitted. */
  onEvent(run: RelayRun, event: RunEvent): void;
  /** Called when an attempt gets its first byte after `measuredMs`. */
  onFirstByte(
    run: RelayRun,
    attempt: RunningAttempt,
    measuredMs: number,
  ): void;
  /** Called when a request is refused before it is queued. */
  onRefused(
    request: RelayRequest,
    refusal: Refusal,
    catalogVersion: number,
  ): void;
  /** Called when resets of an upstream's connections have been judged. */
  onCrashVerdict(verdict: CrashVerdict): void;
  /** Called when a host names another rate limit than before, or none. */
  onRateLimitChanged(hostId: string, perSecond: number | undefined): void;
  /** Called when a host names a rate limit that can't be read. */
  onMalformedRateLimit(hostId: string, text: string): void;
  /** Called when requests with a prompt part are refused from now on. */
  onPartQuarantined(suspect: SuspectPart): void;
  /**
   * Called when a caller that had been refused, and returned when it was told, is
   * placed or refused again.
   */
  onReturned(result: "placed" | "refused"): void;
  /** Called when a service numbers the events of its streams another way. */
  onNumberingLearned(service: string, numbering: EventNumbering): void;
}

/** Dependencies and settings of a {@linkcode Relay}. */
export interface RelayDependencies {
  readonly timers: Timers;
  readonly random: Random;
  readonly client: RelayClient;
  readonly catalog: CatalogHolder;
  readonly hosts: HostRegistry;
  readonly view: ReplicaView;
  readonly suspicions: SuspicionTracker;
  readonly observer: RelayObserver;
  readonly nodeId: string;
  readonly zone: string;
  readonly loopLag: LoopLag;
  readonly retryBounds: () => RetryBounds;
  /** Maximum age of the catalog's confirmation at which API keys are trusted. */
  readonly maxConfirmationAgeMs: () => number;
  /** Engine milliseconds requested per second from all nodes, by model. */
  readonly fleetDemand: () => ReadonlyMap<string, number>;
  /**
   * Number of live nodes, i.e. processes that relay requests, including those
   * that are starting or leaving.
   */
  readonly fleetSize: () => number;
  /** Index of this process among the nodes in state `serving`, from 0. */
  readonly fleetRank: () => number;
}

/** Forwards callers' requests to upstreams and retries where that is safe. */
export class Relay {
  readonly loads = new LoadTracker();
  /** Requests suspected of causing crashes; `suspicions` concern upstreams. */
  readonly suspectRequests = new SuspectRequestTracker(MAX_CRASHES);
  /** Prompt parts suspected of causing crashes. */
  readonly promptParts = new PromptPartTracker();
  /** What hosts said of themselves in responses. */
  readonly hostNotices: HostNotices;
  readonly demand: DemandMeter;
  readonly outlook: EngineOutlook;
  readonly #deps: RelayDependencies;
  readonly #failures = new ReplicaFailures();
  readonly #numberings = new EventNumberings();
  readonly #coldHostLimiter = new ColdHostLimiter();
  readonly #crashDetector: CrashDetector;
  readonly #retryBudget: FleetRetryBudget;
  readonly #queue: RequestQueue;
  readonly #stallDetector: StallDetector;
  readonly #runs = new Set<RelayRun>();
  /** Requests that run once although their prompt part is in quarantine. */
  readonly #probes = new WeakSet<RelayRun>();
  readonly #runDependencies: RelayRunDependencies;
  #isShuttingDown = false;
  #isDispatchScheduled = false;

  constructor(deps: RelayDependencies) {
    this.#deps = deps;
    this.demand = new DemandMeter(deps.catalog);
    this.outlook = new EngineOutlook({
      fleetDemand: deps.fleetDemand,
      statusLagMs: () => this.loads.lagMs,
    });
    this.#retryBudget = new FleetRetryBudget(
      deps.retryBounds,
      deps.fleetSize,
    );
    this.#crashDetector = new CrashDetector({
      timers: deps.timers,
      suspectRequests: this.suspectRequests,
      promptParts: this.promptParts,
      inFlight: (key) => this.loads.localLoad(key).inFlight,
      onVerdict: (verdict) => deps.observer.onCrashVerdict(verdict),
    });
    this.hostNotices = new HostNotices(() => ({
      size: deps.fleetSize(),
      rank: deps.fleetRank(),
    }));
    this.#stallDetector = new StallDetector(this.loads, deps.suspicions);
    const placer = new Placer({
      view: deps.view,
      suspicions: deps.suspicions,
      hosts: deps.hosts,
      loads: this.loads,
      outlook: this.outlook,
      failures: this.#failures,
      coldHostLimiter: this.#coldHostLimiter,
      hostNotices: this.hostNotices,
      random: deps.random,
      nodeId: deps.nodeId,
      zone: deps.zone,
      fleetSize: deps.fleetSize,
      fleetRank: deps.fleetRank,
    });
    const costs = new RequestCosts(
      deps.view,
      deps.suspicions,
      this.outlook,
    );
    this.#queue = new RequestQueue({
      place: (query, now) => placer.place(query, now),
      costOf: (query) => costs.of(query, this.#deps.timers.now()),
      rateOf: (query) => costs.rateOf(query),
      position: () => ({ size: deps.fleetSize(), rank: deps.fleetRank() }),
      onReturned: (result) => deps.observer.onReturned(result),
    });
    this.#runDependencies = this.#createRunDependencies();
    this.promptParts.onQuarantined((suspect) =>
      deps.observer.onPartQuarantined(suspect)
    );
    deps.suspicions.onSuspicion((suspicion) => this.#onSuspicion(suspicion));
    deps.hosts.onChange(() => this.#dispatch());
  }

  /** Starts the timers that detect stalls and drop outdated state. */
  start(): void {
    const { timers } = this.#deps;
    timers.subscribe(STALL_CHECK_INTERVAL_MS, () => {
      // Events may have arrived that the loop has not read.
      if (this.#lateMs(timers.now()) > 0) return;
      this.#stallDetector.check(timers.now());
    });
    timers.subscribe(EXPIRY_INTERVAL_MS, () => this.#expire(timers.now()));
  }

  /** Number of requests that have not ended. */
  get inFlight(): number {
    return this.#runs.size;
  }

  /** Number of requests that are queued for an upstream. */
  get queuedCount(): number {
    return this.#queue.size;
  }

  /** Number of queued requests of each priority. */
  get queuedByPriority(): ReadonlyMap<number, number> {
    return this.#queue.sizeByPriority;
  }

  /** Refuses new requests from now on; requests in flight are completed. */
  refuseNewRequests(): void {
    this.#isShuttingDown = true;
  }

  /**
   * Handles a request. The response is ended, refused or aborted exactly once.
   * Returns undefined if the request was refused before it was queued.
   */
  handle(request: RelayRequest, response: RelayResponse): RelayRun | undefined {
    const admission = this.#admit(request);
    if ("kind" in admission) {
      const version = this.#deps.catalog.version;
      this.#deps.observer.onRefused(request, admission, version);
      response.refuse(admission);
      return undefined;
    }
    const { route, service, customer, fingerprint, isProbe } = admission;
    const now = this.#deps.timers.now();
    this.#retryBudget.recordRequest(service.name, now);
    this.demand.recordRequest(service, request, now);
    const lateMs = this.#lateMs(now);
    const run = new RelayRun(
      this.#runDependencies,
      request,
      response,
      new RequestContract(route, request, now - lateMs - request.heldMs),
      service,
      customer,
      fingerprint,
    );
    this.#runs.add(run);
    if (isProbe) this.#probes.add(run);
    run.start();
    return run;
  }

  /**
   * How long ago a request that is read now may have arrived, in milliseconds; 0
   * unless the event loop is behind. The caller's deadline counts from there.
   */
  #lateMs(now: number): number {
    const lagMs = this.#deps.loopLag.worstSince(now - BEHIND_WINDOW_MS);
    return lagMs > BEHIND_LAG_MS ? lagMs : 0;
  }

  /** Returns what is needed to run a request, or why it is refused. */
  #admit(request: RelayRequest): Refusal | {
    readonly route: Route;
    readonly service: ServiceSpec;
    readonly customer: KeyedCustomer | undefined;
    readonly fingerprint: string;
    readonly isProbe: boolean;
  } {
    if (this.#isShuttingDown) {
      return refusal("shutting_down", "This host is leaving", 100);
    }
    const inForce = this.#deps.catalog.inForce;
    if (inForce === undefined) {
      return refusal("no_catalog", "No catalog is known yet", 500);
    }
    const path = parsePath(request.target);
    const route = inForce.routes.find(request.hostName, path);
    if (route === undefined) return refusal("unknown_route", "No such route");
    const customer = this.#authenticate(inForce, route, request);
    if (customer !== undefined && "kind" in customer) return customer;
    const service = this.#chooseService(inForce, route);
    if (service === undefined) {
      return refusal(
        "no_replica",
        "The route's service is not declared",
        500,
      );
    }
    const fingerprint = computeFingerprint(request, customer);
    if (this.suspectRequests.isRefused(fingerprint)) {
      return refusal("crashes_upstreams", "It ran at several crashes");
    }
    const { promptParts } = request;
    const part = this.promptParts.quarantinedPart(promptParts);
    const isProbe = part !== undefined && this.#mayProbe(promptParts);
    if (part !== undefined && !isProbe) {
      const detail = `Upstreams crashed on prompt part ${part}`;
      return refusal("crashes_upstreams", detail);
    }
    return { route, service, customer, fingerprint, isProbe };
  }

  /** Whether a request may probe its part; one process of the fleet probes. */
  #mayProbe(promptParts: readonly string[]): boolean {
    const { fleetRank, timers } = this.#deps;
    return fleetRank() === 0 &&
      this.promptParts.takeProbe(promptParts, timers.now());
  }

  /**
   * Returns the customer that the request's key belongs to, or why the request is
   * refused; undefined if the route needs no key.
   */
  #authenticate(
    inForce: CatalogInForce,
    route: Route,
    request: RelayRequest,
  ): KeyedCustomer | Refusal | undefined {
    const { customerOfKey } = inForce;
    if (customerOfKey === undefined || route.isPublic) return undefined;
    const { confirmationAgeMs } = this.#deps.catalog;
    if (confirmationAgeMs > this.#deps.maxConfirmationAgeMs()) {
      const detail = `Confirmed ${Math.round(confirmationAgeMs)} ms ago`;
      return refusal("unconfirmed", detail, 200);
    }
    return customerOfKey.get(request.apiKey ?? "") ??
      refusal("unknown_key", "The key belongs to no customer");
  }

  /** Chooses one of the route's services at random, by weight. */
  #chooseService(
    inForce: CatalogInForce,
    route: Route,
  ): ServiceSpec | undefined {
    const total = route.targets.reduce((sum, t) => sum + t.weight, 0);
    let remaining = this.#deps.random.float() * total;
    for (const target of route.targets) {
      remaining -= target.weight;
      if (remaining < 0) return inForce.services.get(target.service);
    }
    return inForce.services.get(route.targets.at(-1)?.service ?? "");
  }

  #createRunDependencies(): RelayRunDependencies {
    const { timers } = this.#deps;
    return {
      timers,
      client: this.#deps.client,
      placeOrEnqueue: (run) =>
        this.#afterCloses(() => {
          if (run.isEnded) return;
          this.#queue.placeOrEnqueue(run, timers.now());
          this.#scheduleDispatch();
        }),
      dequeue: (run) => this.#queue.remove(run),
      spendRetry: (service) => this.#retryBudget.spend(service, timers.now()),
      onAttemptStarted: (run, attempt) => this.#onAttemptStarted(run, attempt),
      onHead: (attempt, head) => this.#recordNotice(attempt, head),
      onFirstByte: (run, attempt) => this.#onFirstByte(run, attempt),
      onAttemptEnded: (run, attempt, outcome, head) =>
        this.#onAttemptEnded(run, attempt, outcome, head),
      onContinued: (run, attempt) => this.#onContinued(run, attempt),
      crashesUpstreams: (run) => this.#crashesUpstreams(run),
      mayReceive: (replica) => this.#deps.view.isAnnounced(replica),
      numberings: this.#numberings,
      onNumbering: (service, numbering) => {
        if (!this.#numberings.learn(service, numbering)) return;
        this.#deps.observer.onNumberingLearned(service, numbering);
      },
      onEvent: (run, event) => this.#deps.observer.onEvent(run, event),
      onEnded: (run) => this.#onEnded(run),
    };
  }

  /**
   * Calls back at once, or, if the event loop is behind, after it has noticed which
   * callers have disconnected by now.
   */
  #afterCloses(callback: () => void): void {
    const { timers } = this.#deps;
    if (this.#lateMs(timers.now()) > 0) timers.afterInput(callback);
    else callback();
  }

  #dispatch(): void {
    if (this.#queue.size === 0) return;
    this.#afterCloses(() => this.#queue.dispatch(this.#deps.timers.now()));
  }

  /** Dispatches queued requests at intervals until the queue is empty. */
  #scheduleDispatch(): void {
    if (this.#isDispatchScheduled || this.#queue.size === 0) return;
    this.#isDispatchScheduled = true;
    const { timers } = this.#deps;
    timers.after(DISPATCH_INTERVAL_MS, () => {
      this.#isDispatchScheduled = false;
      this.#dispatch();
      this.#scheduleDispatch();
    });
  }

  #onAttemptStarted(run: RelayRun, attempt: RunningAttempt): void {
    const { key, host } = attempt.replica;
    const load = this.loads.localLoad(key);
    load.inFlight += 1;
    load.pendingPromptTokens += run.promptTokens;
    const now = this.#deps.timers.now();
    if (this.#deps.hosts.coldUntil(host.id) > now) {
      this.#coldHostLimiter.recordStart(host.id, now);
    }
    this.hostNotices.recordStart(host, now);
    if (run.model !== undefined) this.#stallDetector.watch(run, attempt);
  }

  #recordNotice({ replica }: RunningAttempt, head: RelayHead): void {
    const { id, born } = replica.host;
    const { rateLimit } = head;
    if (head.wrongHost) return;
    if (rateLimit.kind === "malformed") {
      this.#deps.observer.onMalformedRateLimit(id, rateLimit.text);
      return;
    }
    const at = this.#deps.timers.now();
    const perSecond = rateLimit.kind === "limited"
      ? rateLimit.perSecond
      : undefined;
    const isChanged = this.hostNotices.record(
      { id, born, perSecond, at },
      "own",
    );
    if (isChanged) this.#deps.observer.onRateLimitChanged(id, perSecond);
  }

  #onFirstByte(run: RelayRun, attempt: RunningAttempt): void {
    const { key } = attempt.replica;
    const now = this.#deps.timers.now();
    const load = this.loads.localLoad(key);
    load.pendingPromptTokens = Math.max(
      0,
      load.pendingPromptTokens - run.promptTokens,
    );
    if (isSuccess(attempt)) this.#recordFirstEvent(run, attempt, now);
    if (this.#deps.suspicions.isSuspected(key)) {
      this.#deps.suspicions.clear(key, now, "own");
    }
  }

  #recordFirstEvent(run: RelayRun, attempt: RunningAttempt, now: number): void {
    const { replica, forecast, load, startedAt } = attempt;
    this.loads.localLoad(replica.key).lastEventAt = now;
    // A loop that is behind reads events late.
    if (this.#lateMs(now) > 0) return;
    const computedMs = forecast?.computedMs ??
      plainRequestMs(load.inFlight, replica.host.slots);
    this.outlook.recordFirstEvent(replica, computedMs, now - startedAt, now);
    this.#deps.observer.onFirstByte(run, attempt, now - startedAt);
  }

  #onContinued(run: RelayRun, attempt: RunningAttempt): void {
    const now = this.#deps.timers.now();
    const begunAt = attempt.firstProgressAt ?? now;
    if (run.model === undefined) return;
    const { promptParts } = run.request;
    this.promptParts.recordBegun(run.model, promptParts, begunAt, now);
  }

  #crashesUpstreams(run: RelayRun): boolean {
    if (this.suspectRequests.isRefused(run.fingerprint)) return true;
    if (this.#probes.has(run) && !run.isRetry) return false;
    return this.promptParts.isRefused(run.request.promptParts);
  }

  #onAttemptEnded(
    run: RelayRun,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    head: RelayHead | undefined,
  ): void {
    const { key } = attempt.replica;
    const now = this.#deps.timers.now();
    const load = this.loads.localLoad(key);
    load.inFlight -= 1;
    if (attempt.lastProgressAt === undefined) {
      load.pendingPromptTokens = Math.max(
        0,
        load.pendingPromptTokens - run.promptTokens,
      );
    } else if (
      isSuccess(attempt) &&
      attempt.lastProgressAt > (load.lastEventAt ?? -Infinity)
    ) {
      load.lastEventAt = attempt.lastProgressAt;
    }
    if (run.model !== undefined) this.#stallDetector.unwatch(run, attempt);
    if (outcome !== "cancelled" && outcome !== "withheld") {
      this.#failures.record(key, outcome !== "answered", now);
    }
    this.#recordSuspicions(run, attempt, outcome, head);
  }

  /**
   * Updates the requests suspected of causing crashes, and the suspicions of
   * upstreams, from the outcome of an attempt.
   */
  #recordSuspicions(
    run: RelayRun,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    head: RelayHead | undefined,
  ): void {
    const { key, host } = attempt.replica;
    const now = this.#deps.timers.now();
    if (outcome === "answered") this.suspectRequests.clear(run.fingerprint);
    if (outcome === "reset" && hasJustBegun(attempt, now)) {
      const { fingerprint, model, request } = run;
      const parts = request.promptParts;
      this.#crashDetector.recordReset(
        { key, born: host.born },
        { fingerprint, model, parts },
      );
    }
    if (outcome === "not_sent" || outcome === "wrong_host") {
      // A single failed connection does not suggest that the upstream is
      // unreachable while events still arrive over others.
      const silentMs = now - (this.loads.lastEventAt(key) ?? -Infinity);
      if (silentMs < RECENT_EVENT_MS && run.model !== undefined) return;
      this.#deps.suspicions.record(
        { key, kind: "unreachable", at: now },
        "own",
      );
    } else if (outcome === "refused" && head?.faultyMemberId !== undefined) {
      // A group with a faulty member is suspected as a whole.
      this.#deps.suspicions.record(
        { key, kind: "silent", at: now },
        "own",
      );
    } else if (outcome === "reset" && run.model !== undefined) {
      this.#deps.suspicions.record({ key, kind: "reset", at: now }, "own");
    }
  }

  /** Retries the requests of a suspected upstream elsewhere. */
  #onSuspicion(suspicion: Suspicion): void {
    // A single connection may have been reset: requests on others continue.
    if (suspicion.kind === "reset") return;
    for (const run of this.#stallDetector.runsOn(suspicion.key)) {
      run.retryElsewhere(`upstream ${suspicion.kind}`);
    }
  }

  #onEnded(run: RelayRun): void {
    this.#runs.delete(run);
    this.#dispatch();
  }

  #expire(now: number): void {
    this.loads.expire(now);
    this.#queue.expire(now);
    this.#failures.expire(now);
    this.outlook.expire(now);
    this.#coldHostLimiter.expire(now);
    this.hostNotices.expire(now);
    this.suspectRequests.expire(now);
    this.promptParts.expire(now);
    this.#deps.suspicions.expire(now);
    this.#deps.hosts.expire(now);
  }
}

/** Whether an attempt's response has a 2xx status; others tell nothing of engines. */
function isSuccess({ head }: RunningAttempt): boolean {
  return head !== undefined && head.status >= 200 && head.status < 300;
}

/** Whether a response has not begun, or so recently that it may crash its host. */
function hasJustBegun(attempt: RunningAttempt, now: number): boolean {
  const { firstProgressAt, hasContinued } = attempt;
  if (firstProgressAt === undefined) return true;
  return !hasContinued && now - firstProgressAt < FIRST_EVENT_CRASH_MS;
}

function refusal(
  kind: Refusal["kind"],
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return { kind, detail, retryAfterMs };
}

function parsePath(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

/** Hash that is equal for repetitions of a request by the same customer. */
function computeFingerprint(
  request: RelayRequest,
  customer: KeyedCustomer | undefined,
): string {
  const prefix = `${customer?.name ?? ""} ${request.method} ${request.target} `;
  return sha256(prefix + sha256(request.body)).slice(0, 24);
}
