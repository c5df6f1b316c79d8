/**
 * Lifecycle of one relayed request: placement, attempts and response.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type {
  RelayClient,
  RelayEnd,
  RelayHead,
  RelayListener,
} from "../../ports/relay_client.ts";
import { MAX_FAILURE_BODY_MS } from "../../ports/response_limits.ts";
import type { KeyedCustomer, ServiceSpec } from "../../world/catalog.ts";
import type { Replica } from "../fleet/replica.ts";
import type { RelayResponseWriter } from "./relay_response_writer.ts";
import {
  BufferedResponseWriter,
  StreamResponseWriter,
} from "./relay_response_writer.ts";
import type { EngineForecast } from "../outlook/mod.ts";
import type { TotalLoad } from "./load_tracker.ts";
import type { Placement, PlacementQuery } from "./placer.ts";
import type {
  Refusal,
  RefusalKind,
  RelayRequest,
  RelayResponse,
} from "./relay_request.ts";
import { FailedResponse } from "./failed_response.ts";
import type { RequestContract } from "./request_contract.ts";
import type { AttemptOutcome, RunningAttempt } from "./running_attempt.ts";
import type {
  EventNumbering,
  EventNumberings,
  StreamFault,
  StreamFaultKind,
} from "../streams/mod.ts";

/**
 * Maximum queueing time, as a share of the route's goal: its target for the time
 * to the response or to the first event.
 */
const MAX_QUEUE_TIME_GOAL_SHARE = 1 / 8;
/** Maximum queueing time of a retry, unless the share of the goal is longer. */
const RETRY_MAX_QUEUE_TIME_MS = 600;
/**
 * A first attempt is sent only if the first byte is expected within this share
 * of the goal.
 */
const FIRST_BYTE_GOAL_SHARE = 0.8;

/** Callers wait at least this long for the next event of a stream. */
const MIN_CALLER_PATIENCE_MS = 2_000;

/**
 * Statuses that callers take as a guarantee that the request has not run. An
 * upstream's error response with one of them is not forwarded, as the request
 * may have run.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What a failed attempt may have done at the upstream. */
type AttemptEffect =
  | "may_have_run"
  | "not_run"
  /** The upstream did not receive it, so the retry is not one to upstreams. */
  | "withheld";

/** How a request ended. */
export type RunOutcome =
  | "answered"
  /** An upstream's error response was forwarded. */
  | "passed_failure"
  /** The caller disconnected. */
  | "caller_gone"
  | RefusalKind;

/** One event in the lifecycle of a request. */
export interface RunEvent {
  readonly event: "sent" | "attempt_ended" | "ended";
  readonly outcome?: AttemptOutcome | RunOutcome;
  readonly detail?: string;
  /** What was wrong with the stream of the attempt. */
  readonly fault?: StreamFaultKind;
  readonly replica?: Replica;
  /** Expected time to the first byte. */
  readonly expectedMs?: number;
  /** Forecast of the engine. */
  readonly forecast?: EngineForecast;
  /** Load of all nodes on the upstream when it was chosen. */
  readonly load?: TotalLoad;
  /** Number of announced replicas that were not suspected. */
  readonly considered?: number;
  /** Time without progress when the attempt ended; undefined if it had none. */
  readonly silentMs?: number;
  /** Time after which a refused caller is to return. */
  readonly retryAfterMs?: number;
}

