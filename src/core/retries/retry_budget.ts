/**
 * Token bucket that ties retries and hedges to the rate of first attempts.
 *
 * @module
 */

/** Retries earned by each first attempt. */
const RETRIES_PER_REQUEST = 0.2;
/** Most retries saved up. */
const MAX_TOKENS = 50;

/** Keeps retries to a share of requests, so that faults don't multiply load. */
export class RetryBudget {
  #tokens = MAX_TOKENS;

  /** Earns for a first attempt. */
  earn(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + RETRIES_PER_REQUEST);
  }

  /** Takes one retry if there is one. */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
