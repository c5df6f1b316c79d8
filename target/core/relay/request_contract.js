/** Attempts at upstreams that died or refused don't count, up to this many. */
const MAX_FREE_ATTEMPTS = 3;
/** Least time left for which a request is sent again. */
const MIN_LEFT_MS = 30;
/** The contract of one request. */
export class RequestContract {
    route;
    /** Monotonic time at which the caller gives up or the route's time is up. */
    until;
    /** Attempts that may have run on an upstream that lives. */
    #counted = 0;
    #free = 0;
    constructor(route, call, arrivedAt) {
        this.route = route;
        const limitMs = Math.min(call.deadlineMs ?? Infinity, route.timeoutMs);
        this.until = arrivedAt + limitMs;
    }
    /** Whether the request may run again after it may have run. */
    get repeatable() {
        if (this.route.kind === "idempotent")
            return true;
        return this.route.kind === "streaming" && this.route.resumable;
    }
    /** Notes how an attempt ended that did not give the answer. */
    attemptEnded(counts) {
        if (counts)
            this.#counted += 1;
        else
            this.#free += 1;
    }
    /** Whether the request may be sent once more. */
    maySendAgain(now) {
        return this.#counted < this.route.attempts &&
            this.#free < MAX_FREE_ATTEMPTS && this.leftMs(now) > MIN_LEFT_MS;
    }
    /** Time left, in milliseconds. */
    leftMs(now) {
        return this.until - now;
    }
}
