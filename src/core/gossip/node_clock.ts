/**
 * The clock by which a node dates its statuses.
 *
 * @module
 */
import type { Random } from "../../base/random.ts";
import type { ClockReading } from "../catalog/confirmation.ts";

/**
 * A larger difference between the progress of both clocks means that the host was
 * suspended or the wall clock was set.
 */
const MAX_DIVERGENCE_MS = 50;
const ID_LIMIT = 0x7fffffff;

/** A moment on the clock of a node. */
export interface ClockTime {
  /** Identity of the clock: one run of a node, without suspensions. */
  readonly clock: number;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/**
 * A monotonic clock that gets a new identity whenever it may have stood still, so
 * that no process relies on a difference measured before.
 */
export class NodeClock {
  readonly #readClocks: () => ClockReading;
  readonly #random: Random;
  #id: number;
  #last: ClockReading;

  constructor(readClocks: () => ClockReading, random: Random) {
    this.#readClocks = readClocks;
    this.#random = random;
    this.#id = random.int(ID_LIMIT);
    this.#last = readClocks();
  }

  /**
   * Returns the current time.
   *
   * @example
   * ```ts
   * const status = { ...state, createdAt: clock.read() };
   * ```
   */
  read(): ClockTime {
    const now = this.#readClocks();
    const monotonicMs = now.monotonic - this.#last.monotonic;
    const wallMs = now.wall - this.#last.wall;
    if (Math.abs(wallMs - monotonicMs) > MAX_DIVERGENCE_MS) {
      this.#id = this.#random.int(ID_LIMIT);
    }
    this.#last = now;
    return { clock: this.#id, at: now.monotonic };
  }
}
