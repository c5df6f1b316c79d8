/**
 * One attempt at a request on one upstream.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type {
  Attempt,
  AttemptEnd,
  AttemptListener,
  AttemptRequest,
  ResponseHead,
  UpstreamClient,
} from "../../ports/upstream_client.ts";
import type { UpstreamEntry } from "../routing/upstream_entry.ts";

/**
 * Response header with which an upstream states that it did not run the
 * request.
 */
export const NOT_RUN_HEADER = "x-not-run";

/**
 * How long the transport may take to end the response after its end marker
 * before the attempt is cancelled.
 */
const RESPONSE_END_TIMEOUT_MS = 1_000;

/** Receives the events of one request's attempts. */
export interface AttemptObserver {
  attemptHead(attempt: AttemptRun, head: ResponseHead): void;
  attemptData(attempt: AttemptRun, chunk: Uint8Array): void;
  attemptEnd(attempt: AttemptRun, end: AttemptEnd): void;
}

/**
 * Forwards an attempt's transport events to its observer and samples the
 * upstream's first-byte latency. Events that arrive after the attempt was closed
 * are dropped, so a late response can't reach another request.
 */
export class AttemptRun implements AttemptListener {
  readonly entry: UpstreamEntry;
  readonly startedAt: number;
  head: ResponseHead | undefined;
  lastDataAt: number;
  hasData = false;
  readonly #timers: Timers;
  readonly #observer: AttemptObserver;
  #handle: Attempt | undefined;
  #closed = false;
  #endTimer: Timer | undefined;

  constructor(timers: Timers, entry: UpstreamEntry, observer: AttemptObserver) {
    this.#timers = timers;
    this.entry = entry;
    this.#observer = observer;
    this.startedAt = timers.now();
    this.lastDataAt = this.startedAt;
  }

  /** Sends the request. */
  start(client: UpstreamClient, req: AttemptRequest): void {
    const handle = client.send(this.entry.upstream, req, this);
    if (this.#closed) handle.cancel();
    else this.#handle = handle;
  }

  /** Cancels the attempt; the observer receives no further events. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#handle?.cancel();
  }

  /**
   * Lets the transport end a complete response by itself so that the connection
   * can be reused; cancels the attempt after a timeout.
   */
  finish(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#endTimer = this.#timers.after(
      RESPONSE_END_TIMEOUT_MS,
      () => this.#handle?.cancel(),
    );
  }

  /** Stops reading from the upstream while the caller is slow. */
  pause(): void {
    this.#handle?.pause();
  }

  /** Resumes reading and restarts the silence timeout. */
  resume(): void {
    this.lastDataAt = this.#timers.now();
    this.#handle?.resume();
  }

  onHead(head: ResponseHead): void {
    if (this.#closed) return;
    this.head = head;
    this.lastDataAt = this.#timers.now();
    this.#observer.attemptHead(this, head);
  }

  onData(chunk: Uint8Array): void {
    if (this.#closed) return;
    const now = this.#timers.now();
    if (!this.hasData) this.entry.recordFirstByte(now - this.startedAt);
    this.hasData = true;
    this.lastDataAt = now;
    this.#observer.attemptData(this, chunk);
  }

  onEnd(end: AttemptEnd): void {
    this.#endTimer?.cancel();
    if (this.#closed) return;
    this.#closed = true;
    this.#observer.attemptEnd(this, end);
  }
}
