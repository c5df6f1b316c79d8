/**
 * Follows the keys under a prefix of the store.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import { sleep, TIMED_OUT, withTimeout } from "../../base/timers.ts";
import type {
  CoordinationError,
  CoordinationEvent,
  CoordinationItem,
  CoordinationListing,
  CoordinationStore,
  StorePosition,
} from "../../ports/coordination_store.ts";
import type { Outcome } from "../../base/outcome.ts";
import type { ClockReading } from "../catalog/confirmation.ts";

/** A request times out this long after the store should have responded. */
const REQUEST_TIMEOUT_MARGIN_MS = 800;
/**
 * Wait of the first request after a failure, and of one that was asked for; short,
 * so that the response shows soon whether the store is reachable.
 */
const SHORT_WAIT_MS = 20;
/** First pause after a failed request; doubles up to the maximum. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 400;
/**
 * A request that is older than this is abandoned: by then, a poll with a short
 * wait has completed or timed out.
 */
const ABANDON_REQUEST_AFTER_MS = 900;

/** Receives what the feed reads. */
export interface FeedListener {
  /**
   * Called with everything under the prefix as of revision `asOf`, which
   * replaces earlier listings.
   */
  onListing(items: readonly CoordinationItem[], asOf: number): void;
  onEvents(events: readonly CoordinationEvent[]): void;
  /**
   * Called when everything written before `requestedAt`, and every change up to
   * revision `asOf`, has been delivered.
   */
  onConfirmed(requestedAt: ClockReading, asOf: number): void;
  /** Called after a failed request, unless the feed only has to list again. */
  onRequestFailed(detail: string): void;
}

/** Timing of a feed, in milliseconds. */
export interface FeedTiming {
  /** Longest time that the store waits for a change before it responds. */
  readonly waitMs: number;
  /** Shortest time between the starts of two requests. */
  readonly pauseMs: number;
}

/**
 * Lists once, then follows changes; lists again if the history was compacted or
 * the store was restored.
 */
export class ChangeFeed {
  readonly #timers: Timers;
  readonly #store: CoordinationStore;
  readonly #prefix: string;
  readonly #listener: FeedListener;
  readonly #readClocks: () => ClockReading;
  readonly #timing: () => FeedTiming;
  /** Position up to which everything was read; undefined before a listing. */
  #asOf: StorePosition | undefined;
  #retryMs = RETRY_MIN_MS;
  #lastRequestFailed = false;
  #stopped = false;
  #isPollRequested = false;
  /** Whether the last request waits for changes only shortly. */
  #isShortPoll = false;
  /** Ends the pause, or abandons the long poll in progress. */
  #interrupt: (() => void) | undefined;
  /** A listing of an earlier era is out of date. */
  #minEra = 0;
  /** Whether the feed lists next without a pause. */
  #listsAtOnce = false;
  #lastRequestAt = -Infinity;
  #isPaused = false;

  constructor(
    timers: Timers,
    store: CoordinationStore,
    prefix: string,
    timing: () => FeedTiming,
    readClocks: () => ClockReading,
    listener: FeedListener,
  ) {
    this.#timers = timers;
    this.#store = store;
    this.#prefix = prefix;
    this.#timing = timing;
    this.#readClocks = readClocks;
    this.#listener = listener;
  }

  /** Starts following. */
  start(): void {
    this.#follow();
  }

  /** Stops after the request in progress. */
  stop(): void {
    this.#stopped = true;
  }

  /**
   * Polls at once, unless a request has just begun: abandons the long poll or the
   * pause in progress.
   */
  pollSoon(): void {
    if (!this.#isRequestRecent) this.#requestPoll();
  }

  /**
   * Polls at once, also if a long poll has just begun: its connection may have gone
   * silent.
   */
  pollNow(): void {
    if (!this.#isShortPoll || !this.#isRequestRecent) this.#requestPoll();
  }

  /**
   * Lists again at once, as the store was restored and its history is another one.
   */
  restart(era: number): void {
    this.#minEra = era;
    this.#asOf = undefined;
    this.#listsAtOnce = true;
    this.#interrupt?.();
  }

  get #isRequestRecent(): boolean {
    const sinceRequestMs = this.#timers.now() - this.#lastRequestAt;
    return sinceRequestMs <= ABANDON_REQUEST_AFTER_MS;
  }

  #requestPoll(): void {
    this.#isPollRequested = true;
    this.#interrupt?.();
  }