/** What a {@linkcode RelayRun} needs from the relay. */
export interface RelayRunDependencies {
  readonly timers: Timers;
  readonly client: RelayClient;
  /** Places the request on an upstream, or queues it. */
  placeOrEnqueue(run: RelayRun): void;
  dequeue(run: RelayRun): void;
  /** Returns false if the service's retry budget is exhausted. */
  spendRetry(service: string): boolean;
  onAttemptStarted(run: RelayRun, attempt: RunningAttempt): void;
  /** Called with each head, also of an attempt that has ended. */
  onHead(attempt: RunningAttempt, head: RelayHead): void;
  onFirstByte(run: RelayRun, attempt: RunningAttempt): void;
  /** Called once when a response goes on, or ends, after its first byte. */
  onContinued(run: RelayRun, attempt: RunningAttempt): void;
  onAttemptEnded(
    run: RelayRun,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    head: RelayHead | undefined,
  ): void;
  /** Whether upstreams crashed too often as such a request began to run. */
  crashesUpstreams(run: RelayRun): boolean;
  /** Whether requests may still be sent to the upstream. */
  mayReceive(replica: Replica): boolean;
  /** How services number the events of their streams. */
  readonly numberings: EventNumberings;
  /** Called when a complete stream shows another numbering than expected. */
  onNumbering(service: string, numbering: EventNumbering): void;
  onEvent(run: RelayRun, event: RunEvent): void;
  onEnded(run: RelayRun, outcome: RunOutcome): void;
}

/** Runs one request until it ends, which happens exactly once. */
export class RelayRun implements PlacementQuery {
  readonly request: RelayRequest;
  readonly contract: RequestContract;
  readonly service: ServiceSpec;
  readonly customer: KeyedCustomer | undefined;
  /** Hash that is equal for repetitions of the request by its customer. */
  readonly fingerprint: string;
  readonly arrivedAt: number;
  readonly #deps: RelayRunDependencies;
  readonly #response: RelayResponse;
  readonly #writer: RelayResponseWriter;
  readonly #excludedKeys = new Set<string>();
  readonly #deadlineTimer: Timer;
  #attempt: RunningAttempt | undefined;
  /** Error response to forward to the caller if no other attempt succeeds. */
  #failedResponse: FailedResponse | undefined;
  #mayHaveRun = false;
  #attemptCount = 0;
  #firstByteAt: number | undefined;
  #lastByteAt = 0;
  #maxGapMs = 0;
  #expectedGapMs: number | undefined;
  #queueDeadline: number;
  #isEnded = false;

