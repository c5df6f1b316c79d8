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
import type { Age } from "../catalog/confirmation.ts";

/** Time beyond the wait after which a call counts as silent. */
const CALL_TIMEOUT_MARGIN_MS = 800;
/** Wait of the first call after a failure: shows soon that the store is back. */
const RECOVERY_WAIT_MS = 20;
/** First pause after a failed call; doubles up to the maximum. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 400;

/** Receives what the feed sees. */
export interface FeedListener {
  /** Everything under the prefix, replacing what was known before. */
  onListing(items: readonly CoordinationItem[], asOf: number): void;
  onEvents(events: readonly CoordinationEvent[]): void;
  /** Every change up to a revision has been shown. */
  onCovered?(asOf: number): void;
  /** Everything up to `askedAt` has been seen. */
  onConfirmed(askedAt: Age): void;
  onLost(detail: string): void;
}

/** Pace of a feed, in milliseconds. */
export interface FeedTiming {
  /** Longest wait of one call. */
  readonly waitMs: number;
  /** Shortest time between two calls. */
  readonly pauseMs: number;
}

/** Lists once, then follows changes; lists again when history is gone. */
export class ChangeFeed {
  readonly #timers: Timers;
  readonly #store: CoordinationStore;
  readonly #prefix: string;
  readonly #listener: FeedListener;
  readonly #readClocks: () => Age;
  readonly #timing: () => FeedTiming;
  #asOf: number | undefined;
  #retryMs = RETRY_MIN_MS;
  #isLost = false;
  #stopped = false;
  #isPollRequested = false;
  #wake: (() => void) | undefined;
  #calledAt = -Infinity;

  constructor(
    timers: Timers,
    store: CoordinationStore,
    prefix: string,
    timing: () => FeedTiming,
    readClocks: () => Age,
    listener: FeedListener,
  ) {
    this.#timers = timers;
    this.#store = store;
    this.#prefix = prefix;
    this.#timing = timing;
    this.#readClocks = readClocks;
    this.#listener = listener;
  }

  /** Begins to follow. */
  start(): void {
    this.#follow();
  }

  /** Stops after the call that is under way. */
  stop(): void {
    this.#stopped = true;
  }

  /** Monotonic time of the last call. */
  get calledAt(): number {
    return this.#calledAt;
  }

  /** Asks at once, whatever is being waited for. */
  pollNow(): void {
    this.#isPollRequested = true;
    this.#wake?.();
  }

  async #follow(): Promise<void> {
    while (!this.#stopped) {
      const startedAt = this.#timers.now();
      this.#calledAt = startedAt;
      const askedAt = this.#readClocks();
      const err = this.#asOf === undefined
        ? await this.#list(askedAt)
        : await this.#fetchChanges(this.#asOf, askedAt);
      if (this.#stopped) return;
      if (err === "nudged") continue;
      this.#isLost = err !== undefined;
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
      this.#wake = () => {
        timer.cancel();
        resolve();
      };
    });
  }

  async #list(askedAt: Age): Promise<CoordinationError | undefined> {
    const res = await this.#callWithTimeout<CoordinationListing>(
      this.#store.list(this.#prefix),
      0,
    );
    if (!res.ok) return res.err;
    this.#asOf = res.value.asOf;
    this.#listener.onListing(res.value.items, res.value.asOf);
    this.#listener.onConfirmed(askedAt);
    return undefined;
  }

  async #fetchChanges(
    after: number,
    askedAt: Age,
  ): Promise<CoordinationError | "nudged" | undefined> {
    const isShort = this.#isLost || this.#isPollRequested;
    const waitMs = isShort ? RECOVERY_WAIT_MS : this.#timing().waitMs;
    this.#isPollRequested = false;
    const interrupted = new Promise<"nudged">((resolve) => {
      this.#wake = () => resolve("nudged");
    });
    const call = this.#callWithTimeout(
      this.#store.changes(this.#prefix, after, waitMs),
      waitMs,
    );
    const res = await Promise.race([call, interrupted]);
    if (res === "nudged") return res;
    if (!res.ok) return res.err;
    this.#asOf = Math.max(after, res.value.asOf);
    if (res.value.events.length > 0) this.#listener.onEvents(res.value.events);
    this.#listener.onCovered?.(this.#asOf);
    this.#listener.onConfirmed(askedAt);
    return undefined;
  }

  async #callWithTimeout<T>(
    call: Promise<Outcome<T, CoordinationError>>,
    waitMs: number,
  ): Promise<Outcome<T, CoordinationError>> {
    const timeoutMs = waitMs + CALL_TIMEOUT_MARGIN_MS;
    const res = await withTimeout(this.#timers, call, timeoutMs);
    if (res !== TIMED_OUT) return res;
    return { ok: false, err: { kind: "unavailable", detail: "silent" } };
  }

  async #handleFailure(err: CoordinationError): Promise<void> {
    if (err.kind === "compacted") {
      this.#asOf = undefined;
      return;
    }
    this.#listener.onLost(err.detail);
    await sleep(this.#timers, this.#retryMs);
    this.#retryMs = Math.min(this.#retryMs * 2, RETRY_MAX_MS);
  }
}
