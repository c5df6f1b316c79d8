/**
 * Lifecycle of one relayed request: placement, attempts and response.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type {
  RelayClient,
  RelayEnd,
  RelayHandle,
  RelayHead,
  RelayListener,
} from "../../ports/relay_client.ts";
import type { KeyedCustomer, ServiceSpec } from "../../world/catalog.ts";
import type { Replica } from "../fleet/replica.ts";
import type { RelayResponseWriter } from "./relay_response_writer.ts";
import {
  BufferedResponseWriter,
  StreamResponseWriter,
} from "./relay_response_writer.ts";
import type { Placement, PlacementQuery } from "./placer.ts";
import type {
  Refusal,
  RefusalKind,
  RelayRequest,
  RelayResponse,
} from "./relay_request.ts";
import type { RequestContract } from "./request_contract.ts";

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

/**
 * Statuses that callers take as a guarantee that the request has not run. An
 * upstream's error response with one of them is not forwarded, as the request
 * may have run.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** How an attempt ended, for logs and metrics. */
export type AttemptOutcome =
  /** The upstream sent a complete response with a 2xx status. */
  | "answered"
  /** The upstream guarantees that the request has not run. */
  | "refused"
  /** The address belongs to another host. */
  | "wrong_host"
  /** No byte of the request was sent. */
  | "not_sent"
  /** The upstream responded with a status other than 2xx. */
  | "failed_status"
  /** The connection was reset or closed. */
  | "reset"
  /** The response violates the protocol or is incomplete. */
  | "malformed"
  /** The upstream was suspected to be lost, and the attempt was cancelled. */
  | "stalled"
  /** The caller disconnected or the deadline passed. */
  | "cancelled";

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
  readonly replica?: Replica;
  /** Expected time to the first byte. */
  readonly expectedMs?: number;
  /** Number of announced replicas that were not suspected. */
  readonly considered?: number;
}

