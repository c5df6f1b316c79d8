/**
 * Recent failure rates of upstreams, and ratios of their actual to their expected
 * first-byte times.
 *
 * @module
 */

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.15;
/** Half-life of an upstream's failure rate and slowness without new samples. */
const HALF_LIFE_MS = 3_000;
const MAX_SLOWNESS = 8;

interface Averages {
  failureRate: number;
  slowness: number;
  updatedAt: number;
}

/** Moving averages by upstream, which decay without new samples. */
export class ReplicaStats {
  readonly #averages = new Map<string, Averages>();

  /** Records whether an attempt failed. */
  recordOutcome(key: string, failed: boolean, now: number): void {
    const averages = this.#decayed(key, now);
    averages.failureRate += SAMPLE_WEIGHT *
      ((failed ? 1 : 0) - averages.failureRate);
  }

  /** Records the actual and the expected time to a first byte. */
  recordFirstByte(
    key: string,
    actualMs: number,
    expectedMs: number,
    now: number,
  ): void {
    const averages = this.#decayed(key, now);
    const ratio = Math.min(MAX_SLOWNESS, actualMs / Math.max(1, expectedMs));
    averages.slowness += SAMPLE_WEIGHT * (ratio - averages.slowness);
  }

  /** Share of recent attempts that failed. */
  failureRate(key: string, now: number): number {
    return this.#averages.has(key) ? this.#decayed(key, now).failureRate : 0;
  }

  /** Ratio of actual to expected first-byte times; 1 without samples. */
  slowness(key: string, now: number): number {
    return this.#averages.has(key) ? this.#decayed(key, now).slowness : 1;
  }

  /** Drops upstreams without recent samples. */
  expire(now: number): void {
    for (const [key, averages] of this.#averages) {
      if (now - averages.updatedAt > 60_000) this.#averages.delete(key);
    }
  }

  #decayed(key: string, now: number): Averages {
    let averages = this.#averages.get(key);
    if (averages === undefined) {
      averages = { failureRate: 0, slowness: 1, updatedAt: now };
      this.#averages.set(key, averages);
    }
    const decay = 2 ** (-(now - averages.updatedAt) / HALF_LIFE_MS);
    averages.failureRate *= decay;
    averages.slowness = 1 + (averages.slowness - 1) * decay;
    averages.updatedAt = now;
    return averages;
  }
}
