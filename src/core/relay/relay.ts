/**
 * Takes callers' requests: checks them, places them, and keeps the counts.
 *
 * @module
 */
import { sha256 } from "../../base/hash.ts";
import type { Random } from "../../base/random.ts";
import type { Timers } from "../../base/timers.ts";
import type { RelayClient, RelayHead } from "../../ports/relay_client.ts";
import type { KeyedCustomer, Route, ServiceSpec } from "../../world/catalog.ts";
import type {
  CatalogHolder,
  CatalogInForce,
} from "../catalog/catalog_holder.ts";
import type { Doubt, Evidence } from "../fleet/evidence.ts";
import type { HostRegistry } from "../fleet/host_registry.ts";
import type { Replica } from "../fleet/replica.ts";
import type { ReplicaView } from "../fleet/replica_view.ts";
import { Suspects } from "../retries/suspects.ts";
import { ColdPace } from "./cold_pace.ts";
import { CrashBlame } from "./crash_blame.ts";
import { DemandMeter } from "./demand_meter.ts";
import { LoadBoard } from "./load_board.ts";
import { Placer } from "./placer.ts";
import type { Refusal, RelayCall, RelayReply } from "./relay_call.ts";
import type {
  AttemptOutcome,
  RelayRunParts,
  RunEvent,
  RunningAttempt,
} from "./relay_run.ts";
import { RelayRun } from "./relay_run.ts";
import { ReplicaRecord } from "./replica_record.ts";
import { RequestContract } from "./request_contract.ts";
import type { RetryBounds } from "./retry_allowance.ts";
import { RetryAllowance } from "./retry_allowance.ts";
import { StallWatch } from "./stall_watch.ts";
import { WaitingRoom } from "./waiting_room.ts";

/** Pace of the watch over silent upstreams. */
const STALL_LOOK_MS = 100;
/** Pace at which requests that wait are tried again, while there are any. */
const WAITING_LOOK_MS = 20;
const EXPIRE_MS = 1_000;
/** A request that was beginning to run at so many crashes is refused. */
const CRASHES_ALLOWED = 3;
/** An upstream that sent an event this long ago lives. */
const ALIVE_MS = 150;

/** Receives the story of each request. */
export interface RelayObserver {
  noted(run: RelayRun, event: RunEvent): void;
  /** A request was refused before it began. */
  turnedAway(call: RelayCall, refusal: Refusal, version: number): void;
}

/** What the relay works with. */
export interface RelayParts {
  readonly timers: Timers;
  readonly random: Random;
  readonly client: RelayClient;
  readonly catalog: CatalogHolder;
  readonly hosts: HostRegistry;
  readonly view: ReplicaView;
  readonly evidence: Evidence;
  readonly observer: RelayObserver;
  readonly nodeId: string;
  readonly zone: string;
  readonly retryBounds: () => RetryBounds;
  /** Age of the catalog's confirmation beyond which keys are not trusted. */
  readonly keyTrustMs: () => number;
  readonly fleetSize: () => number;
  readonly fleetRank: () => number;
}

/** Relays requests to upstreams. */
export class Relay {
  readonly board = new LoadBoard();
  readonly suspects = new Suspects(CRASHES_ALLOWED);
  readonly demand: DemandMeter;
  readonly #parts: RelayParts;
  readonly #record = new ReplicaRecord();
  readonly #coldPace = new ColdPace();
  readonly #blame: CrashBlame;
  readonly #retries: RetryAllowance;
  readonly #room: WaitingRoom;
  readonly #stalls: StallWatch;
  readonly #runs = new Set<RelayRun>();
  readonly #runParts: RelayRunParts;
  #leaving = false;
  #willPump = false;

