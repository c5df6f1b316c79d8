/**
 * Tells crashes of upstreams from channels that were reset, and blames the
 * requests that may have caused them.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { Suspects } from "../retries/suspects.ts";

/** A crash resets all channels of an upstream within this time. */
const TOGETHER_MS = 80;

/** Collects resets by upstream. */
export class CrashBlame {
  readonly #timers: Timers;
  readonly #suspects: Suspects;
  readonly #inFlight: (key: string) => number;
  readonly #blamed = new Map<string, string[]>();

  constructor(
    timers: Timers,
    suspects: Suspects,
    inFlight: (key: string) => number,
  ) {
    this.#timers = timers;
    this.#suspects = suspects;
    this.#inFlight = inFlight;
  }

  /**
   * Blames a request whose channel was reset before its first byte: a request
   * crashes an upstream as it begins to run. Taken back when others go on.
   */
  reset(key: string, fingerprint: string): void {
    this.#suspects.crashed(key, [fingerprint], this.#timers.now());
    const known = this.#blamed.get(key);
    if (known !== undefined) {
      known.push(fingerprint);
      return;
    }
    this.#blamed.set(key, [fingerprint]);
    this.#timers.after(TOGETHER_MS, () => this.#judge(key));
  }

  #judge(key: string): void {
    const blamed = this.#blamed.get(key) ?? [];
    this.#blamed.delete(key);
    if (this.#inFlight(key) === 0) return;
    // Others that go on show that only a channel was lost.
    for (const fingerprint of blamed) this.#suspects.withdraw(key, fingerprint);
  }
}
