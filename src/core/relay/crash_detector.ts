/**
 * Distinguishes crashes of upstreams from single connection resets, and records
 * the requests that may have caused a crash.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { SuspectRequestTracker } from "../retries/suspect_request_tracker.ts";

/** A crash resets all connections of an upstream within this time. */
const CRASH_WINDOW_MS = 80;

/** Resets of an upstream's connections, and whether they count as a crash. */
export interface CrashVerdict {
  /** Key of the upstream. */
  readonly upstream: string;
  readonly isCrash: boolean;
  /** Number of requests that had no event before the reset. */
  readonly requests: number;
  /** Number of requests that are still in flight on the upstream. */
  readonly inFlight: number;
}

/** Collects connection resets by upstream. */
export class CrashDetector {
  readonly #timers: Timers;
  readonly #suspects: SuspectRequestTracker;
  readonly #inFlight: (key: string) => number;
  readonly #onVerdict: (verdict: CrashVerdict) => void;
  readonly #resetFingerprints = new Map<string, string[]>();

  constructor(
    timers: Timers,
    suspects: SuspectRequestTracker,
    inFlight: (key: string) => number,
    onVerdict: (verdict: CrashVerdict) => void,
  ) {
    this.#timers = timers;
    this.#suspects = suspects;
    this.#inFlight = inFlight;
    this.#onVerdict = onVerdict;
  }

  /**
   * Records a crash for a request whose connection was reset before the first
   * byte: a request that crashes an upstream does so as it begins to run. The
   * crash is retracted if other requests on the upstream survive.
   */
  recordReset(key: string, fingerprint: string): void {
    this.#suspects.recordCrash(key, [fingerprint], this.#timers.now());
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
    const inFlight = this.#inFlight(key);
    this.#onVerdict({
      upstream: key,
      isCrash: inFlight === 0,
      requests: fingerprints.length,
      inFlight,
    });
    if (inFlight === 0) return;
    // Requests still in flight show that the upstream did not crash: only single
    // connections were reset.
    for (const id of fingerprints) this.#suspects.retractCrash(key, id);
  }
}