  constructor(parts: RelayParts) {
    this.#parts = parts;
    this.demand = new DemandMeter(parts.catalog);
    this.#retries = new RetryAllowance(parts.retryBounds, parts.fleetSize);
    this.#blame = new CrashBlame(
      parts.timers,
      this.suspects,
      (key) => this.board.own(key).inFlight,
    );
    this.#stalls = new StallWatch(this.board, parts.evidence);
    const placer = new Placer({
      view: parts.view,
      evidence: parts.evidence,
      hosts: parts.hosts,
      board: this.board,
      record: this.#record,
      coldPace: this.#coldPace,
      random: parts.random,
      nodeId: parts.nodeId,
      zone: parts.zone,
      fleetSize: parts.fleetSize,
      fleetRank: parts.fleetRank,
    });
    this.#room = new WaitingRoom((query, now) => placer.place(query, now));
    this.#runParts = this.#makeRunParts();
    parts.evidence.onDoubt((doubt) => this.#doubted(doubt));
    parts.hosts.onChange(() => this.#room.pump(parts.timers.now()));
  }

  /** Begins to watch the requests under way. */
  start(): void {
    const { timers } = this.#parts;
    timers.subscribe(STALL_LOOK_MS, () => this.#stalls.look(timers.now()));
    timers.subscribe(EXPIRE_MS, () => this.#expire(timers.now()));
  }

  /** Requests that have not ended. */
  get inFlight(): number {
    return this.#runs.size;
  }

  /** Requests that wait for an upstream. */
  get waiting(): number {
    return this.#room.size;
  }

  /** Refuses new requests from now on; those under way go on. */
  refuseNew(): void {
    this.#leaving = true;
  }

  /** Takes a request. Its reply is ended exactly once. */
  handle(call: RelayCall, reply: RelayReply): RelayRun | undefined {
    const admitted = this.#admit(call);
    if ("kind" in admitted) {
      const version = this.#parts.catalog.version;
      this.#parts.observer.turnedAway(call, admitted, version);
      reply.refuse(admitted);
      return undefined;
    }
    const { route, service, customer, fingerprint } = admitted;
    const now = this.#parts.timers.now();
    this.#retries.request(service.name, now);
    this.demand.asked(service, call, now);
    const run = new RelayRun(
      this.#runParts,
      call,
      reply,
      new RequestContract(route, call, now),
      service,
      customer,
      fingerprint,
    );
    this.#runs.add(run);
    run.start();
    return run;
  }

  #admit(call: RelayCall): Refusal | {
    readonly route: Route;
    readonly service: ServiceSpec;
    readonly customer: KeyedCustomer | undefined;
    readonly fingerprint: string;
  } {
    if (this.#leaving) {
      return refusal("shutting_down", "This host is leaving", 100);
    }
    const inForce = this.#parts.catalog.inForce;
    if (inForce === undefined) {
      return refusal("no_catalog", "No catalog is known yet", 500);
    }
    const path = pathOf(call.target);
    const route = inForce.routes.find(call.hostName, path);
    if (route === undefined) return refusal("unknown_route", "No such route");
    const customer = this.#customer(inForce, route, call);
    if (customer !== undefined && "kind" in customer) return customer;
    const service = this.#chooseService(inForce, route);
    if (service === undefined) {
      return refusal("no_replica", "The route's service is not declared", 500);
    }
    const fingerprint = fingerprintOf(call, customer);
    if (this.suspects.isRefused(fingerprint)) {
      return refusal("crashes_upstreams", "It ran at several crashes");
    }
    return { route, service, customer, fingerprint };
  }

  #customer(
    inForce: CatalogInForce,
    route: Route,
    call: RelayCall,
  ): KeyedCustomer | Refusal | undefined {
    const { customerOfKey } = inForce;
    if (customerOfKey === undefined || route.isPublic) return undefined;
    const { confirmationAgeMs } = this.#parts.catalog;
    if (confirmationAgeMs > this.#parts.keyTrustMs()) {
      const detail = `Confirmed ${Math.round(confirmationAgeMs)} ms ago`;
      return refusal("unconfirmed", detail, 200);
    }
    return customerOfKey.get(call.apiKey ?? "") ??
      refusal("unknown_key", "The key belongs to no customer");
  }

  #chooseService(
    inForce: CatalogInForce,
    route: Route,
  ): ServiceSpec | undefined {
    const total = route.targets.reduce((sum, t) => sum + t.weight, 0);
    let at = this.#parts.random.float() * total;
    for (const target of route.targets) {
      at -= target.weight;
      if (at < 0) return inForce.services.get(target.service);
    }
    return inForce.services.get(route.targets.at(-1)?.service ?? "");
  }

