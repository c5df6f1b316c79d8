/**
 * How upstreams did of late: failures, and times against what was expected.
 *
 * @module
 */

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.15;
/** Time in which half of what is held against an upstream is forgotten. */
const FORGET_HALF_MS = 3_000;
const SLOWEST = 8;

interface Marks {
  failures: number;
  slowness: number;
  at: number;
}

/** Moving averages by upstream. */
export class ReplicaRecord {
  readonly #marks = new Map<string, Marks>();

  /** Notes an answer, or a failure to give one. */
  ended(key: string, failed: boolean, now: number): void {
    const marks = this.#aged(key, now);
    marks.failures += SAMPLE_WEIGHT * ((failed ? 1 : 0) - marks.failures);
  }

  /** Notes a first byte: the time it took against the time expected. */
  firstByte(
    key: string,
    tookMs: number,
    expectedMs: number,
    now: number,
  ): void {
    const marks = this.#aged(key, now);
    const ratio = Math.min(SLOWEST, tookMs / Math.max(1, expectedMs));
    marks.slowness += SAMPLE_WEIGHT * (ratio - marks.slowness);
  }

  /** Share of requests that failed of late. */
  failureShare(key: string, now: number): number {
    return this.#marks.has(key) ? this.#aged(key, now).failures : 0;
  }

  /** Factor on expected times; 1 when nothing is known. */
  slowness(key: string, now: number): number {
    return this.#marks.has(key) ? this.#aged(key, now).slowness : 1;
  }

  /** Forgets upstreams of which nothing was heard for long. */
  expire(now: number): void {
    for (const [key, marks] of this.#marks) {
      if (now - marks.at > 60_000) this.#marks.delete(key);
    }
  }

  #aged(key: string, now: number): Marks {
    let marks = this.#marks.get(key);
    if (marks === undefined) {
      marks = { failures: 0, slowness: 1, at: now };
      this.#marks.set(key, marks);
    }
    const kept = 2 ** (-(now - marks.at) / FORGET_HALF_MS);
    marks.failures *= kept;
    marks.slowness = 1 + (marks.slowness - 1) * kept;
    marks.at = now;
    return marks;
  }
}
