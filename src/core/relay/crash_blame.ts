/**
 * Tells crashes of upstreams from channels that were reset, and blames the
 * requests that may have caused them.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { Suspects } from "../retries/suspects.ts";

/** A crash resets all channels of an upstream within this time. */
const CRASH_WINDOW_MS = 80;

/** Collects resets by upstream. */
export class CrashDetector {
  readonly #timers: Timers;
  readonly #suspects: Suspects;
  readonly #inFlight: (key: string) => number;
  readonly #resetFingerprints = new Map<string, string[]>();

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
  recordReset(key: string, fingerprint: string): void {
    this.#suspects.crashed(key, [fingerprint], this.#timers.now());
    const recorded = this.#resetFingerprints.get(key);
    if (recorded !== undefined) {
      recorded.push(fingerprint);
      return;
    }
    this.#resetFingerprints.set(key, [fingerprint]);
    this.#timers.after(CRASH_WINDOW_MS, () => this.#confirmOrRetract(key));
  }

  #confirmOrRetract(key: string): void {
    const fingerprints = this.#resetFingerprints.get(key) ?? [];
    this.#resetFingerprints.delete(key);
    if (this.#inFlight(key) === 0) return;
    // Others that go on show that only a channel was lost.
    for (const id of fingerprints) this.#suspects.retractCrash(key, id);
  }
}
