/**
 * Time since a copy of state was last known to be the newest.
 *
 * @module
 */

/** A reading of the monotonic and the wall clock, in milliseconds. */
export interface ClockReading {
  readonly monotonic: number;
  readonly wall: number;
}

/**
 * Measures the age of the newest confirmation on two clocks and takes the
 * larger result: the monotonic clock stops while a host is suspended, and the
 * wall clock may be set back.
 */
export class Confirmation {
  readonly #monotonic: () => number;
  readonly #wall: () => number;
  #confirmedAt: ClockReading | undefined;

  constructor(monotonic: () => number, wall: () => number) {
    this.#monotonic = monotonic;
    this.#wall = wall;
  }

  /** Reads both clocks. */
  readClocks(): ClockReading {
    return { monotonic: this.#monotonic(), wall: this.#wall() };
  }

  /**
   * Records a confirmation that was requested at `requestedAt`, unless a newer
   * one is known.
   */
  record(requestedAt: ClockReading): void {
    if (this.#ageOf(requestedAt) < this.ageMs) this.#confirmedAt = requestedAt;
  }

  /** Records a confirmation that is `ageMs` old. */
  recordWithAge(ageMs: number): void {
    const now = this.readClocks();
    this.record({
      monotonic: now.monotonic - ageMs,
      wall: now.wall - ageMs,
    });
  }

  /** Age in milliseconds; infinite before the first confirmation. */
  get ageMs(): number {
    return this.#confirmedAt === undefined
      ? Infinity
      : this.#ageOf(this.#confirmedAt);
  }

  #ageOf(at: ClockReading): number {
    const now = this.readClocks();
    return Math.max(now.monotonic - at.monotonic, now.wall - at.wall);
  }
}
