/**
 * Age of a confirmation by two clocks.
 *
 * @module
 */
/**
 * Ages a confirmation by the larger of two differences: the monotonic clock
 * stands still while a host is suspended, and the time of day may be set back.
 */
export class Confirmation {
    #monotonic;
    #wall;
    #at;
    constructor(monotonic, wall) {
        this.#monotonic = monotonic;
        this.#wall = wall;
    }
    /** Reads both clocks. */
    now() {
        return { monotonic: this.#monotonic(), wall: this.#wall() };
    }
    /** Takes a confirmation asked for at `askedAt`, unless a newer one is held. */
    confirmed(askedAt) {
        if (this.#ageOf(askedAt) < this.ageMs)
            this.#at = askedAt;
    }
    /** Takes a confirmation that is `ageMs` old. */
    confirmedBefore(ageMs) {
        const now = this.now();
        this.confirmed({
            monotonic: now.monotonic - ageMs,
            wall: now.wall - ageMs,
        });
    }
    /** Age in milliseconds; infinite before the first confirmation. */
    get ageMs() {
        return this.#at === undefined ? Infinity : this.#ageOf(this.#at);
    }
    #ageOf(at) {
        const now = this.now();
        return Math.max(now.monotonic - at.monotonic, now.wall - at.wall);
    }
}
