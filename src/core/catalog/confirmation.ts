/**
 * Age of a confirmation, measured by two clocks.
 *
 * @module
 */

/** A reading of the monotonic clock and of the wall clock. */
export interface Age {
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
  #confirmedAt: Age | undefined;

  constructor(monotonic: () => number, wall: () => number) {
    this.#monotonic = monotonic;
    this.#wall = wall;
  }

  /** Reads both clocks. */
  now(): Age {
    return { monotonic: this.#monotonic(), wall: this.#wall() };
  }

  /**
   * Records a confirmation requested at `askedAt`, unless a newer one is known.
   */
  confirmed(askedAt: Age): void {
    if (this.#ageOf(askedAt) < this.ageMs) this.#confirmedAt = askedAt;
  }

  /** Records a confirmation that is `ageMs` old. */
  confirmedBefore(ageMs: number): void {
    const now = this.now();
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

  #ageOf(at: Age): number {
    const now = this.now();
    return Math.max(now.monotonic - at.monotonic, now.wall - at.wall);
  }
}
