/**
 * Execution of one request: admission, order claim, attempts and response.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { Timers } from "../../base/timers.ts";
import type {
  AttemptEnd,
  ResponseHead,
  UpstreamClient,
} from "../../ports/upstream_client.ts";
import type { Configuration, PlainService } from "../../world/configuration.ts";
import type { OrderClaim, Orders } from "../orders/order_store.ts";
import type { OrderRecord, OrderRef } from "../orders/order_record.ts";
import type { RetryBudget } from "../retries/retry_budget.ts";
import type { RouteDecision } from "../routing/router.ts";
import type { UpstreamEntry } from "../routing/upstream_entry.ts";
import type { AttemptObserver } from "./attempt_run.ts";
import { AttemptRun, NOT_RUN_HEADER } from "./attempt_run.ts";
import { ResponseWriter } from "./response_writer.ts";
import type {
  CallerRequest,
  CallerResponse,
  Problem,
  ProblemKind,
} from "./caller_request.ts";
import type { CrashSuspects } from "./crash_suspects.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { DropReason, QueuedRequest } from "./dispatcher.ts";
import { FailureHistory } from "./failure_history.ts";
import { OrderClaimer, POLL_MAX_MS } from "./order_claimer.ts";

/**
 * Longest time that a hedge, or a retry of a request that may have started, waits
 * for an upstream.
 */
export const RESUME_WAIT_MS = 15_000;
/** Silence in a stream after which it is resumed on another upstream. */
export const STALL_MS = 1_500;
/**
 * Fraction of the first-token target after which a second attempt (hedge) is
 * queued.
 */
const HEDGE_FRACTION = 0.6;
/** Shortest wait for a first byte before a hedge. */
const MIN_HEDGE_MS = 300;
/**
 * Longest wait for the first byte from a model. Also limits the wait for the
 * outcome of another claim on an order when the service is not configured.
 */
const MAX_RESPONSE_MS = 30_000;
/** Largest number of attempts of one request. */
const MAX_ATTEMPTS = 6;

/** How a request ended, for metrics. */
export interface RequestResult {
  /** `whole` if the caller received a complete response. */
  readonly kind: "whole" | ProblemKind | "caller_gone";
  readonly firstByteMs: number | undefined;
  readonly totalMs: number;
  readonly attempts: number;
}

/** Dependencies of a request. */
export interface RequestDependencies {
  readonly timers: Timers;
  readonly client: UpstreamClient;
  readonly cfg: () => Configuration;
  readonly suspects: CrashSuspects;
  readonly retryBudget: RetryBudget;
  readonly orders: Orders;
  readonly log: DecisionLog;
  enqueue(item: QueuedRequest): void;
  cancelQueued(item: QueuedRequest): void;
  attemptStarted(run: RequestRun, attempt: AttemptRun): void;
  attemptFinished(
    run: RequestRun,
    attempt: AttemptRun,
    completed: boolean,
  ): void;
  /**
   * Called when the upstream crashed during the request. Resolves once peers are
   * informed, or after a timeout.
   */
  upstreamCrashed(entry: UpstreamEntry, detail: string): Promise<void>;
  /** Whether another request with a crash strike runs on the upstream. */
  suspectRunsOn(entry: UpstreamEntry, run: RequestRun): boolean;
  /** Called when no connection to the upstream could be made. */
  upstreamUnreachable(entry: UpstreamEntry, detail: string): void;
  /**
   * Probes an upstream that was silent or late, refused the request or sent an
   * invalid response.
   */
  probeUpstream(entry: UpstreamEntry): void;
  finished(run: RequestRun, result: RequestResult): void;
}

/** Runs one request and ends it exactly once. */
export class RequestRun implements QueuedRequest, AttemptObserver {
  readonly request: CallerRequest;
  readonly #response: ResponseWriter;
  readonly #deps: RequestDependencies;
  readonly #arrivedAt: number;
  readonly #service: PlainService | undefined;
  readonly #attempts = new Set<AttemptRun>();
  readonly #failures: FailureHistory;
  #claim: OrderClaim | undefined;
  #winner: AttemptRun | undefined;
  #attemptCount = 0;
  /** Whether an attempt that responded or ended may have run the request. */
  #mayHaveRun = false;
  #queued = false;
  #hedged = false;
  /** Whether the request runs once although its prompt part is refused. */
  #isProbe = false;
  #paused = false;
  #done = false;
  #deadline: number;