  /** Ends the pause in progress if the timing has become shorter. */
  endPauseIfDue(): void {
    if (this.#isPaused && this.#pauseLeftMs <= 0) this.#interrupt?.();
  }

  get #pauseLeftMs(): number {
    return this.#lastRequestAt + this.#timing().pauseMs - this.#timers.now();
  }

  async #follow(): Promise<void> {
    while (!this.#stopped) {
      this.#lastRequestAt = this.#timers.now();
      const requestedAt = this.#readClocks();
      const err = this.#asOf === undefined
        ? await this.#list(requestedAt)
        : await this.#fetchChanges(this.#asOf, requestedAt);
      if (this.#stopped) return;
      if (err === "interrupted") continue;
      this.#lastRequestFailed = err !== undefined;
      if (err === undefined) this.#retryMs = RETRY_MIN_MS;
      else await this.#handleFailure(err);
      const leftMs = this.#pauseLeftMs;
      const isDue = leftMs <= 0 || this.#isPollRequested || this.#listsAtOnce;
      if (!isDue) await this.#pauseFor(leftMs);
    }
  }

  async #pauseFor(ms: number): Promise<void> {
    this.#isPaused = true;
    await new Promise<void>((resolve) => {
      const timer = this.#timers.after(ms, resolve);
      this.#interrupt = () => {
        timer.cancel();
        resolve();
      };
    });
    this.#isPaused = false;
  }

  async #list(
    requestedAt: ClockReading,
  ): Promise<CoordinationError | "interrupted" | undefined> {
    this.#listsAtOnce = false;
    const res = await this.#withTimeout<CoordinationListing>(
      this.#store.list(this.#prefix),
      0,
    );
    if (!res.ok) return res.err;
    const { items, asOf, era } = res.value;
    if (era < this.#minEra) return "interrupted";
    // The listing itself may have shown the restoration.
    this.#listsAtOnce = false;
    this.#asOf = { era, revision: asOf };
    this.#listener.onListing(items, asOf);
    this.#listener.onConfirmed(requestedAt, asOf);
    return undefined;
  }

  async #fetchChanges(
    after: StorePosition,
    requestedAt: ClockReading,
  ): Promise<CoordinationError | "interrupted" | undefined> {
    this.#isShortPoll = this.#lastRequestFailed || this.#isPollRequested;
    const waitMs = this.#isShortPoll ? SHORT_WAIT_MS : this.#timing().waitMs;
    this.#isPollRequested = false;
    const interrupted = new Promise<"interrupted">((resolve) => {
      this.#interrupt = () => resolve("interrupted");
    });
    const request = this.#withTimeout(
      this.#store.changes(this.#prefix, after, waitMs),
      waitMs,
    );
    const res = await Promise.race([request, interrupted]);
    if (res === "interrupted") return res;
    // The store was restored after its response, but before this process read it.
    if (this.#asOf !== after) return "interrupted";
    if (!res.ok) return res.err;
    const { events, asOf } = res.value;
    const revision = Math.max(after.revision, asOf);
    this.#asOf = { era: after.era, revision };
    if (events.length > 0) this.#listener.onEvents(events);
    this.#listener.onConfirmed(requestedAt, revision);
    return undefined;
  }

  async #withTimeout<T>(
    request: Promise<Outcome<T, CoordinationError>>,
    waitMs: number,
  ): Promise<Outcome<T, CoordinationError>> {
    const timeoutMs = waitMs + REQUEST_TIMEOUT_MARGIN_MS;
    const res = await withTimeout(this.#timers, request, timeoutMs);
    if (res !== TIMED_OUT) return res;
    return { ok: false, err: { kind: "unavailable", detail: "silent" } };
  }

  async #handleFailure(err: CoordinationError): Promise<void> {
    if (err.kind === "compacted") {
      this.#asOf = undefined;
      return;
    }
    if (err.kind === "restored") {
      this.#asOf = undefined;
      this.#listsAtOnce = true;
      return sleep(this.#timers, this.#retryMs);
    }
    this.#listener.onRequestFailed(err.detail);
    await sleep(this.#timers, this.#retryMs);
    this.#retryMs = Math.min(this.#retryMs * 2, RETRY_MAX_MS);
  }
}
