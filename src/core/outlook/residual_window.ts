/**
 * Recent differences between measured and expected times, and their quantiles.
 *
 * @module
 */

/** Number of samples kept; older ones are replaced. */
const CAPACITY = 64;
/** Age from which a sample is ignored, in milliseconds. */
const MAX_AGE_MS = 20_000;
/** A quantile is computed again after this many new samples. */
const SAMPLES_PER_UPDATE = 4;

interface Sample {
  readonly value: number;
  readonly at: number;
}

/** A window of samples of bounded size and age. */
export class ResidualWindow {
  readonly #samples: Sample[] = [];
  #next = 0;
  #sorted: readonly number[] = [];
  #sortedAt = -Infinity;
  #addedSinceSort = 0;
  #newestAt = -Infinity;

  /** Adds a sample, in milliseconds. */
  add(value: number, now: number): void {
    this.#samples[this.#next] = { value, at: now };
    this.#next = (this.#next + 1) % CAPACITY;
    this.#addedSinceSort += 1;
    this.#newestAt = now;
  }

  /** Time since the newest sample, in milliseconds; infinite without one. */
  ageMs(now: number): number {
    return now - this.#newestAt;
  }

  /** Number of samples that are recent enough. */
  count(now: number): number {
    return this.#values(now).length;
  }

  /** Returns a quantile of the samples; undefined if there are none. */
  quantile(share: number, now: number): number | undefined {
    const values = this.#values(now);
    if (values.length === 0) return undefined;
    const index = Math.min(
      values.length - 1,
      Math.floor(share * values.length),
    );
    return values[index];
  }

  #values(now: number): readonly number[] {
    const isCurrent = this.#addedSinceSort < SAMPLES_PER_UPDATE &&
      this.#sorted.length >= SAMPLES_PER_UPDATE &&
      now - this.#sortedAt < 1_000;
    if (isCurrent) return this.#sorted;
    this.#sorted = this.#samples
      .filter(({ at }) => now - at <= MAX_AGE_MS)
      .map(({ value }) => value)
      .sort((a, b) => a - b);
    this.#sortedAt = now;
    this.#addedSinceSort = 0;
    return this.#sorted;
  }
}
