/**
 * Timers on the process's monotonic clock.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { clearTimeout, setImmediate, setTimeout } from "node:timers";
import { PeriodicTimers } from "./periodic_timers.ts";
import type { Timer, Timers } from "./timers.ts";

/** {@linkcode Timers} backed by the event loop. */
export class SystemTimers implements Timers {
  readonly #periodic = new PeriodicTimers(this);

  now(): number {
    return performance.now();
  }

  after(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return { cancel: () => clearTimeout(handle) };
  }

  afterInput(callback: () => void): void {
    // A turn of the event loop reads the rest of what came with a request, such as
    // the close of its connection, one turn after the request. Each immediate runs
    // when a turn has read its input.
    setImmediate(() => setImmediate(callback));
  }

  subscribe(periodMs: number, callback: () => void): Timer {
    return this.#periodic.add(periodMs, callback);
  }
}
