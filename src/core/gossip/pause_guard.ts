/**
 * Notices that the process stood still.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { Age } from "../catalog/confirmation.ts";

const TICK_MS = 100;
/** Longer between two ticks, and the process has been paused. */
const PAUSE_MS = 400;
/** After a pause, messages may have waited in the socket for this time. */
const DISTRUST_MS = 500;

/**
 * Tells whether messages can be taken for fresh. Those that arrived during a
 * pause are read after it, and the ages in them are as of their sending.
 */
export class PauseGuard {
  readonly #timers: Timers;
  readonly #clocks: () => Age;
  #last: Age;
  #distrustUntil = -Infinity;

  constructor(timers: Timers, clocks: () => Age) {
    this.#timers = timers;
    this.#clocks = clocks;
    this.#last = clocks();
  }

  /** Begins to tick. */
  start(): void {
    this.#last = this.#clocks();
    this.#timers.subscribe(TICK_MS, () => {
      const now = this.#clocks();
      if (this.#isPausedAt(now)) {
        this.#distrustUntil = now.monotonic + DISTRUST_MS;
      }
      this.#last = now;
    });
  }

  /** Whether a message that is read now arrived a moment ago. */
  get isFresh(): boolean {
    const now = this.#clocks();
    return !this.#isPausedAt(now) && now.monotonic >= this.#distrustUntil;
  }

  #isPausedAt(now: Age): boolean {
    const { monotonic, wall } = this.#last;
    return Math.max(now.monotonic - monotonic, now.wall - wall) > PAUSE_MS;
  }
}
