/**
 * The course of one relayed request: placing, attempts, answer.
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
import type { AnswerSink } from "./answer_sink.ts";
import { HeldAnswer, StreamAnswer } from "./answer_sink.ts";
import type { Placement, PlacementQuery } from "./placer.ts";
import type {
  Refusal,
  RefusalKind,
  RelayCall,
  RelayReply,
} from "./relay_call.ts";
import type { RequestContract } from "./request_contract.ts";

/** Part of the goal that a request may wait for an upstream. */
const HOLD_SHARE = 1 / 8;
/** Longest wait for an upstream of a stream that goes on elsewhere. */
const RESUME_HOLD_MS = 600;
/** Goals beyond which a first byte is not worth sending for. */
const LATE_FACTOR = 0.8;

/** Statuses by which callers take it that a request has not run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Why an attempt ended, for logs and records. */
export type AttemptOutcome =
  | "answered"
  | "refused"
  | "wrong_host"
  | "not_sent"
  | "failed_status"
  | "reset"
  | "malformed"
  | "stalled"
  | "cancelled";

/** How a request ended. */
export type RunOutcome =
  | "answered"
  | "passed_failure"
  | "caller_gone"
  | RefusalKind;

/** One line of a request's story. */
export interface RunEvent {
  readonly event: "sent" | "attempt_ended" | "ended";
  readonly outcome?: AttemptOutcome | RunOutcome;
  readonly detail?: string;
  readonly replica?: Replica;
  readonly expectedMs?: number;
  readonly considered?: number;
}

/** An attempt that has not ended. */
export interface RunningAttempt {
  readonly replica: Replica;
  readonly startedAt: number;
  readonly expectedMs: number;
  handle: RelayHandle | undefined;
  head: RelayHead | undefined;
  /** Monotonic time of the last byte; undefined before the first. */
  lastDataAt: number | undefined;
  paused: boolean;
}

/** What requests work with. */
export interface RelayRunParts {
  readonly timers: Timers;
  readonly client: RelayClient;
  enterRoom(run: RelayRun): void;
  leaveRoom(run: RelayRun): void;
  mayRepeat(service: string): boolean;
  attemptStarted(run: RelayRun, attempt: RunningAttempt): void;
  attemptFirstByte(run: RelayRun, attempt: RunningAttempt): void;
  attemptEnded(
    run: RelayRun,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    head: RelayHead | undefined,
  ): void;
  /** Whether the request was beginning to run at too many crashes. */
  crashesUpstreams(run: RelayRun): boolean;
  /** Whether the upstream's host is still announced. */
  hostLives(replica: Replica): boolean;
  note(run: RelayRun, event: RunEvent): void;
  ended(run: RelayRun, outcome: RunOutcome): void;
}

/** Runs one request to its one end. */
export class RelayRun implements PlacementQuery {
  readonly call: RelayCall;
  readonly contract: RequestContract;
  readonly service: ServiceSpec;
  readonly customer: KeyedCustomer | undefined;
  readonly fingerprint: string;
  readonly arrivedAt: number;
  readonly #parts: RelayRunParts;
  readonly #reply: RelayReply;
  readonly #sink: AnswerSink;
  readonly #avoided = new Set<string>();
  readonly #deadline: Timer;
  #attempt: RunningAttempt | undefined;
  #failedHead: { head: RelayHead; body: Uint8Array[] } | undefined;
  #mayHaveRun = false;
  #sends = 0;
  #firstAt: number | undefined;
  #lastAt = 0;
  #longestGapMs = 0;
  #waitUntil: number;
  #done = false;

