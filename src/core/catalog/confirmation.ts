/**
 * Age of a confirmation, measured by two clocks.
 *
 * @module
 */

/** A reading of the monotonic clock and of the wall clock. */
export interface ClockReading {
  readonly monotonic: number;
  readonly wall: number;
}

/**
 * Measures the age of a confirmation as the larger of two differences: the
 * monotonic clock stops while a host is suspended, and the wall clock may be
 * set back.
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
   * Records a confirmation requested at `requestedAt`, unless a newer one is known.
   */
  confirmed(requestedAt: ClockReading): void {
    if (this.#ageOf(requestedAt) < this.ageMs) this.#confirmedAt = requestedAt;
  }

  /** Records a confirmation that is `ageMs` old. */
  recordWithAge(ageMs: number): void {
    const now = this.readClocks();
    this.confirmed({
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
