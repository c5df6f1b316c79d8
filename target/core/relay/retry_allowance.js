/**
 * Repeats of requests, kept to this process's part of the fleet's budget.
 *
 * @module
 */
/** Part of the bounds that is used; the rest covers windows that slide. */
const USED_SHARE = 0.7;
const BUCKETS = 20;
class Window {
    requests = 0;
    repeats = 0;
    #buckets = [];
    add(at, bucketMs, requests, repeats) {
        const start = Math.floor(at / bucketMs) * bucketMs;
        let last = this.#buckets.at(-1);
        if (last === undefined || last.at !== start) {
            last = { at: start, requests: 0, repeats: 0 };
            this.#buckets.push(last);
        }
        last.requests += requests;
        last.repeats += repeats;
        this.requests += requests;
        this.repeats += repeats;
    }
    expire(before) {
        while (this.#buckets.length > 0 && this.#buckets[0].at < before) {
            const gone = this.#buckets.shift();
            this.requests -= gone?.requests ?? 0;
            this.repeats -= gone?.repeats ?? 0;
        }
    }
}
/** Counts requests and repeats of each service in a sliding window. */
export class RetryAllowance {
    #bounds;
    #fleetSize;
    #windows = new Map();
    constructor(bounds, fleetSize) {
        this.#bounds = bounds;
        this.#fleetSize = fleetSize;
    }
    /** Counts a request of a caller. */
    request(service, now) {
        this.#window(service, now).add(now, this.#bucketMs, 1, 0);
    }
    /** Takes one repeat if the budget has one. */
    spend(service, now) {
        const window = this.#window(service, now);
        const { ratio, slack } = this.#bounds;
        const allowed = USED_SHARE *
            (ratio * window.requests + slack / this.#fleetSize());
        if (window.repeats + 1 > allowed)
            return false;
        window.add(now, this.#bucketMs, 0, 1);
        return true;
    }
    get #bucketMs() {
        return this.#bounds.windowMs / BUCKETS;
    }
    #window(service, now) {
        let window = this.#windows.get(service);
        if (window === undefined) {
            window = new Window();
            this.#windows.set(service, window);
        }
        window.expire(now - this.#bounds.windowMs);
        return window;
    }
}