  constructor(
    deps: RelayRunDependencies,
    request: RelayRequest,
    response: RelayResponse,
    contract: RequestContract,
    service: ServiceSpec,
    customer: KeyedCustomer | undefined,
    fingerprint: string,
  ) {
    this.#deps = deps;
    this.request = request;
    this.#response = response;
    this.contract = contract;
    this.service = service;
    this.customer = customer;
    this.fingerprint = fingerprint;
    this.arrivedAt = deps.timers.now();
    this.#queueDeadline = this.arrivedAt +
      contract.route.goalMs * MAX_QUEUE_TIME_GOAL_SHARE;
    this.#writer = contract.route.kind === "streaming"
      ? new StreamResponseWriter(response, {
        lastEventId: request.lastEventId,
        isResumable: contract.repeatable,
        numbering: deps.numberings.of(service.name),
      })
      : new BufferedResponseWriter(response);
    const remainingMs = Math.max(0, contract.remainingMs(this.arrivedAt));
    this.#deadlineTimer = deps.timers.after(
      remainingMs,
      () => this.#onDeadline(),
    );
  }

  get model(): string | undefined {
    return this.service.engine === undefined ? undefined : this.request.model;
  }

  get promptTokens(): number {
    return this.request.promptTokens;
  }

  /** Scheduling priority; 0 is the highest. */
  get priority(): number {
    return this.customer?.priority ?? this.contract.route.priority;
  }

  /** Monotonic time until which the request may be queued. */
  get queueDeadline(): number {
    return this.#queueDeadline;
  }

  /**
   * Longest time without progress that its caller tolerates, in milliseconds;
   * half of the gap after which callers commonly give up.
   */
  get patienceMs(): number {
    const { goalMs, gapMs } = this.contract.route;
    return Math.max(MIN_CALLER_PATIENCE_MS, goalMs * 4, gapMs * 8) / 2;
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** The attempt in flight. */
  get attempt(): RunningAttempt | undefined {
    return this.#attempt;
  }

  get isRetry(): boolean {
    return this.#attemptCount > 0;
  }

  /** Number of attempts that were started. */
  get attemptCount(): number {
    return this.#attemptCount;
  }

  /** Milliseconds from arrival to the first byte; undefined before it. */
  get firstByteMs(): number | undefined {
    return this.#firstByteAt === undefined
      ? undefined
      : this.#firstByteAt - this.arrivedAt;
  }

  /** Longest gap between bytes from upstreams, in milliseconds. */
  get longestGapMs(): number {
    return this.#maxGapMs;
  }

  /** Longest gap that was forecast for the last attempt, in milliseconds. */
  get expectedGapMs(): number | undefined {
    return this.#expectedGapMs;
  }

  get firstByteLimitMs(): number {
    const { goalMs, gapMs } = this.contract.route;
    const now = this.#deps.timers.now();
    // A retry may exceed the goal.
    if (this.#attemptCount > 0) {
      return Math.min(
        this.contract.remainingMs(now),
        Math.max(goalMs, gapMs) * 4,
      );
    }
    return goalMs * FIRST_BYTE_GOAL_SHARE - (now - this.arrivedAt);
  }

  get gapLimitMs(): number {
    const { kind, gapMs } = this.contract.route;
    return kind === "streaming" ? gapMs : Infinity;
  }

  excludes(key: string): boolean {
    return this.#excludedKeys.has(key);
  }

  /** Places the request, unless its caller has disconnected before. */
  start(): void {
    if (this.#isEnded) return;
    this.#deps.placeOrEnqueue(this);
  }

  /** Sends the request to the upstream that was chosen. */
  onPlaced(placement: Placement & { kind: "send" }): void {
    if (this.#deps.crashesUpstreams(this)) return this.#refuseAsCrashing();
    const { replica, expectedMs, forecast, load, considered } = placement;
    const now = this.#deps.timers.now();
    this.#attemptCount += 1;
    const attempt: RunningAttempt = {
      replica,
      startedAt: now,
      expectedMs,
      forecast,
      load: { ...load },
      handle: undefined,
      head: undefined,
      fault: undefined,
      firstProgressAt: undefined,
      hasContinued: false,
      lastProgressAt: undefined,
      paused: false,
    };
    this.#attempt = attempt;
    this.#expectedGapMs = forecast?.gapMs;
    this.#deps.onEvent(this, {
      event: "sent",
      replica,
      expectedMs,
      forecast,
      load: attempt.load,
      considered,
    });
    this.#deps.onAttemptStarted(this, attempt);
    const handle = this.#deps.client.send(
      { id: replica.host.id, address: replica.host.address },
      {
        requestId: this.request.id,
        method: this.request.method,
        path: this.request.target,
        headers: this.request.headers,
        body: this.request.body,
        deadlineMs: Math.max(1, Math.floor(this.contract.remainingMs(now))),
        customer: this.customer?.name,
        lastEventId: this.#writer.lastEventId,
        priority: Math.min(9, Math.max(0, this.priority)),
        idempotent: this.contract.repeatable,
        mayStart: () => this.#deps.mayReceive(replica),
      },
      this.#createListener(attempt),
    );
    // The attempt may have ended while `send` ran.
    if (this.#attempt === attempt) attempt.handle = handle;
    else handle.cancel();
  }

  /** Ends the request, as no upstream can serve it in time. */
  onNotPlaced(placement: Placement, retryAfterMs: number): void {
    if (this.#failedResponse !== undefined) return this.#forwardFailure();
    const isFull = placement.kind === "full";
    const detail = isFull
      ? `Best expected first byte ${Math.round(placement.expectedMs)} ms`
      : "No replica takes requests";
    this.#refuseOrFail(
      isFull ? "overloaded" : "no_replica",
      detail,
      retryAfterMs,
    );
  }

  /**
   * Cancels the attempt on a suspected upstream and retries on another one, if
   * the contract allows it.
   */
  retryElsewhere(detail: string): void {
    const attempt = this.#attempt;
    if (attempt === undefined || !this.contract.repeatable) return;
    // The last possible attempt is kept, as the suspicion may be wrong.
    if (!this.contract.allowsAnotherAttempt || !this.#writer.canContinue) {
      return;
    }
    this.#endAttempt(attempt, "stalled", detail);
    this.#mayHaveRun = true;
    this.#retry(attempt, "may_have_run", detail);
  }

  /** Cancels the request, as its caller has disconnected. */
  onCallerDisconnected(): void {
    if (this.#isEnded) return;
    this.#finish("caller_gone");
  }

  /** Creates a listener that ignores events after the attempt has ended. */
  #createListener(attempt: RunningAttempt): RelayListener {
    return {
      onHead: (head) => {
        this.#deps.onHead(attempt, head);
        if (this.#attempt === attempt) this.#onHead(attempt, head);
      },
      onData: (chunk) => {
        if (this.#attempt === attempt) this.#onData(attempt, chunk);
      },
      onEnd: (end) => {
        if (this.#attempt === attempt) this.#onEnd(attempt, end);
      },
    };
  }

  #onHead(attempt: RunningAttempt, head: RelayHead): void {
    attempt.head = head;
    if (head.wrongHost || head.notRun) return this.#endAtHead(attempt, head);
    this.#mayHaveRun = true;
    if (head.status >= 200 && head.status < 300) this.#writer.setHead(head);
    else this.#onFailureHead(attempt, head);
  }

  /** Ends an attempt whose body is not needed. */
  #endAtHead(attempt: RunningAttempt, head: RelayHead): void {
    attempt.handle?.discard();
    if (head.notRun || head.wrongHost) return this.#onRefused(attempt, head);
    this.#onFailedStatus(attempt, head);
  }

  /** Keeps an upstream's error response, unless it can't be forwarded. */
  #onFailureHead(attempt: RunningAttempt, head: RelayHead): void {
    if (this.#writer.started || NOT_RUN_STATUSES.has(head.status)) {
      return this.#endAtHead(attempt, head);
    }
    this.#failedResponse = new FailedResponse(head);
    if (!this.#isRetriable(head)) return;
    // Leaves time for the retry.
    const remainingMs = this.contract.remainingMs(this.#deps.timers.now());
    const limitMs = Math.min(MAX_FAILURE_BODY_MS, remainingMs / 2);
    this.#deps.timers.after(limitMs, () => {
      if (this.#attempt !== attempt) return;
      this.#abandon(attempt, `no end within ${Math.round(limitMs)} ms`);
    });
  }

  #isRetriable(head: RelayHead): boolean {
    return head.status >= 500 && this.contract.repeatable;
  }

  #onData(attempt: RunningAttempt, chunk: Uint8Array): void {
    const { head } = attempt;
    if (head === undefined) return;
    if (this.#failedResponse?.head === head) {
      this.#recordProgress(attempt);
      if (!this.#failedResponse.add(chunk)) {
        this.#abandon(attempt, "The error response is too large");
      }
      return;
    }
    const { hasProgress, isWritable, fault } = this.#writer.write(chunk);
    if (hasProgress) {
      this.#recordProgress(attempt);
      this.#recordGap(this.#deps.timers.now());
    }
    if (fault !== undefined) return this.#onFault(attempt, fault);
    if (!isWritable) this.#pauseUntilDrained(attempt);
  }

  #recordProgress(attempt: RunningAttempt): void {
    const now = this.#deps.timers.now();
    attempt.lastProgressAt = now;
    if (attempt.firstProgressAt === undefined) {
      attempt.firstProgressAt = now;
      this.#deps.onFirstByte(this, attempt);
    } else this.#recordContinued(attempt);
  }

  #recordContinued(attempt: RunningAttempt): void {
    if (attempt.hasContinued) return;
    attempt.hasContinued = true;
    this.#deps.onContinued(this, attempt);
  }

  /** Ends an attempt whose response can't be forwarded any further. */
  #onFault(attempt: RunningAttempt, fault: StreamFault): void {
    attempt.fault = fault.kind;
    this.#abandon(attempt, describe(fault));
  }

  /** Closes the connection of a response that can't be forwarded. */
  #abandon(attempt: RunningAttempt, detail: string): void {
    attempt.handle?.cancel();
    this.#onEnd(attempt, { kind: "malformed", detail });
  }

  #recordGap(now: number): void {
    if (this.#firstByteAt === undefined) this.#firstByteAt = now;
    else this.#maxGapMs = Math.max(this.#maxGapMs, now - this.#lastByteAt);
    this.#lastByteAt = now;
  }

  #pauseUntilDrained(attempt: RunningAttempt): void {
    if (attempt.paused) return;
    attempt.paused = true;
    attempt.handle?.pause();
    this.#response.onDrain(() => {
      attempt.paused = false;
      attempt.lastProgressAt = this.#deps.timers.now();
      attempt.handle?.resume();
    });
  }

  #onRefused(attempt: RunningAttempt, head: RelayHead): void {
    const outcome = head.wrongHost ? "wrong_host" : "refused";
    this.#endAttempt(attempt, outcome, `status ${head.status}`);
    this.#retry(attempt, "not_run", `refused with ${head.status}`);
  }

  #onEnd(attempt: RunningAttempt, end: RelayEnd): void {
    const { head } = attempt;
    if (end.kind === "not_sent") {
      this.#endAttempt(attempt, "not_sent", end.detail);
      return this.#retry(attempt, "not_run", end.detail);
    }
    if (end.kind === "withheld") {
      this.#endAttempt(attempt, "withheld", end.detail);
      return this.#retry(attempt, "withheld", end.detail);
    }
    this.#mayHaveRun = true;
    if (end.kind !== "ended") {
      this.#failedResponse = undefined;
      this.#endAttempt(attempt, end.kind, end.detail);
      return this.#onError(attempt, end.detail);
    }
    if (head === undefined) {
      this.#endAttempt(attempt, "malformed", "no head");
      return this.#onError(attempt, "no head");
    }
    if (this.#failedResponse?.head === head) {
      return this.#onFailedStatus(attempt, head);
    }
    const fault = this.#writer.finish();
    if (fault !== undefined) {
      attempt.fault = fault.kind;
      const detail = describe(fault);
      this.#endAttempt(attempt, "malformed", detail);
      return this.#onError(attempt, detail);
    }
    const { observedNumbering } = this.#writer;
    if (observedNumbering !== undefined) {
      this.#deps.onNumbering(this.service.name, observedNumbering);
    }
    this.#recordContinued(attempt);
    this.#endAttempt(attempt, "answered", "");
    this.#finish("answered");
  }

  /** Retries an upstream's error response, or forwards it if it was kept. */
  #onFailedStatus(attempt: RunningAttempt, head: RelayHead): void {
    const detail = `status ${head.status}`;
    this.#endAttempt(attempt, "failed_status", detail);
    if (this.#isRetriable(head)) {
      return this.#retry(attempt, "may_have_run", detail);
    }
    if (this.#writer.started) return this.#onError(attempt, detail);
    this.#forwardFailure();
  }

  /** Retries a repeatable request and fails any other. */
  #onError(attempt: RunningAttempt, detail: string): void {
    if (this.contract.repeatable) {
      return this.#retry(attempt, "may_have_run", detail);
    }
    this.#refuseOrFail("upstream_failed", detail);
  }

  /** Makes a retry after a failed attempt, or ends the request if none is allowed. */
  #retry(attempt: RunningAttempt, effect: AttemptEffect, detail: string): void {
    const now = this.#deps.timers.now();
    this.#excludedKeys.add(attempt.replica.key);
    this.#writer.discardPartial();
    if (!this.#writer.canContinue) {
      return this.#refuseOrFail("upstream_failed", detail);
    }
    this.contract.recordAttempt(effect === "may_have_run");
    if (this.#deps.crashesUpstreams(this)) return this.#refuseAsCrashing();
    const mayRetry = this.contract.mayRetry(now) &&
      (effect === "withheld" || this.#deps.spendRetry(this.service.name));
    if (!mayRetry) {
      if (this.#failedResponse !== undefined) return this.#forwardFailure();
      return this.#refuseOrFail("overloaded", detail, 200);
    }
    const maxQueueMs = Math.max(
      RETRY_MAX_QUEUE_TIME_MS,
      this.contract.route.goalMs * MAX_QUEUE_TIME_GOAL_SHARE,
    );
    this.#queueDeadline = now +
      Math.min(maxQueueMs, this.contract.remainingMs(now));
    this.#deps.placeOrEnqueue(this);
  }

  #onDeadline(): void {
    if (this.#isEnded) return;
    const kind = this.#mayHaveRun || this.#attempt !== undefined
      ? "timed_out"
      : "expired";
    const attempt = this.#attempt;
    if (attempt !== undefined) {
      this.#endAttempt(attempt, "cancelled", "deadline passed");
    }
    this.#refuse({ kind, detail: "The time is up" });
  }

  #refuseAsCrashing(): void {
    const kind = "crashes_upstreams";
    const detail = "Upstreams crashed on it, or on a part of its prompt";
    this.#refuse({ kind, detail });
  }

  /** Refuses as `kind`, or as `upstream_failed` if the request may have run. */
  #refuseOrFail(
    kind: RefusalKind,
    detail: string,
    retryAfterMs?: number,
  ): void {
    if (this.#mayHaveRun) {
      return this.#refuse({ kind: "upstream_failed", detail });
    }
    this.#refuse({ kind, detail, retryAfterMs });
  }

  /** Ends the request with a refusal, or by aborting a response in progress. */
  #refuse(refusal: Refusal): void {
    if (this.#isEnded) return;
    const { kind, detail, retryAfterMs } = refusal;
    if (this.#writer.started) this.#response.abort();
    else this.#response.refuse(refusal);
    this.#finish(kind, detail, retryAfterMs);
  }

  /** Forwards an upstream's error response to the caller. */
  #forwardFailure(): void {
    const failed = this.#failedResponse;
    if (failed === undefined || this.#writer.started) {
      return this.#refuseOrFail("upstream_failed", "An upstream failed");
    }
    failed.forward(this.#response);
    this.#finish("passed_failure", `status ${failed.head.status}`);
  }

  #endAttempt(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    detail: string,
  ): void {
    if (this.#attempt !== attempt) return;
    this.#attempt = undefined;
    const isAborted = outcome === "stalled" || outcome === "cancelled";
    if (isAborted) attempt.handle?.cancel();
    this.#deps.onAttemptEnded(this, attempt, outcome, attempt.head);
    const { replica, lastProgressAt } = attempt;
    this.#deps.onEvent(this, {
      event: "attempt_ended",
      outcome,
      detail,
      fault: attempt.fault,
      replica,
      silentMs: lastProgressAt && this.#deps.timers.now() - lastProgressAt,
    });
  }

  #finish(outcome: RunOutcome, detail = "", retryAfterMs?: number): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#deadlineTimer.cancel();
    this.#deps.dequeue(this);
    const attempt = this.#attempt;
    if (attempt !== undefined) this.#endAttempt(attempt, "cancelled", outcome);
    this.#deps.onEvent(this, {
      event: "ended",
      outcome,
      detail,
      retryAfterMs,
    });
    this.#deps.onEnded(this, outcome);
  }
}

function describe({ kind, detail }: StreamFault): string {
  return `${kind}: ${detail}`;
}
