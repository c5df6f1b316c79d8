/**
 * Recent failure rates of upstreams.
 *
 * @module
 */

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.15;
/** Half-life of an upstream's failure rate without new samples. */
const HALF_LIFE_MS = 3_000;
const MAX_AGE_MS = 60_000;

interface Average {
  rate: number;
  updatedAt: number;
}

/** Moving averages by upstream, which decay without new samples. */
export class ReplicaFailures {
  readonly #averages = new Map<string, Average>();

  /** Records whether an attempt failed. */
  record(key: string, failed: boolean, now: number): void {
    const average = this.#averages.get(key) ?? { rate: 0, updatedAt: now };
    const rate = decay(average, now);
    average.rate = rate + SAMPLE_WEIGHT * ((failed ? 1 : 0) - rate);
    average.updatedAt = now;
    this.#averages.set(key, average);
  }

  /** Share of recent attempts that failed. */
  rate(key: string, now: number): number {
    const average = this.#averages.get(key);
    return average === undefined ? 0 : decay(average, now);
  }

  /** Drops upstreams without recent samples. */
  expire(now: number): void {
    for (const [key, { updatedAt }] of this.#averages) {
      if (now - updatedAt > MAX_AGE_MS) this.#averages.delete(key);
    }
  }
}

function decay({ rate, updatedAt }: Average, now: number): number {
  return rate * 2 ** (-(now - updatedAt) / HALF_LIFE_MS);
}
