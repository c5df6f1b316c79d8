/**
 * How upstreams did of late: failures, and times against what was expected.
 *
 * @module
 */

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.15;
/** Time in which half of what is held against an upstream is forgotten. */
const HALF_LIFE_MS = 3_000;
const MAX_SLOWNESS = 8;

interface Averages {
  failureRate: number;
  slowness: number;
  updatedAt: number;
}

/** Moving averages by upstream. */
export class ReplicaStats {
  readonly #averages = new Map<string, Averages>();

  /** Notes an answer, or a failure to give one. */
  recordOutcome(key: string, failed: boolean, now: number): void {
    const averages = this.#decayed(key, now);
    averages.failureRate += SAMPLE_WEIGHT *
      ((failed ? 1 : 0) - averages.failureRate);
  }

  /** Notes a first byte: the time it took against the time expected. */
  recordFirstByte(
    key: string,
    tookMs: number,
    expectedMs: number,
    now: number,
  ): void {
    const averages = this.#decayed(key, now);
    const ratio = Math.min(MAX_SLOWNESS, tookMs / Math.max(1, expectedMs));
    averages.slowness += SAMPLE_WEIGHT * (ratio - averages.slowness);
  }

  /** Share of requests that failed of late. */
  failureRate(key: string, now: number): number {
    return this.#averages.has(key) ? this.#decayed(key, now).failureRate : 0;
  }

  /** Factor on expected times; 1 when nothing is known. */
  slowness(key: string, now: number): number {
    return this.#averages.has(key) ? this.#decayed(key, now).slowness : 1;
  }

  /** Forgets upstreams of which nothing was heard for long. */
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
