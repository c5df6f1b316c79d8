import { sleep, TIMED_OUT, withTimeout } from "../../base/timers.js";
/** Time beyond the wait after which a call counts as silent. */
const CALL_LIMIT_MS = 1_200;
/** First pause after a failed call; doubles up to the maximum. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 400;
/** Lists once, then follows changes; lists again when history is gone. */
export class ChangeFeed {
    #timers;
    #store;
    #prefix;
    #listener;
    #clocks;
    #pace;
    #asOf;
    #retryMs = RETRY_MIN_MS;
    #stopped = false;
    constructor(timers, store, prefix, pace, clocks, listener) {
        this.#timers = timers;
        this.#store = store;
        this.#prefix = prefix;
        this.#pace = pace;
        this.#clocks = clocks;
        this.#listener = listener;
    }
    /** Changes the pace from the next call on. */
    set pace(pace) {
        this.#pace = pace;
    }
    /** Begins to follow. */
    start() {
        this.#follow();
    }
    /** Stops after the call that is under way. */
    stop() {
        this.#stopped = true;
    }
    async #follow() {
        while (!this.#stopped) {
            const startedAt = this.#timers.now();
            const askedAt = this.#clocks();
            const err = this.#asOf === undefined
                ? await this.#list(askedAt)
                : await this.#change(this.#asOf, askedAt);
            if (this.#stopped)
                return;
            if (err === undefined)
                this.#retryMs = RETRY_MIN_MS;
            else
                await this.#failed(err);
            const early = startedAt + this.#pace.pauseMs - this.#timers.now();
            if (early > 0)
                await sleep(this.#timers, early);
        }
    }
    async #list(askedAt) {
        const res = await this.#limited(this.#store.list(this.#prefix), 0);
        if (!res.ok)
            return res.err;
        this.#asOf = res.value.asOf;
        this.#listener.onListing(res.value.items);
        this.#listener.onConfirmed(askedAt);
        return undefined;
    }
    async #change(after, askedAt) {
        const { waitMs } = this.#pace;
        const res = await this.#limited(this.#store.changes(this.#prefix, after, waitMs), waitMs);
        if (!res.ok)
            return res.err;
        this.#asOf = Math.max(after, res.value.asOf);
        if (res.value.events.length > 0)
            this.#listener.onEvents(res.value.events);
        this.#listener.onConfirmed(askedAt);
        return undefined;
    }
    async #limited(call, waitMs) {
        const limitMs = waitMs + CALL_LIMIT_MS;
        const res = await withTimeout(this.#timers, call, limitMs);
        if (res !== TIMED_OUT)
            return res;
        return { ok: false, err: { kind: "unavailable", detail: "silent" } };
    }
    async #failed(err) {
        if (err.kind === "compacted") {
            this.#asOf = undefined;
            return;
        }
        this.#listener.onLost(err.detail);
        await sleep(this.#timers, this.#retryMs);
        this.#retryMs = Math.min(this.#retryMs * 2, RETRY_MAX_MS);
    }
}
