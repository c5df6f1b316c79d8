/**
 * Detection of pauses of the process.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { ClockReading } from "../catalog/confirmation.ts";

const TICK_MS = 100;
/** A longer time since the last tick means that the process was paused. */
const PAUSE_THRESHOLD_MS = 400;
/** Time after a pause in which messages may come from the socket's queue. */
const QUEUE_DRAIN_MS = 500;

/**
 * Detects pauses of the process, to tell whether received messages are fresh. A
 * message that arrives during a pause is read after it, and the ages in it do
 * not include the time that it was queued.
 */
export class PauseDetector {
  readonly #timers: Timers;
  readonly #readClocks: () => ClockReading;
  #lastTick: ClockReading;
  #staleUntil = -Infinity;

  constructor(timers: Timers, readClocks: () => ClockReading) {
    this.#timers = timers;
    this.#readClocks = readClocks;
    this.#lastTick = readClocks();
  }

  /** Starts the ticks that detect pauses. */
  start(): void {
    this.#lastTick = this.#readClocks();
    this.#timers.subscribe(TICK_MS, () => {
      const now = this.#readClocks();
      if (this.#isPauseBefore(now)) {
        this.#staleUntil = now.monotonic + QUEUE_DRAIN_MS;
      }
      this.#lastTick = now;
    });
  }

  /**
   * False while received messages may have been queued during a pause.
   */
  get isFresh(): boolean {
    const now = this.#readClocks();
    return !this.#isPauseBefore(now) && now.monotonic >= this.#staleUntil;
  }

  #isPauseBefore(now: ClockReading): boolean {
    // The monotonic clock stops while a host is suspended, and the wall clock may
    // be set back, so the larger difference counts.
    const { monotonic, wall } = this.#lastTick;
    return Math.max(now.monotonic - monotonic, now.wall - wall) >
      PAUSE_THRESHOLD_MS;
  }
}
