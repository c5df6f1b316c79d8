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
} from "../../ports/coordination_store.ts";
import type { Outcome } from "../../base/outcome.ts";
import type { ClockReading } from "../catalog/confirmation.ts";

/** A request times out this long after the store should have responded. */
const REQUEST_TIMEOUT_MARGIN_MS = 800;
/**
 * Wait of the first request after a failure, and of one after `pollNow`; short,
 * so that the response shows soon whether the store is reachable.
 */
const SHORT_WAIT_MS = 20;
/** First pause after a failed request; doubles up to the maximum. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 400;

/** Receives what the feed reads. */
export interface FeedListener {
  /**
   * Called with everything under the prefix as of revision `asOf`, which
   * replaces earlier listings.
   */
  onListing(items: readonly CoordinationItem[], asOf: number): void;
  onEvents(events: readonly CoordinationEvent[]): void;
  /** Called when every change up to revision `asOf` has been delivered. */
  onProgress?(asOf: number): void;
  /** Called when everything written before `requestedAt` has been read. */
  onConfirmed(requestedAt: ClockReading): void;
  /** Called after a failed request, unless the history was compacted. */
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
 * Lists once, then follows changes; lists again if the history was compacted.
 */
export class ChangeFeed {
  readonly #timers: Timers;
  readonly #store: CoordinationStore;
  readonly #prefix: string;
  readonly #listener: FeedListener;
  readonly #readClocks: () => ClockReading;
  readonly #timing: () => FeedTiming;
  /** Revision up to which everything was read; undefined before a listing. */
  #asOf: number | undefined;
  #retryMs = RETRY_MIN_MS;
  #lastRequestFailed = false;
  #stopped = false;
  #isPollRequested = false;
  /** Ends the pause, or abandons the long poll in progress. */
  #interrupt: (() => void) | undefined;
  #lastRequestAt = -Infinity;

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

  /** Monotonic time at which the last request started, in milliseconds. */
  get lastRequestAt(): number {
    return this.#lastRequestAt;
  }

  /** Polls at once: abandons the long poll or the pause in progress. */
  pollNow(): void {
    this.#isPollRequested = true;
    this.#interrupt?.();
  }

  async #follow(): Promise<void> {
    while (!this.#stopped) {
      const startedAt = this.#timers.now();
      this.#lastRequestAt = startedAt;
      const requestedAt = this.#readClocks();
      const err = this.#asOf === undefined
        ? await this.#list(requestedAt)
        : await this.#fetchChanges(this.#asOf, requestedAt);
      if (this.#stopped) return;
      if (err === "interrupted") continue;
      this.#lastRequestFailed = err !== undefined;
      if (err === undefined) this.#retryMs = RETRY_MIN_MS;
      else await this.#handleFailure(err);
      const leftMs = startedAt + this.#timing().pauseMs -
        this.#timers.now();
      if (leftMs > 0 && !this.#isPollRequested) await this.#pauseFor(leftMs);
    }
  }

  #pauseFor(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.#timers.after(ms, resolve);
      this.#interrupt = () => {
        timer.cancel();
        resolve();
      };
    });
  }

  async #list(
    requestedAt: ClockReading,
  ): Promise<CoordinationError | undefined> {
    const res = await this.#withTimeout<CoordinationListing>(
      this.#store.list(this.#prefix),
      0,
    );
    if (!res.ok) return res.err;
    this.#asOf = res.value.asOf;
    this.#listener.onListing(res.value.items, res.value.asOf);
    this.#listener.onConfirmed(requestedAt);
    return undefined;
  }

  async #fetchChanges(
    after: number,
    requestedAt: ClockReading,
  ): Promise<CoordinationError | "interrupted" | undefined> {
    const isShort = this.#lastRequestFailed || this.#isPollRequested;
    const waitMs = isShort ? SHORT_WAIT_MS : this.#timing().waitMs;
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
    if (!res.ok) return res.err;
    this.#asOf = Math.max(after, res.value.asOf);
    if (res.value.events.length > 0) this.#listener.onEvents(res.value.events);
    this.#listener.onProgress?.(this.#asOf);
    this.#listener.onConfirmed(requestedAt);
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
    this.#listener.onRequestFailed(err.detail);
    await sleep(this.#timers, this.#retryMs);
    this.#retryMs = Math.min(this.#retryMs * 2, RETRY_MAX_MS);
  }
}
