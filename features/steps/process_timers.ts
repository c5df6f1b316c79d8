import type { Timer, Timers } from "../../src/base/timers.ts";

/** Timers of one process: no callback runs after the process has ended. */
export class ProcessTimers implements Timers {
  readonly #timers: Timers;
  isRunning = true;

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  now(): number {
    return this.#timers.now();
  }

  after(delayMs: number, callback: () => void): Timer {
    return this.#timers.after(delayMs, this.#guard(callback));
  }

  afterInput(callback: () => void): void {
    this.#timers.afterInput(this.#guard(callback));
  }

  subscribe(periodMs: number, callback: () => void): Timer {
    return this.#timers.subscribe(periodMs, this.#guard(callback));
  }

  #guard(callback: () => void): () => void {
    return () => {
      if (this.isRunning) callback();
    };
  }
}
