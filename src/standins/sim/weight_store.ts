/**
 * Simulates the weight store, from which engines load the weights of models.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";

/** Runs a limited number of loads in parallel and queues the others. */
export class WeightStoreSim {
  readonly #timers: Timers;
  readonly #maxParallel: number;
  readonly #queue: Array<() => void> = [];
  #running = 0;

  constructor(timers: Timers, maxParallel: number) {
    this.#timers = timers;
    this.#maxParallel = maxParallel;
  }

  /**
   * Queues a load, which takes `durationMs` once it runs; then calls `onLoaded`.
   */
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
