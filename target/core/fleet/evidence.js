/**
 * What traffic and probes say against upstreams, before the store does.
 *
 * @module
 */
/** By then the store shows that a doubted host is gone, or it is not. */
const DOUBT_TTL_MS = 6_000;
/** Keeps the doubts of this process and of its peers. */
export class Evidence {
    #doubts = new Map();
    #trusted = new Map();
    #listeners = [];
    /** Calls back for each new doubt. */
    onDoubt(listener) {
        this.#listeners.push(listener);
    }
    /** Takes a doubt of this process or of a peer. Returns whether it is news. */
    doubt(doubt, from) {
        const known = this.#doubts.get(doubt.key);
        if (doubt.at <= (this.#trusted.get(doubt.key) ?? -Infinity))
            return false;
        if (known !== undefined && doubt.at <= known.at + 100)
            return false;
        this.#doubts.set(doubt.key, doubt);
        if (known !== undefined)
            return false;
        for (const listener of this.#listeners)
            listener(doubt, from);
        return true;
    }
    /** Ends a doubt: the upstream was seen to work, or found whole, after it. */
    trust(key, seenAt) {
        const known = this.#doubts.get(key);
        if (known !== undefined && seenAt > known.at)
            this.#doubts.delete(key);
        this.#trusted.set(key, seenAt);
    }
    /** Upstreams found whole of late, for peers. */
    trustedSince(since) {
        return [...this.#trusted].filter(([, at]) => at >= since);
    }
    /** Tells whether an upstream is doubted. */
    isDoubted(key) {
        return this.#doubts.has(key);
    }
    /** Upstreams that are doubted. */
    doubted() {
        return [...this.#doubts.keys()];
    }
    /** Doubts of late, for peers. */
    recent(since) {
        return [...this.#doubts.values()].filter((doubt) => doubt.at >= since);
    }
    /** Drops doubts that nothing has renewed. */
    expire(now) {
        for (const [key, doubt] of this.#doubts) {
            if (now - doubt.at > DOUBT_TTL_MS)
                this.#doubts.delete(key);
        }
        for (const [key, at] of this.#trusted) {
            if (now - at > DOUBT_TTL_MS)
                this.#trusted.delete(key);
        }
    }
}
