/**
 * Limits how often a step is retried.
 *
 * @module
 */

/** Minimum time between two attempts of the same step. */
const RETRY_INTERVAL_MS = 400;
/** The record of a step that was not attempted for this long is dropped. */
const EXPIRY_MS = 30_000;

/** Remembers when each step was last attempted. */
export class RetryLimiter {
  readonly #attemptedAt = new Map<string, number>();

  /** Whether a step may be attempted now; if so, records the attempt. */
  allow(step: string, now: number, intervalMs = RETRY_INTERVAL_MS): boolean {
    const last = this.#attemptedAt.get(step);
    if (last !== undefined && now - last < intervalMs) return false;
    this.#attemptedAt.set(step, now);
    return true;
  }

  /** Drops the records of steps that were not attempted for a long time. */
  expire(now: number): void {
    for (const [step, at] of this.#attemptedAt) {
      if (now - at > EXPIRY_MS) this.#attemptedAt.delete(step);
    }
  }
}
