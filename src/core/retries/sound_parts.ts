/**
 * Prompt parts to which responses began.
 *
 * @module
 */
import { dropOldest } from "../../base/collections.ts";
import type { Observer } from "../fleet/observer.ts";

/** Time for which it is shared that a part turned out to be sound. */
const SHARE_MS = 1_000;
/** Maximum number of parts that are shared at once. */
const MAX_SHARED = 8;
/** Maximum number of parts that are remembered. */
const MAX_PARTS = 8_192;

/** Remembers when responses last began, and which parts that cleared of crashes. */
export class SoundParts {
  /** Time of the last beginning at any process; in order of use. */
  readonly #begunAt = new Map<string, number>();
  /** Time of the last beginning at this process; in order of use. */
  readonly #ownBegunAt = new Map<string, number>();
  readonly #clearedAt = new Map<string, number>();

  /**
   * Records that a response to a prompt with the part began at `at`. Returns
   * whether none is known to have begun later.
   */
  record(part: string, at: number, from: Observer): boolean {
    if (from === "own") setNewest(this.#ownBegunAt, part, at);
    return setNewest(this.#begunAt, part, at);
  }

  /** When a response last began to a prompt with the part; -Infinity if never. */
  begunAt(part: string): number {
    return this.#begunAt.get(part) ?? -Infinity;
  }

  /**
   * Records that the part had a crash at `crashAt`. If a response at this process
   * cleared it of that, peers are sent the time of the response.
   */
  markCleared(part: string, crashAt: number, now: number): void {
    if (crashAt > this.#ownBegun(part)) return;
    this.#clearedAt.set(part, now);
  }

  /**
   * Parts that responses at this process cleared recently, with the time of the last
   * one.
   */
  cleared(now: number): [part: string, at: number][] {
    return [...this.#clearedAt]
      .filter(([, clearedAt]) => now - clearedAt <= SHARE_MS)
      .map(([part]): [string, number] => [part, this.#ownBegun(part)])
      .slice(-MAX_SHARED);
  }

  /** Drops outdated clearances. */
  expire(now: number): void {
    for (const [part, at] of this.#clearedAt) {
      if (now - at > SHARE_MS) this.#clearedAt.delete(part);
    }
  }

  #ownBegun(part: string): number {
    return this.#ownBegunAt.get(part) ?? -Infinity;
  }
}

/** Sets the time of a part unless a later one is known; returns whether it did. */
function setNewest(
  times: Map<string, number>,
  part: string,
  at: number,
): boolean {
  if (at <= (times.get(part) ?? -Infinity)) return false;
  times.delete(part);
  times.set(part, at);
  dropOldest(times, MAX_PARTS);
  return true;
}
