/**
 * Requests that were running when an upstream crashed.
 *
 * @module
 */
/** Crashes with the same request in flight after which it is refused. */
export const MAX_STRIKES = 2;
/** How long a strike is remembered. */
export const STRIKE_TTL_MS = 600_000;
/** Strikes are told to peers this long; told for ever, they would never end. */
export const STRIKE_NEWS_MS = 60_000;
/**
 * Remembers which requests were in flight at crashes, here and at peers. A
 * request in flight at two crashes is refused from then on; one with a strike
 * runs only where no other suspect runs.
 */
export class Suspects {
    #records = new Map();
    /** Notes requests in flight when an upstream crashed. Returns the news. */
    crashed(upstreamId, fingerprints, now) {
        return fingerprints.map((fingerprint) => {
            this.learn({ fingerprint, crashed: [upstreamId] }, now);
            return this.#suspect(fingerprint);
        });
    }
    /** Merges what a peer knows. Returns whether it was news. */
    learn(suspect, now) {
        let record = this.#records.get(suspect.fingerprint);
        if (record === undefined) {
            record = { crashed: new Set(), lastAt: now };
            this.#records.set(suspect.fingerprint, record);
        }
        const before = record.crashed.size;
        for (const id of suspect.crashed)
            record.crashed.add(id);
        if (record.crashed.size > before)
            record.lastAt = now;
        return record.crashed.size > before;
    }
    /** Tells whether a request must not run any more. */
    isRefused(fingerprint) {
        return this.strikes(fingerprint) >= MAX_STRIKES;
    }
    /** Crashes at which the request was in flight. */
    strikes(fingerprint) {
        return this.#records.get(fingerprint)?.crashed.size ?? 0;
    }
    /** Clears a request that has run to its end. */
    cleared(fingerprint) {
        if (!this.isRefused(fingerprint))
            this.#records.delete(fingerprint);
    }
    /** Strikes of late, for peers. */
    news(now) {
        return [...this.#records]
            .filter(([, record]) => now - record.lastAt <= STRIKE_NEWS_MS)
            .map(([id]) => this.#suspect(id));
    }
    /** Drops strikes older than {@linkcode STRIKE_TTL_MS}. */
    expire(now) {
        for (const [id, record] of this.#records) {
            if (now - record.lastAt > STRIKE_TTL_MS)
                this.#records.delete(id);
        }
    }
    #suspect(fingerprint) {
        const record = this.#records.get(fingerprint);
        return { fingerprint, crashed: [...(record?.crashed ?? [])] };
    }
}
