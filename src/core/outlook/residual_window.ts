/**
 * Recent differences between measured and expected times.
 *
 * @module
 */

/** Number of successive samples of which a quantile is kept. */
const BATCH_SIZE = 8;
/** Number of samples from which the quantile of an incomplete batch counts. */
const MIN_BATCH_SIZE = 4;
/** Number of batches that are kept. */
const MAX_BATCHES = 8;
/** Age from which a batch is ignored, in milliseconds. */
const MAX_AGE_MS = 10_000;

interface Batch {
  readonly values: number[];
  /** Time of the newest sample. */
  at: number;
}

/**
 * Samples in batches, of bounded number and age. While requests queue, all samples of
 * a batch are too long, but the batches before and after are not.
 */
export class ResidualWindow {
  readonly #batches: Batch[] = [];

  /** Adds a sample, in milliseconds. */
  add(value: number, now: number): void {
    let batch = this.#batches.at(-1);
    if (batch === undefined || batch.values.length === BATCH_SIZE) {
      batch = { values: [], at: now };
      this.#batches.push(batch);
      if (this.#batches.length > MAX_BATCHES) this.#batches.shift();
    }
    const index = batch.values.findIndex((other) => other > value);
    batch.values.splice(index < 0 ? batch.values.length : index, 0, value);
    batch.at = now;
  }

  /** Time since the newest sample, in milliseconds; infinite without one. */
  ageMs(now: number): number {
    return now - (this.#batches.at(-1)?.at ?? -Infinity);
  }

  /** Number of samples that are recent enough. */
  count(now: number): number {
    return this.#recent(now).reduce(
      (sum, { values }) => sum + values.length,
      0,
    );
  }

  /**
   * Returns the lowest of the batches' quantiles; undefined without samples. Batches
   * of a few samples count only while there are no others.
   */
  lowest(share: number, now: number): number | undefined {
    const recent = this.#recent(now);
    const large = recent.filter(({ values }) =>
      values.length >= MIN_BATCH_SIZE
    );
    const batches = large.length > 0 ? large : recent;
    const quantiles = batches.map(({ values }) =>
      values[Math.floor(share * values.length)]
    );
    return quantiles.length === 0 ? undefined : Math.min(...quantiles);
  }

  /** Returns the median of the newest complete batch, if it is recent enough. */
  latestMedian(now: number): number | undefined {
    return this.#recent(now)
      .findLast(({ values }) => values.length === BATCH_SIZE)
      ?.values[BATCH_SIZE >> 1];
  }

  #recent(now: number): readonly Batch[] {
    return this.#batches.filter(({ at }) => now - at <= MAX_AGE_MS);
  }
}