  #makeRunParts(): RelayRunParts {
    const { timers } = this.#parts;
    return {
      timers,
      client: this.#parts.client,
      enterRoom: (run) => {
        this.#room.enter(run, timers.now());
        this.#pumpSoon();
      },
      leaveRoom: (run) => this.#room.leave(run),
      mayRepeat: (service) => this.#retries.spend(service, timers.now()),
      attemptStarted: (run, attempt) => this.#attemptStarted(run, attempt),
      attemptFirstByte: (run, attempt) => this.#firstByte(run, attempt),
      attemptEnded: (run, attempt, outcome, head) =>
        this.#attemptEnded(run, attempt, outcome, head),
      crashesUpstreams: (run) => this.suspects.isRefused(run.fingerprint),
      hostLives: (replica) => this.#hostLives(replica),
      note: (run, event) => this.#parts.observer.noted(run, event),
      ended: (run) => this.#ended(run),
    };
  }

  /** Tries those that wait until nobody does. */
  #pumpSoon(): void {
    if (this.#willPump || this.#room.size === 0) return;
    this.#willPump = true;
    const { timers } = this.#parts;
    timers.after(WAITING_LOOK_MS, () => {
      this.#willPump = false;
      this.#room.pump(timers.now());
      this.#pumpSoon();
    });
  }

  #attemptStarted(run: RelayRun, attempt: RunningAttempt): void {
    const { key, host } = attempt.replica;
    const load = this.board.own(key);
    load.inFlight += 1;
    load.reading += run.promptTokens;
    const now = this.#parts.timers.now();
    if (this.#parts.hosts.coldUntil(host.id) > now) {
      this.#coldPace.started(host.id, now);
    }
    if (run.model !== undefined) this.#stalls.started(run, attempt);
  }

  #firstByte(run: RelayRun, attempt: RunningAttempt): void {
    const { key } = attempt.replica;
    const now = this.#parts.timers.now();
    const load = this.board.own(key);
    load.reading = Math.max(0, load.reading - run.promptTokens);
    load.lastEventAt = now;
    const tookMs = now - attempt.startedAt;
    this.#record.firstByte(key, tookMs, attempt.expectedMs, now);
    if (this.#parts.evidence.isDoubted(key)) {
      this.#parts.evidence.trust(key, now);
    }
  }

  #attemptEnded(
    run: RelayRun,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    head: RelayHead | undefined,
  ): void {
    const { key } = attempt.replica;
    const now = this.#parts.timers.now();
    const load = this.board.own(key);
    load.inFlight -= 1;
    if (attempt.lastDataAt === undefined) {
      load.reading = Math.max(0, load.reading - run.promptTokens);
    } else if (
      load.lastEventAt === undefined ||
      attempt.lastDataAt > load.lastEventAt
    ) {
      load.lastEventAt = attempt.lastDataAt;
    }
    if (run.model !== undefined) this.#stalls.ended(run, attempt);
    if (outcome !== "cancelled") {
      this.#record.ended(key, outcome !== "answered", now);
    }
    this.#judge(run, attempt, outcome, head);
  }

  /** Draws conclusions about the upstream from how an attempt ended. */
  #judge(
    run: RelayRun,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    head: RelayHead | undefined,
  ): void {
    const { key } = attempt.replica;
    const now = this.#parts.timers.now();
    if (outcome === "answered") this.suspects.cleared(run.fingerprint);
    if (outcome === "reset" && attempt.lastDataAt === undefined) {
      this.#blame.reset(key, run.fingerprint);
    }
    if (outcome === "not_sent" || outcome === "wrong_host") {
      // One channel that did not open says little while others carry events.
      const silentMs = now - (this.board.lastEventAt(key) ?? -Infinity);
      if (silentMs < ALIVE_MS && run.model !== undefined) return;
      this.#parts.evidence.doubt({ key, kind: "unreachable", at: now }, "own");
    } else if (outcome === "refused" && head?.atFault !== undefined) {
      this.#parts.evidence.doubt({ key, kind: "silent", at: now }, "own");
    } else if (outcome === "reset" && run.model !== undefined) {
      this.#parts.evidence.doubt({ key, kind: "reset", at: now }, "own");
    }
  }

  /** Moves the streams of a doubted upstream. */
  #doubted(doubt: Doubt): void {
    if (doubt.kind === "reset") return;
    for (const run of this.#stalls.runsOn(doubt.key)) {
      run.upstreamLost(`upstream ${doubt.kind}`);
    }
  }

  #hostLives(replica: Replica): boolean {
    return this.#parts.hosts.get(replica.host.id) !== undefined;
  }

  #ended(run: RelayRun): void {
    this.#runs.delete(run);
    this.#room.pump(this.#parts.timers.now());
  }

  #expire(now: number): void {
    this.board.expire(now);
    this.#record.expire(now);
    this.#coldPace.expire(now);
    this.suspects.expire(now);
    this.#parts.evidence.expire(now);
    this.#parts.hosts.expire(now);
  }
}

function refusal(
  kind: Refusal["kind"],
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return { kind, detail, retryAfterMs };
}

function pathOf(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

/** Same for every sending of the same request by the same caller. */
function fingerprintOf(
  call: RelayCall,
  customer: KeyedCustomer | undefined,
): string {
  const head = `${customer?.name ?? ""} ${call.method} ${call.target} `;
  return sha256(head + sha256(call.body)).slice(0, 24);
}
