/**
 * Whether the store responds to this process.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";

/** Receives the begin and the end of outages, as this process sees them. */
export interface ReachabilityListener {
  /** Called when a feed's requests begin to fail. */
  feedLost(feed: string, detail: string): void;
  /** Called when a feed's request succeeds again after `silentMs`. */
  feedRegained(feed: string, silentMs: number): void;
}

/** Tracks which feeds get no response from the store. */
export class StoreReachability {
  readonly #timers: Timers;
  readonly #listener: ReachabilityListener;
  /** Start of the current outage, by feed. */
  readonly #lostAt = new Map<string, number>();
  #regainedAt = -Infinity;

  constructor(timers: Timers, listener: ReachabilityListener) {
    this.#timers = timers;
    this.#listener = listener;
  }

  /** Whether any feed gets no response. */
  get isUnreachable(): boolean {
    return this.#lostAt.size > 0;
  }

  /** Monotonic time at which a feed last recovered, in milliseconds. */
  get regainedAt(): number {
    return this.#regainedAt;
  }

  /** Records that a feed's request failed. */
  recordFailure(feed: string, detail: string): void {
    if (this.#lostAt.has(feed)) return;
    this.#lostAt.set(feed, this.#timers.now());
    this.#listener.feedLost(feed, detail);
  }

  /** Records that a feed's request succeeded. */
  recordSuccess(feed: string): void {
    const lostAt = this.#lostAt.get(feed);
    if (lostAt === undefined) return;
    this.#lostAt.delete(feed);
    this.#regainedAt = this.#timers.now();
    this.#listener.feedRegained(feed, this.#regainedAt - lostAt);
  }
}
