/**
 * The rate-limited weight store.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";

/** Lets a bounded number of loads run at once; the others wait their turn. */
export class WeightStoreSim {
  readonly #timers: Timers;
  readonly #maxParallel: number;
  readonly #queue: Array<() => void> = [];
  #running = 0;

  constructor(timers: Timers, maxParallel: number) {
    this.#timers = timers;
    this.#maxParallel = maxParallel;
  }

  /** Calls back when the weights have arrived. */
  load(durationMs: number, onLoaded: () => void): void {
    const run = () => {
      this.#running += 1;
      this.#timers.after(durationMs, () => {
        this.#running -= 1;
        onLoaded();
        this.#queue.shift()?.();
      });
    };
    if (this.#running < this.#maxParallel) run();
    else this.#queue.push(run);
  }
}
