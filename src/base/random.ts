/**
 * Seeded random numbers, injected wherever randomness is needed.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";

/** A deterministic source of random numbers. */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer in `[0, limit)`. */
  int(limit: number): number {
    return uniformInt(this.#generator, 0, Math.max(0, limit - 1));
  }

  /** Returns a number in `[0, 1)`. */
  float(): number {
    return this.int(0x40000000) / 0x40000000;
  }

  /** Returns an element of a non-empty list. */
  pick<T>(list: readonly T[]): T {
    return list[this.int(list.length)];
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.float()) * mean;
  }
}
