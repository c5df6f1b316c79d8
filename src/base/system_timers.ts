/**
 * Timer service on the process's monotonic clock.
 *
 * @module
 */
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from "node:timers";
import { performance } from "node:perf_hooks";
import type { Timer, Timers } from "./timers.ts";

/** {@linkcode Timers} backed by the event loop. */
export class SystemTimers implements Timers {
  now(): number {
    return performance.now();
  }

  after(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return { cancel: () => clearTimeout(handle) };
  }

  subscribe(periodMs: number, callback: () => void): Timer {
    const handle = setInterval(callback, periodMs);
    return { cancel: () => clearInterval(handle) };
  }
}
