/** Part of the allowed loads that is used: counts may differ by a moment. */
const USED_SHARE = 0.9;
/** Counts loads in a sliding window, and those that run. */
export class LoadCeiling {
    #windowMs;
    #begun = [];
    constructor(windowMs) {
        this.#windowMs = windowMs;
    }
    /** Loads that may begin now. */
    room(engine, now) {
        this.#expire(now);
        const inWindow = this.#begun.filter((l) => now - l.at < this.#windowMs);
        const allowed = Math.floor(engine.loadsPerSecond * this.#windowMs / 1_000 * USED_SHARE);
        const running = this.#begun.filter((load) => load.until > now).length;
        return Math.max(0, Math.min(allowed - inWindow.length, engine.loadsAtOnce - running));
    }
    /** Counts a load. */
    begun(now, durationMs) {
        this.#begun.push({ at: now, until: now + durationMs });
    }
    #expire(now) {
        const isOld = (load) => now - load.at >= this.#windowMs && load.until <= now;
        while (this.#begun.length > 0 && isOld(this.#begun[0]))
            this.#begun.shift();
    }
}