  constructor(
    request: CallerRequest,
    response: CallerResponse,
    deps: RequestDependencies,
  ) {
    this.request = request;
    this.#response = new ResponseWriter(
      response,
      deps.timers,
      request.resumeAfter,
    );
    this.#failures = new FailureHistory(deps.timers);
    this.#deps = deps;
    this.#arrivedAt = deps.timers.now();
    this.#deadline = this.#arrivedAt + request.serviceClass.firstTokenMs;
    const target = request.target;
    this.#service = target.kind === "service"
      ? deps.cfg().services.find((svc) => svc.name === target.name)
      : undefined;
  }

  get id(): string {
    return this.request.id;
  }

  get name(): string {
    return this.request.target.name;
  }

  get customer(): string {
    return this.request.customer.name;
  }

  get priority(): number {
    return this.request.serviceClass.priority;
  }

  get deadline(): number {
    return this.#deadline;
  }

  get prefixKey(): string {
    return this.request.prefixKey;
  }

  /** Whether the request may be retried after it may have run. */
  get repeatable(): boolean {
    return this.request.target.kind === "model" ||
      this.#service?.repeatable === true;
  }

  /** Whether the request has ended. */
  get done(): boolean {
    return this.#done;
  }

  /**
   * Checks whether the request is allowed, claims an order if needed, and
   * queues it.
   */
  start(): void {
    const { suspects } = this.#deps;
    if (suspects.isRefused(this.request)) {
      this.#isProbe = suspects.takeProbe(this.request, this.#arrivedAt);
      if (!this.#isProbe) return this.#failAsSuspect();
    }
    this.#deps.retryBudget.recordFirstAttempt();
    if (this.repeatable) return this.#enqueue();
    if (this.request.idempotencyKey === undefined) {
      return this.#fail("idempotency_key_required", {
        detail: "Calls to this service need an Idempotency-Key header",
        notRun: true,
      });
    }
    this.#claimOrder(this.request.idempotencyKey);
  }

  /** Ends the request because its caller disconnected. */
  onCallerDisconnected(): void {
    if (this.#done) return;
    // An order that may have been sent runs to completion so that its outcome is
    // recorded and its claim is not released.
    if (this.#claim !== undefined && this.#mayHaveReachedUpstream) return;
    if (this.#claim !== undefined) this.#deps.orders.markNotRun(this.#claim);
    this.#finish("caller_gone");
  }

  /** Checks running attempts for timeouts. Called periodically. */
  tick(now: number): void {
    if (this.#done || this.#paused) return;
    for (const attempt of [...this.#attempts]) this.#checkTimeout(attempt, now);
  }

  excludes(entry: UpstreamEntry): boolean {
    if (this.#failures.excludes(entry)) return true;
    const suspected = this.#deps.suspects.isSuspected(this.request);
    return suspected && this.#deps.suspectRunsOn(entry, this);
  }

  onAssigned(entry: UpstreamEntry, decision: RouteDecision): void {
    this.#queued = false;
    const mayRun = this.#isProbe && this.#attemptCount === 0;
    if (!mayRun && this.#deps.suspects.isRefused(this.request)) {
      return this.#failAsSuspect();
    }
    this.#attemptCount += 1;
    this.#deps.log.record({
      kind: this.#attemptCount === 1 ? "route" : "retry",
      request: this.request.id,
      upstream: entry.upstream.id,
      reason: decision.reason,
      from: decision.considered,
      revision: this.#deps.cfg().revision,
    });
    const attempt = new AttemptRun(this.#deps.timers, entry, this);
    this.#attempts.add(attempt);
    this.#deps.attemptStarted(this, attempt);
    attempt.start(this.#deps.client, {
      attemptId: `${this.request.id}-${this.#attemptCount}`,
      method: this.request.method,
      path: this.request.path,
      headers: this.request.headers,
      body: this.request.body,
      resumeAfter: this.#response.eventCount,
      streaming: this.request.streaming,
    });
  }

  onDropped(reason: DropReason, retryAfterMs: number): void {
    this.#queued = false;
    if (this.#attempts.size > 0) return;
    if (this.#claim !== undefined && !this.#mayHaveRun) {
      this.#deps.orders.markNotRun(this.#claim);
    }
    if (!this.#mayHaveRun) {
      const detail = `No upstream in time: ${reason}`;
      return this.#fail("not_run", { detail, notRun: true, retryAfterMs });
    }
    const kind = this.#response.headSent
      ? "stream_interrupted"
      : "upstream_failed";
    this.#fail(kind, {
      detail: "The answer could not be completed",
      notRun: false,
    });
  }

  attemptHead(attempt: AttemptRun, head: ResponseHead): void {
    if (refusedAsNotRun(head, this.#service)) {
      this.#closeAttempt(attempt, false);
      this.#failures.recordFailure(attempt.entry, "refused as not run");
      this.#deps.probeUpstream(attempt.entry);
      return this.#retry(true);
    }
    this.#mayHaveRun = true;
    if (head.status >= 500 && this.repeatable) {
      this.#closeAttempt(attempt, false);
      this.#failures.recordFailure(attempt.entry, `status ${head.status}`);
      this.#retry(false);
    }
  }

  attemptData(attempt: AttemptRun, chunk: Uint8Array): void {
    if (this.#winner === undefined) this.#selectWinner(attempt);
    if (attempt !== this.#winner) return;
    const streams = this.request.streaming && attempt.head?.status === 200;
    if (!streams) return this.#bufferChunk(attempt, chunk);
    match(this.#response.writeStream(attempt.head, chunk))
      .with({ kind: "malformed" }, ({ fault }) => {
        this.#handleMalformed(attempt, `${fault.kind}: ${fault.detail}`);
      })
      .with({ kind: "ended" }, () => this.#completeStream(attempt))
      .with(
        { kind: "passed", isWritable: false },
        () => this.#awaitDrain(attempt),
      )
      .with({ kind: "passed" }, () => {})
      .exhaustive();
  }

  attemptEnd(attempt: AttemptRun, end: AttemptEnd): void {
    match(end)
      .with({ kind: "ended" }, () => this.#handleEnded(attempt))
      .with({ kind: "not_sent" }, (e) => this.#handleNotSent(attempt, e.detail))
      .with({ kind: "broken" }, (e) => {
        this.#handleBroken(attempt, e.detail);
      })
      .with({ kind: "cancelled" }, () => this.#closeAttempt(attempt, false))
      .exhaustive();
  }

  /** Whether the request may have run, or an attempt in flight may run it. */
  get #mayHaveReachedUpstream(): boolean {
    return this.#mayHaveRun || this.#attempts.size > 0;
  }

  #enqueue(): void {
    this.#queued = true;
    this.#deps.enqueue(this);
  }

  async #claimOrder(idempotencyKey: string): Promise<void> {
    const claimer = new OrderClaimer({
      timers: this.#deps.timers,
      orders: this.#deps.orders,
      cfg: this.#deps.cfg,
      isDone: () => this.#done,
    }, this.#orderRef(idempotencyKey));
    const timeoutMs = this.#service?.timeoutMs ?? MAX_RESPONSE_MS;
    const waitUntil = this.#arrivedAt + timeoutMs;
    const outcome = await claimer.claim(this.#deadline, waitUntil);
    if (this.#done) return;
    match(outcome)
      .with({ kind: "claimed" }, ({ claim }) => {
        this.#claim = claim;
        this.#enqueue();
      })
      .with({ kind: "done_before" }, ({ record }) => this.#replay(record))
      .with({ kind: "key_reused" }, () => {
        this.#fail("idempotency_key_reused", {
          detail: "The Idempotency-Key was used with another request",
          notRun: true,
        });
      })
      .with({ kind: "unavailable" }, () => {
        this.#fail("not_run", {
          detail: "The order could not be claimed in time",
          notRun: true,
          retryAfterMs: POLL_MAX_MS * 2,
        });
      })
      .with({ kind: "unknown" }, () => {
        this.#failAsUnknown(
          "The same order was sent before and its outcome is not known",
        );
      })
      .with({ kind: "given_up" }, () => {})
      .exhaustive();
  }

  #orderRef(idempotencyKey: string): OrderRef {
    return {
      customer: this.request.customer.name,
      service: this.request.target.name,
      idempotencyKey,
      bodyHash: this.request.fingerprint,
    };
  }

  #replay(record: OrderRecord): void {
    this.#response.replay({
      status: record.status ?? 200,
      headers: {
        "content-type": record.contentType ?? "application/json",
        "idempotency-replayed": "true",
      },
    }, record.body);
    this.#finish("whole");
  }

  #checkTimeout(attempt: AttemptRun, now: number): void {
    const silentMs = now - attempt.lastDataAt;
    if (this.#service !== undefined) {
      if (silentMs > this.#service.timeoutMs) this.#handleStall(attempt);
      return;
    }
    if (!attempt.hasData) {
      if (now - attempt.startedAt > MAX_RESPONSE_MS) this.#handleStall(attempt);
      else if (this.request.streaming) this.#maybeHedge(attempt, now);
      return;
    }
    if (this.request.streaming && silentMs > STALL_MS) {
      this.#handleStall(attempt);
    }
  }

  /** Queues a second attempt when the first byte is late. */
  #maybeHedge(attempt: AttemptRun, now: number): void {
    if (this.#hedged || this.#queued || this.#attempts.size > 1) return;
    if (this.#deps.suspects.isSuspected(this.request)) return;
    const delayMs = this.request.serviceClass.firstTokenMs * HEDGE_FRACTION;
    if (now - attempt.startedAt < Math.max(MIN_HEDGE_MS, delayMs)) return;
    if (!this.#deps.retryBudget.spend()) return;
    this.#hedged = true;
    this.#failures.recordFailure(attempt.entry, "first byte late, hedged");
    this.#deps.probeUpstream(attempt.entry);
    this.#deadline = now + RESUME_WAIT_MS;
    this.#enqueue();
  }

  /**
   * Handles a silent upstream: retries on another one if the request is
   * repeatable.
   */
  #handleStall(attempt: AttemptRun): void {
    this.#deps.probeUpstream(attempt.entry);
    this.#failures.recordFailure(attempt.entry, "silent");
    this.#closeAttempt(attempt, false);
    this.#mayHaveRun = true;
    if (this.repeatable) this.#retry(false);
    else this.#failAsUnknown("The service did not answer in time");
  }

  /** Selects the attempt whose response is sent, and closes all others. */
  #selectWinner(attempt: AttemptRun): void {
    this.#winner = attempt;
    for (const other of [...this.#attempts]) {
      if (other !== attempt) this.#closeAttempt(other, false);
    }
    if (this.#queued) {
      this.#queued = false;
      this.#deps.cancelQueued(this);
    }
  }

  #bufferChunk(attempt: AttemptRun, chunk: Uint8Array): void {
    if (this.#response.buffer(chunk)) return;
    this.#handleMalformed(attempt, "The answer exceeds the bound");
  }

  #handleEnded(attempt: AttemptRun): void {
    const head = attempt.head;
    if (head === undefined) {
      return this.#handleMalformed(attempt, "No answer");
    }
    if (this.request.streaming && head.status === 200) {
      const detail = "The stream ended without its end marker";
      return this.#handleMalformed(attempt, detail);
    }
    if (this.#winner === undefined) this.#selectWinner(attempt);
    if (attempt !== this.#winner) return this.#closeAttempt(attempt, false);
    if (head.status >= 500 && !this.repeatable) {
      this.#closeAttempt(attempt, false);
      return this.#failAsUnknown(`The service answered ${head.status}`);
    }
    this.#completeBuffered(attempt, head);
  }

  #completeBuffered(attempt: AttemptRun, head: ResponseHead): void {
    if (this.#claim !== undefined) {
      this.#deps.orders.markDone(this.#claim, {
        status: head.status,
        contentType: head.headers["content-type"] ?? "application/json",
        body: this.#response.bufferedBody.toString("utf8"),
      });
    }
    this.#response.sendBuffered(head);
    this.#closeAttempt(attempt, true);
    this.#finish("whole");
  }

  #completeStream(attempt: AttemptRun): void {
    this.#response.end();
    this.#closeAttempt(attempt, true);
    this.#finish("whole");
  }

  #handleNotSent(attempt: AttemptRun, detail: string): void {
    this.#deps.upstreamUnreachable(attempt.entry, detail);
    this.#failures.recordFailure(attempt.entry, `not sent, ${detail}`);
    this.#closeAttempt(attempt, false);
    this.#retry(true);
  }

  async #handleBroken(attempt: AttemptRun, detail: string): Promise<void> {
    this.#mayHaveRun = true;
    this.#failures.recordCrash(attempt.entry, detail);
    // Called before the attempt is closed: a request gets a strike only while it
    // is in flight on the upstream.
    const peersInformed = this.#deps.upstreamCrashed(attempt.entry, detail);
    this.#closeAttempt(attempt, false);
    await peersInformed;
    if (this.#done) return;
    if (this.repeatable) this.#retry(false);
    else this.#failAsUnknown("The connection to the service broke");
  }

  /**
   * Handles an invalid response. The upstream may not have crashed, so other
   * requests on it get no strike and continue.
   */
  #handleMalformed(attempt: AttemptRun, detail: string): void {
    this.#mayHaveRun = true;
    this.#failures.recordFailure(attempt.entry, detail);
    this.#deps.probeUpstream(attempt.entry);
    this.#closeAttempt(attempt, false);
    if (this.repeatable) this.#retry(false);
    else this.#failAsUnknown(detail);
  }

  /**
   * Queues the request for another upstream. Two kinds of retries don't count
   * against the retry budget: free ones, which follow an attempt that certainly
   * did not run, and those after the response head was sent.
   */
  #retry(isFree: boolean): void {
    if (this.#done || this.#queued || this.#attempts.size > 0) return;
    if (this.#deps.suspects.isRefused(this.request)) {
      return this.#failAsSuspect();
    }
    const allowed = this.#attemptCount < MAX_ATTEMPTS &&
      this.#response.canContinue &&
      (isFree || this.#response.headSent || this.#deps.retryBudget.spend());
    if (!allowed) return this.onDropped("deadline", RESUME_WAIT_MS);
    if (this.#mayHaveRun) {
      this.#deadline = this.#deps.timers.now() + RESUME_WAIT_MS;
    }
    this.#enqueue();
  }

  #closeAttempt(attempt: AttemptRun, completed: boolean): void {
    if (!this.#attempts.delete(attempt)) return;
    if (completed) attempt.finish();
    else attempt.close();
    if (this.#winner === attempt && !completed) {
      this.#winner = undefined;
      this.#response.reset();
    }
    this.#deps.attemptFinished(this, attempt, completed);
  }

  #awaitDrain(attempt: AttemptRun): void {
    this.#paused = true;
    attempt.pause();
    this.#response.onDrain(() => {
      this.#paused = false;
      attempt.resume();
    });
  }

  #failAsUnknown(detail: string): void {
    this.#fail("outcome_unknown", { detail, notRun: false });
  }

  #failAsSuspect(): void {
    if (this.#claim !== undefined && !this.#mayHaveRun) {
      this.#deps.orders.markNotRun(this.#claim);
    }
    this.#fail("request_crashes_upstream", {
      detail: "This request was running at two crashes and is refused",
      notRun: false,
    });
  }

  #fail(
    kind: ProblemKind,
    problem: Pick<Problem, "detail" | "notRun" | "retryAfterMs">,
  ): void {
    if (this.#done) return;
    this.#response.fail({ kind, ...problem, log: this.#failures.lines });
    this.#deps.log.record({
      kind: "refuse",
      request: this.request.id,
      reason: `${kind}: ${problem.detail}`,
      revision: this.#deps.cfg().revision,
    });
    this.#finish(kind);
  }

  #finish(kind: RequestResult["kind"]): void {
    if (this.#done) return;
    this.#done = true;
    if (this.#queued) this.#deps.cancelQueued(this);
    for (const attempt of [...this.#attempts]) {
      this.#closeAttempt(attempt, false);
    }
    this.#deps.finished(this, {
      kind,
      firstByteMs: this.#response.firstByteMs,
      totalMs: this.#deps.timers.now() - this.#arrivedAt,
      attempts: this.#attemptCount,
    });
  }
}

/**
 * Whether a response states that the request did not run: with one of the
 * service's `notRunStatuses`, or from a model with status 503 and
 * {@linkcode NOT_RUN_HEADER}.
 */
function refusedAsNotRun(
  head: ResponseHead,
  service: PlainService | undefined,
): boolean {
  if (service !== undefined) {
    return service.notRunStatuses.includes(head.status);
  }
  return head.status === 503 && head.headers[NOT_RUN_HEADER] === "1";
}
