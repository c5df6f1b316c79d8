/**
 * The rate-limited weight store.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";

/** Lets a bounded number of loads run at once; the others wait their turn. */
export class WeightStoreSim {
  readonly #timers: Timers;
  readonly #parallel: number;
  readonly #waiting: Array<() => void> = [];
  #running = 0;

  constructor(timers: Timers, parallel: number) {
    this.#timers = timers;
    this.#parallel = parallel;
  }

  /** Calls back when the weights have arrived. */
  load(durationMs: number, done: () => void): void {
    const run = () => {
      this.#running += 1;
      this.#timers.after(durationMs, () => {
        this.#running -= 1;
        done();
        this.#waiting.shift()?.();
      });
    };
    if (this.#running < this.#parallel) run();
    else this.#waiting.push(run);
  }
}