/** An attempt in flight. */
export interface RunningAttempt {
  readonly replica: Replica;
  /** Monotonic time at which the request was sent. */
  readonly startedAt: number;
  /** Expected time to the first byte. */
  readonly expectedMs: number;
  handle: RelayHandle | undefined;
  head: RelayHead | undefined;
  /**
   * Monotonic time of the last byte, or of the end of a pause after it; undefined
   * before the first byte.
   */
  lastByteAt: number | undefined;
  /** Whether reading is paused until the caller is ready for more bytes. */
  paused: boolean;
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
  onFirstByte(run: RelayRun, attempt: RunningAttempt): void;
  onAttemptEnded(
    run: RelayRun,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    head: RelayHead | undefined,
  ): void;
  /** Whether too many upstreams crashed as the request began to run. */
  crashesUpstreams(run: RelayRun): boolean;
  /** Whether the upstream's host is still announced. */
  isHostAnnounced(replica: Replica): boolean;
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
  #failedResponse: { head: RelayHead; body: Uint8Array[] } | undefined;
  #mayHaveRun = false;
  #attemptCount = 0;
  #firstByteAt: number | undefined;
  #lastByteAt = 0;
  #maxGapMs = 0;
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
      ? new StreamResponseWriter(response, request.lastEventId)
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

  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** The attempt in flight. */
  get attempt(): RunningAttempt | undefined {
    return this.#attempt;
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

  excludes(key: string): boolean {
    return this.#excludedKeys.has(key);
  }

  start(): void {
    this.#deps.placeOrEnqueue(this);
  }

  /** Sends the request to the upstream that was chosen. */
  onPlaced(placement: Placement & { kind: "send" }): void {
    const { replica, expectedMs, considered } = placement;
    const now = this.#deps.timers.now();
    this.#attemptCount += 1;
    const attempt: RunningAttempt = {
      replica,
      startedAt: now,
      expectedMs,
      handle: undefined,
      head: undefined,
      lastByteAt: undefined,
      paused: false,
    };
    this.#attempt = attempt;
    this.#deps.onEvent(this, {
      event: "sent",
      replica,
      expectedMs,
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
    // The last allowed attempt is kept, as the suspicion may be wrong. Attempts
    // on hosts that are no longer announced don't count towards the limit.
    const isLast = this.#deps.isHostAnnounced(attempt.replica) &&
      !this.contract.allowsAnotherAttempt;
    if (isLast) return;
    this.#endAttempt(attempt, "stalled", detail);
    this.#mayHaveRun = true;
    this.#retry(attempt, true, detail);
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
    if (head.wrongHost || head.notRun) return;
    this.#mayHaveRun = true;
    if (head.status >= 200 && head.status < 300) this.#writer.setHead(head);
    else if (!this.#writer.started && !NOT_RUN_STATUSES.has(head.status)) {
      this.#failedResponse = { head, body: [] };
    }
  }

  #onData(attempt: RunningAttempt, chunk: Uint8Array): void {
    const { head } = attempt;
    if (head === undefined || head.notRun || head.wrongHost) return;
    const now = this.#deps.timers.now();
    const isFirst = attempt.lastByteAt === undefined;
    attempt.lastByteAt = now;
    if (isFirst) this.#deps.onFirstByte(this, attempt);
    if (head.status < 200 || head.status >= 300) {
      this.#failedResponse?.body.push(chunk);
      return;
    }
    this.#recordGap(now);
    const result = this.#writer.write(chunk);
    if (result === "malformed") {
      attempt.handle?.cancel();
      this.#onEnd(attempt, { kind: "malformed", detail: "event order" });
    } else if (result === "wait_for_drain") {
      this.#pauseUntilDrained(attempt);
    }
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
      attempt.lastByteAt = this.#deps.timers.now();
      attempt.handle?.resume();
    });
  }

  #onEnd(attempt: RunningAttempt, end: RelayEnd): void {
    const { head } = attempt;
    if (head?.notRun || head?.wrongHost) {
      const outcome = head.wrongHost ? "wrong_host" : "refused";
      this.#endAttempt(attempt, outcome, `status ${head.status}`);
      return this.#retry(attempt, false, `refused with ${head.status}`);
    }
    if (end.kind === "not_sent") {
      this.#endAttempt(attempt, "not_sent", end.detail);
      return this.#retry(attempt, false, end.detail);
    }
    this.#mayHaveRun = true;
    if (end.kind !== "ended") {
      this.#failedResponse = undefined;
      this.#endAttempt(attempt, end.kind, end.detail);
      return this.#onError(attempt, end.detail);
    }
    if (head === undefined) return this.#onError(attempt, "no head");
    if (head.status < 200 || head.status >= 300) {
      return this.#onFailedStatus(attempt, head);
    }
    const isComplete = this.#writer.finish();
    this.#endAttempt(attempt, isComplete ? "answered" : "malformed", "");
    if (!isComplete) return this.#onError(attempt, "ended within an event");
    this.#finish("answered");
  }

  /** Handles an upstream's error response: retries it or forwards it. */
  #onFailedStatus(attempt: RunningAttempt, head: RelayHead): void {
    this.#endAttempt(attempt, "failed_status", `status ${head.status}`);
    const retriable = head.status >= 500 && this.contract.repeatable;
    if (!retriable) {
      if (this.#writer.started) return this.#onError(attempt, "failed midway");
      return this.#forwardFailure();
    }
    this.#retry(attempt, true, `status ${head.status}`);
  }

  /** Retries a repeatable request and fails any other. */
  #onError(attempt: RunningAttempt, detail: string): void {
    if (this.contract.repeatable) return this.#retry(attempt, true, detail);
    this.#refuseOrFail("upstream_failed", detail);
  }

  /** Makes a retry after a failed attempt, or ends the request if none is allowed. */
  #retry(attempt: RunningAttempt, mayHaveRun: boolean, detail: string): void {
    const now = this.#deps.timers.now();
    this.#excludedKeys.add(attempt.replica.key);
    this.#writer.discardPartial();
    this.contract.recordAttempt(
      mayHaveRun && this.#deps.isHostAnnounced(attempt.replica),
    );
    if (this.#deps.crashesUpstreams(this)) {
      const kind = "crashes_upstreams";
      return this.#refuse({ kind, detail: "It ran at several crashes" });
    }
    const mayRetry = this.contract.mayRetry(now) &&
      this.#deps.spendRetry(this.service.name);
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
    if (this.#writer.started) this.#response.abort();
    else this.#response.refuse(refusal);
    this.#finish(refusal.kind, refusal.detail);
  }

  /** Forwards an upstream's error response to the caller. */
  #forwardFailure(): void {
    const failed = this.#failedResponse;
    if (failed === undefined || this.#writer.started) {
      return this.#refuseOrFail("upstream_failed", "An upstream failed");
    }
    this.#response.writeHead(failed.head.status, failed.head.headers);
    for (const chunk of failed.body) this.#response.write(chunk);
    this.#response.end();
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
    const { replica } = attempt;
    this.#deps.onEvent(this, {
      event: "attempt_ended",
      outcome,
      detail,
      replica,
    });
  }

  #finish(outcome: RunOutcome, detail = ""): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#deadlineTimer.cancel();
    this.#deps.dequeue(this);
    const attempt = this.#attempt;
    if (attempt !== undefined) this.#endAttempt(attempt, "cancelled", outcome);
    this.#deps.onEvent(this, { event: "ended", outcome, detail });
    this.#deps.onEnded(this, outcome);
  }
}
