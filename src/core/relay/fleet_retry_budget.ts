/**
 * Limits retries to this process's share of the fleet's retry budget.
 *
 * @module
 */

/** Retry budget that the deployment sets for the whole fleet. */
export interface RetryBounds {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Length of the sliding window in which the budget applies. */
  readonly windowMs: number;
  /** Retries that the whole fleet may make in one window beyond the ratio. */
  readonly slack: number;
}

/**
 * Share of the budget that is used. The rest is a margin, as the budget must hold
 * in every window, wherever it begins.
 */
const USED_SHARE = 0.7;
const BUCKETS_PER_WINDOW = 20;

/** Requests and retries in a sliding window, counted in buckets of time. */
class RetryWindow {
  requests = 0;
  retries = 0;
  readonly #buckets: { at: number; requests: number; retries: number }[] = [];

  add(at: number, bucketMs: number, requests: number, retries: number): void {
    const start = Math.floor(at / bucketMs) * bucketMs;
    let last = this.#buckets.at(-1);
    if (last === undefined || last.at !== start) {
      last = { at: start, requests: 0, retries: 0 };
      this.#buckets.push(last);
    }
    last.requests += requests;
    last.retries += retries;
    this.requests += requests;
    this.retries += retries;
  }

  expire(before: number): void {
    while (this.#buckets.length > 0 && this.#buckets[0].at < before) {
      const expired = this.#buckets.shift();
      this.requests -= expired?.requests ?? 0;
      this.retries -= expired?.retries ?? 0;
    }
  }
}

/** Counts requests and retries of each service in a sliding window. */
export class FleetRetryBudget {
  readonly #bounds: () => RetryBounds;
  readonly #fleetSize: () => number;
  readonly #windows = new Map<string, RetryWindow>();

  constructor(bounds: () => RetryBounds, fleetSize: () => number) {
    this.#bounds = bounds;
    this.#fleetSize = fleetSize;
  }

  /** Counts a caller's request. */
  recordRequest(service: string, now: number): void {
    this.#window(service, now).add(now, this.#bucketMs, 1, 0);
  }

  /** Spends one retry; returns false if the budget has none left. */
  spend(service: string, now: number): boolean {
    const window = this.#window(service, now);
    const { ratio, slack } = this.#bounds();
    const allowed = USED_SHARE *
      (ratio * window.requests + slack / this.#fleetSize());
    if (window.retries + 1 > allowed) return false;
    window.add(now, this.#bucketMs, 0, 1);
    return true;
  }

  get #bucketMs(): number {
    return this.#bounds().windowMs / BUCKETS_PER_WINDOW;
  }

  #window(service: string, now: number): RetryWindow {
    let window = this.#windows.get(service);
    if (window === undefined) {
      window = new RetryWindow();
      this.#windows.set(service, window);
    }
    window.expire(now - this.#bounds().windowMs);
    return window;
  }
}