  constructor(
    parts: RelayRunParts,
    call: RelayCall,
    reply: RelayReply,
    contract: RequestContract,
    service: ServiceSpec,
    customer: KeyedCustomer | undefined,
    fingerprint: string,
  ) {
    this.#parts = parts;
    this.call = call;
    this.#reply = reply;
    this.contract = contract;
    this.service = service;
    this.customer = customer;
    this.fingerprint = fingerprint;
    this.arrivedAt = parts.timers.now();
    this.#waitUntil = this.arrivedAt + contract.route.goalMs * HOLD_SHARE;
    this.#sink = contract.route.kind === "streaming"
      ? new StreamAnswer(reply, call.lastEventId)
      : new HeldAnswer(reply);
    const leftMs = Math.max(0, contract.leftMs(this.arrivedAt));
    this.#deadline = parts.timers.after(leftMs, () => this.#expire());
  }

  get model(): string | undefined {
    return this.service.engine === undefined ? undefined : this.call.model;
  }

  get promptTokens(): number {
    return this.call.promptTokens;
  }

  /** 0 is served first. */
  get priority(): number {
    return this.customer?.priority ?? this.contract.route.priority;
  }

  /** When waiting for an upstream ends. */
  get waitUntil(): number {
    return this.#waitUntil;
  }

  get done(): boolean {
    return this.#done;
  }

  /** The attempt that is under way. */
  get attempt(): RunningAttempt | undefined {
    return this.#attempt;
  }

  get sends(): number {
    return this.#sends;
  }

  /** Time from arrival to the first byte; undefined before it. */
  get firstByteMs(): number | undefined {
    return this.#firstAt === undefined
      ? undefined
      : this.#firstAt - this.arrivedAt;
  }

  /** Longest pause between bytes for the caller, in milliseconds. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  get withinMs(): number {
    const { goalMs, gapMs } = this.contract.route;
    const now = this.#parts.timers.now();
    if (this.#sends > 0) {
      return Math.min(this.contract.leftMs(now), Math.max(goalMs, gapMs) * 4);
    }
    return goalMs * LATE_FACTOR - (now - this.arrivedAt);
  }

  avoids(key: string): boolean {
    return this.#avoided.has(key);
  }

  /** Begins. */
  start(): void {
    this.#parts.enterRoom(this);
  }

  /** Sends the request to the upstream that was chosen. */
  placed(placement: Placement & { kind: "send" }): void {
    const { replica, expectedMs, considered } = placement;
    const now = this.#parts.timers.now();
    this.#sends += 1;
    const attempt: RunningAttempt = {
      replica,
      startedAt: now,
      expectedMs,
      handle: undefined,
      head: undefined,
      lastDataAt: undefined,
      paused: false,
    };
    this.#attempt = attempt;
    this.#parts.note(this, { event: "sent", replica, expectedMs, considered });
    this.#parts.attemptStarted(this, attempt);
    const handle = this.#parts.client.send(
      { id: replica.host.id, address: replica.host.address },
      {
        requestId: this.call.id,
        method: this.call.method,
        path: this.call.target,
        headers: this.call.headers,
        body: this.call.body,
        deadlineMs: Math.max(1, Math.floor(this.contract.leftMs(now))),
        customer: this.customer?.name,
        lastEventId: this.#sink.lastEventId,
        urgency: Math.min(9, Math.max(0, this.priority)),
        idempotent: this.contract.repeatable,
      },
      this.#listener(attempt),
    );
    if (this.#attempt === attempt) attempt.handle = handle;
    else handle.cancel();
  }

