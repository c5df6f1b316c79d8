/**
 * Seeded random numbers, handed to every part that needs chance.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
/** A deterministic source of random numbers. */
export class Random {
    #generator;
    constructor(seed) {
        this.#generator = xoroshiro128plus(seed);
    }
    /** Returns an integer in `[0, limit)`. */
    int(limit) {
        return uniformInt(this.#generator, 0, Math.max(0, limit - 1));
    }
    /** Returns a number in `[0, 1)`. */
    float() {
        return this.int(0x40000000) / 0x40000000;
    }
    /** Returns an element of a non-empty list. */
    pick(list) {
        return list[this.int(list.length)];
    }
    /** Returns an exponentially distributed number with the given mean. */
    exponential(mean) {
        return -Math.log(1 - this.float()) * mean;
    }
}
