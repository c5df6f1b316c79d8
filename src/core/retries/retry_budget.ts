/**
 * Token bucket that limits retries and hedges to a share of first attempts.
 *
 * @module
 */

/** Tokens added by each first attempt; a retry costs one. */
const RETRIES_PER_REQUEST = 0.2;
/** Capacity of the bucket, which starts full. */
const MAX_TOKENS = 50;

/**
 * Caps the retries of one gateway at a share of its requests, so that faults don't
 * multiply load. Nodes use `FleetRetryBudget` instead.
 */
export class RetryBudget {
  #tokens = MAX_TOKENS;

  /** Adds tokens for a first attempt. */
  recordFirstAttempt(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + RETRIES_PER_REQUEST);
  }

  /** Spends a token on a retry; returns false if there is none. */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
