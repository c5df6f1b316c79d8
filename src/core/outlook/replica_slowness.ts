/**
 * Ratios of measured to expected times to the first event, by replica.
 *
 * @module
 */

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.15;
/** Half-life of a replica's slowness without new samples. */
const HALF_LIFE_MS = 3_000;
const MAX_SLOWNESS = 8;
const MAX_AGE_MS = 60_000;

interface Average {
  factor: number;
  updatedAt: number;
}

/** Moving averages by replica, which return to 1 without new samples. */
export class ReplicaSlowness {
  readonly #averages = new Map<string, Average>();

  /** Records the ratio of a measured to an expected time. */
  record(key: string, ratio: number, now: number): void {
    const average = this.#averages.get(key) ?? { factor: 1, updatedAt: now };
    const decayed = decay(average, now);
    const sample = Math.min(MAX_SLOWNESS, ratio);
    average.factor = decayed + SAMPLE_WEIGHT * (sample - decayed);
    average.updatedAt = now;
    this.#averages.set(key, average);
  }

  /** How many times slower a replica is than expected; at least 1. */
  factor(key: string, now: number): number {
    const average = this.#averages.get(key);
    return average === undefined ? 1 : Math.max(1, decay(average, now));
  }

  /** The lowest factor of some replicas; 1 if there are none. */
  lowest(replicas: readonly { readonly key: string }[], now: number): number {
    let lowest = Infinity;
    for (const { key } of replicas) {
      lowest = Math.min(lowest, this.factor(key, now));
      if (lowest === 1) return 1;
    }
    return Number.isFinite(lowest) ? lowest : 1;
  }

  /** Drops replicas without recent samples. */
  expire(now: number): void {
    for (const [key, { updatedAt }] of this.#averages) {
      if (now - updatedAt > MAX_AGE_MS) this.#averages.delete(key);
    }
  }
}

function decay({ factor, updatedAt }: Average, now: number): number {
  return 1 + (factor - 1) * 2 ** (-(now - updatedAt) / HALF_LIFE_MS);
}
