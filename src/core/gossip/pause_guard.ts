/**
 * Notices that the process stood still.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { Age } from "../catalog/confirmation.ts";

const TICK_MS = 100;
/** Longer between two ticks, and the process has been paused. */
const PAUSE_THRESHOLD_MS = 400;
/** After a pause, messages may have waited in the socket for this time. */
const QUEUE_DRAIN_MS = 500;

/**
 * Tells whether messages can be taken for fresh. Those that arrived during a
 * pause are read after it, and the ages in them are as of their sending.
 */
export class PauseGuard {
  readonly #timers: Timers;
  readonly #readClocks: () => Age;
  #lastTick: Age;
  #staleUntil = -Infinity;

  constructor(timers: Timers, clocks: () => Age) {
    this.#timers = timers;
    this.#readClocks = clocks;
    this.#lastTick = clocks();
  }

  /** Begins to tick. */
  start(): void {
    this.#lastTick = this.#readClocks();
    this.#timers.subscribe(TICK_MS, () => {
      const now = this.#readClocks();
      if (this.#isPausedAt(now)) {
        this.#staleUntil = now.monotonic + QUEUE_DRAIN_MS;
      }
      this.#lastTick = now;
    });
  }

  /** Whether a message that is read now arrived a moment ago. */
  get isFresh(): boolean {
    const now = this.#readClocks();
    return !this.#isPausedAt(now) && now.monotonic >= this.#staleUntil;
  }

  #isPausedAt(now: Age): boolean {
    const { monotonic, wall } = this.#lastTick;
    return Math.max(now.monotonic - monotonic, now.wall - wall) >
      PAUSE_THRESHOLD_MS;
  }
}
