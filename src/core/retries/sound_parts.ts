/**
 * Prompt parts to which responses began.
 *
 * @module
 */
import { dropOldest } from "../../base/collections.ts";

/** Time for which it is shared that a part turned out to be sound. */
const SHARE_MS = 1_000;
/** Maximum number of parts that are shared at once. */
const MAX_SHARED = 8;
/** Maximum number of parts that are remembered. */
const MAX_PARTS = 8_192;

/** Remembers when responses last began, and which parts that cleared of crashes. */
export class SoundParts {
  /** Time of the last beginning; in order of use. */
  readonly #begunAt = new Map<string, number>();
  readonly #clearedAt = new Map<string, number>();

  /**
   * Records that a response to a prompt with the part began at `at`. Returns
   * whether none is known to have begun later.
   */
  record(part: string, at: number): boolean {
    if (at <= this.begunAt(part)) return false;
    this.#begunAt.delete(part);
    this.#begunAt.set(part, at);
    dropOldest(this.#begunAt, MAX_PARTS);
    return true;
  }

  /** When a response last began to a prompt with the part; -Infinity if never. */
  begunAt(part: string): number {
    return this.#begunAt.get(part) ?? -Infinity;
  }

  /** Records that the part had crashes before, so that peers are told. */
  markCleared(part: string, now: number): void {
    this.#clearedAt.set(part, now);
  }

  /** Parts that were cleared recently, with the time of the last response. */
  cleared(now: number): [part: string, at: number][] {
    return [...this.#clearedAt]
      .filter(([, clearedAt]) => now - clearedAt <= SHARE_MS)
      .map(([part]): [string, number] => [part, this.begunAt(part)])
      .slice(-MAX_SHARED);
  }

  /** Drops outdated clearances. */
  expire(now: number): void {
    for (const [part, at] of this.#clearedAt) {
      if (now - at > SHARE_MS) this.#clearedAt.delete(part);
    }
  }
}