  /** No upstream could be had in time. */
  notPlaced(placement: Placement, retryAfterMs: number): void {
    if (this.#failedHead !== undefined) return this.#passFailure();
    const full = placement.kind === "full";
    const detail = full
      ? `Best expected first byte ${Math.round(placement.expectedMs)} ms`
      : "No replica takes requests";
    this.#giveUp(full ? "overloaded" : "no_replica", detail, retryAfterMs);
  }

  /** Goes on elsewhere, where the contract allows: the upstream is lost. */
  upstreamLost(detail: string): void {
    const attempt = this.#attempt;
    if (attempt === undefined || !this.contract.repeatable) return;
    // The last attempt may yet go on: the doubt may be wrong.
    const isLast = this.#parts.hostLives(attempt.replica) &&
      !this.contract.hasAnotherAttempt;
    if (isLast) return;
    this.#endAttempt(attempt, "stalled", detail);
    this.#mayHaveRun = true;
    this.#sendAgain(attempt, true, detail);
  }

  /** The caller has left. */
  callerGone(): void {
    if (this.#done) return;
    this.#finish("caller_gone");
  }

  #listener(attempt: RunningAttempt): RelayListener {
    return {
      onHead: (head) => {
        if (this.#attempt === attempt) this.#headCame(attempt, head);
      },
      onData: (chunk) => {
        if (this.#attempt === attempt) this.#dataCame(attempt, chunk);
      },
      onEnd: (end) => {
        if (this.#attempt === attempt) this.#attemptOver(attempt, end);
      },
    };
  }

  #headCame(attempt: RunningAttempt, head: RelayHead): void {
    attempt.head = head;
    if (head.wrongHost || head.notRun) return;
    this.#mayHaveRun = true;
    if (head.status >= 200 && head.status < 300) this.#sink.begin(head);
    else if (!this.#sink.started && !PROMISES.has(head.status)) {
      this.#failedHead = { head, body: [] };
    }
  }

  #dataCame(attempt: RunningAttempt, chunk: Uint8Array): void {
    const { head } = attempt;
    if (head === undefined || head.notRun || head.wrongHost) return;
    const now = this.#parts.timers.now();
    const isFirst = attempt.lastDataAt === undefined;
    attempt.lastDataAt = now;
    if (isFirst) this.#parts.attemptFirstByte(this, attempt);
    if (head.status < 200 || head.status >= 300) {
      this.#failedHead?.body.push(chunk);
      return;
    }
    this.#noteGap(now);
    const verdict = this.#sink.data(chunk);
    if (verdict === "broken") {
      attempt.handle?.cancel();
      this.#attemptOver(attempt, { kind: "malformed", detail: "event order" });
    } else if (verdict === "wait_for_caller") {
      this.#awaitCaller(attempt);
    }
  }

  #noteGap(now: number): void {
    if (this.#firstAt === undefined) this.#firstAt = now;
    else this.#longestGapMs = Math.max(this.#longestGapMs, now - this.#lastAt);
    this.#lastAt = now;
  }

  #awaitCaller(attempt: RunningAttempt): void {
    if (attempt.paused) return;
    attempt.paused = true;
    attempt.handle?.pause();
    this.#reply.onDrain(() => {
      attempt.paused = false;
      attempt.lastDataAt = this.#parts.timers.now();
      attempt.handle?.resume();
    });
  }

  #attemptOver(attempt: RunningAttempt, end: RelayEnd): void {
    const { head } = attempt;
    if (head?.notRun || head?.wrongHost) {
      const outcome = head.wrongHost ? "wrong_host" : "refused";
      this.#endAttempt(attempt, outcome, `status ${head.status}`);
      return this.#sendAgain(attempt, false, `refused with ${head.status}`);
    }
    if (end.kind === "not_sent") {
      this.#endAttempt(attempt, "not_sent", end.detail);
      return this.#sendAgain(attempt, false, end.detail);
    }
    this.#mayHaveRun = true;
    if (end.kind !== "ended") {
      this.#failedHead = undefined;
      this.#endAttempt(attempt, end.kind, end.detail);
      return this.#broken(attempt, end.detail);
    }
    if (head === undefined) return this.#broken(attempt, "no head");
    if (head.status < 200 || head.status >= 300) {
      return this.#failed(attempt, head);
    }
    const whole = this.#sink.finish();
    this.#endAttempt(attempt, whole ? "answered" : "malformed", "");
    if (!whole) return this.#broken(attempt, "ended within an event");
    this.#finish("answered");
  }

  /** An upstream answered with a failure of its own. */
  #failed(attempt: RunningAttempt, head: RelayHead): void {
    this.#endAttempt(attempt, "failed_status", `status ${head.status}`);
    const retriable = head.status >= 500 && this.contract.repeatable;
    if (!retriable) {
      if (this.#sink.started) return this.#broken(attempt, "failed midway");
      return this.#passFailure();
    }
    this.#sendAgain(attempt, true, `status ${head.status}`);
  }

  #broken(attempt: RunningAttempt, detail: string): void {
    if (this.contract.repeatable) return this.#sendAgain(attempt, true, detail);
    this.#giveUp("upstream_failed", detail);
  }

  #sendAgain(attempt: RunningAttempt, ran: boolean, detail: string): void {
    const now = this.#parts.timers.now();
    this.#avoided.add(attempt.replica.key);
    this.#sink.restart();
    this.contract.attemptEnded(ran && this.#parts.hostLives(attempt.replica));
    if (this.#parts.crashesUpstreams(this)) {
      const kind = "crashes_upstreams";
      return this.#refuse({ kind, detail: "It ran at several crashes" });
    }
    const may = this.contract.maySendAgain(now) &&
      this.#parts.mayRepeat(this.service.name);
    if (!may) {
      if (this.#failedHead !== undefined) return this.#passFailure();
      return this.#giveUp("overloaded", detail, 200);
    }
    const holdMs = Math.max(
      RESUME_HOLD_MS,
      this.contract.route.goalMs * HOLD_SHARE,
    );
    this.#waitUntil = now + Math.min(holdMs, this.contract.leftMs(now));
    this.#parts.enterRoom(this);
  }

  #expire(): void {
    if (this.#done) return;
    const kind = this.#mayHaveRun || this.#attempt !== undefined
      ? "timed_out"
      : "expired";
    const attempt = this.#attempt;
    if (attempt !== undefined) {
      this.#endAttempt(attempt, "cancelled", "time up");
    }
    this.#refuse({ kind, detail: "The time is up" });
  }

  /** Refuses as not run where that is true, and as failed otherwise. */
  #giveUp(kind: RefusalKind, detail: string, retryAfterMs?: number): void {
    if (this.#mayHaveRun) {
      return this.#refuse({ kind: "upstream_failed", detail });
    }
    this.#refuse({ kind, detail, retryAfterMs });
  }

  #refuse(refusal: Refusal): void {
    if (this.#done) return;
    if (this.#sink.started) this.#reply.cut();
    else this.#reply.refuse(refusal);
    this.#finish(refusal.kind, refusal.detail);
  }

  /** Passes on the failure that an upstream answered with. */
  #passFailure(): void {
    const failed = this.#failedHead;
    if (failed === undefined || this.#sink.started) {
      return this.#giveUp("upstream_failed", "An upstream failed");
    }
    this.#reply.head(failed.head.status, failed.head.headers);
    for (const chunk of failed.body) this.#reply.data(chunk);
    this.#reply.end();
    this.#finish("passed_failure", `status ${failed.head.status}`);
  }

  #endAttempt(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    detail: string,
  ): void {
    if (this.#attempt !== attempt) return;
    this.#attempt = undefined;
    const cut = outcome === "stalled" || outcome === "cancelled";
    if (cut) attempt.handle?.cancel();
    this.#parts.attemptEnded(this, attempt, outcome, attempt.head);
    const { replica } = attempt;
    this.#parts.note(this, {
      event: "attempt_ended",
      outcome,
      detail,
      replica,
    });
  }

  #finish(outcome: RunOutcome, detail = ""): void {
    if (this.#done) return;
    this.#done = true;
    this.#deadline.cancel();
    this.#parts.leaveRoom(this);
    const attempt = this.#attempt;
    if (attempt !== undefined) this.#endAttempt(attempt, "cancelled", outcome);
    this.#parts.note(this, { event: "ended", outcome, detail });
    this.#parts.ended(this, outcome);
  }
}
