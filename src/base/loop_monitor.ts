/**
 * Measures how far the event loop is behind.
 *
 * @module
 */
import type { Timers } from "./timers.ts";

/** The period of the node's other ticks, so that these need no wake-ups. */
const TICK_MS = 100;
/** Lags below this are not recorded. */
const MIN_LAG_MS = 10;
/** Lags are recorded for this time. */
const HISTORY_MS = 3_000;

/** How late this process may have read what arrived. */
export interface LoopLag {
  /** Longest lag since a monotonic time, in milliseconds. */
  worstSince(since: number): number;
}

/** Records how late the ticks of a timer are. */
export class LoopMonitor implements LoopLag {
  readonly #timers: Timers;
  readonly #onLag: (lagMs: number) => void;
  #lastTickAt: number;
  #lags: { readonly at: number; readonly lagMs: number }[] = [];

  /** Creates a monitor. `onLag` receives each recorded lag, in milliseconds. */
  constructor(timers: Timers, onLag: (lagMs: number) => void = () => {}) {
    this.#timers = timers;
    this.#onLag = onLag;
    this.#lastTickAt = timers.now();
  }

  /** Starts the ticks. */
  start(): void {
    this.#lastTickAt = this.#timers.now();
    this.#timers.subscribe(TICK_MS, () => this.#tick());
  }

  worstSince(since: number): number {
    // The next tick may be overdue already.
    let worst = this.#timers.now() - this.#lastTickAt - TICK_MS;
    for (const { at, lagMs } of this.#lags) {
      if (at >= since) worst = Math.max(worst, lagMs);
    }
    return Math.max(0, worst);
  }

  #tick(): void {
    const now = this.#timers.now();
    const lagMs = now - this.#lastTickAt - TICK_MS;
    this.#lastTickAt = now;
    if (this.#lags.length > 0 && now - this.#lags[0].at > HISTORY_MS) {
      this.#lags = this.#lags.filter(({ at }) => now - at <= HISTORY_MS);
    }
    if (lagMs < MIN_LAG_MS) return;
    this.#lags.push({ at: now, lagMs });
    this.#onLag(lagMs);
  }
}
