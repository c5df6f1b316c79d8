/**
 * Token bucket that ties retries and hedges to the rate of first attempts.
 *
 * @module
 */

/** Retries earned by each first attempt. */
const RETRIES_PER_REQUEST = 0.2;
/** Most retries saved up. */
const MAX_SAVED = 50;

/** Keeps retries to a share of requests, so that faults don't multiply load. */
export class RetryBudget {
  #saved = MAX_SAVED;

  /** Earns for a first attempt. */
  earn(): void {
    this.#saved = Math.min(MAX_SAVED, this.#saved + RETRIES_PER_REQUEST);
  }

  /** Takes one retry if there is one. */
  spend(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
