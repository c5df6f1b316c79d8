/**
 * Keeps steps that are tried again and again apart.
 *
 * @module
 */

/** Pause between two tries of the same step. */
const RETRY_INTERVAL_MS = 400;
/** A step that was not tried for this long is forgotten. */
const FORGET_MS = 30_000;

/** Remembers when steps were last tried. */
export class RetryLimiter {
  readonly #triedAt = new Map<string, number>();

  /** Whether a step may be tried now; if so, it counts as tried. */
  allow(step: string, now: number, pauseMs = RETRY_INTERVAL_MS): boolean {
    const last = this.#triedAt.get(step);
    if (last !== undefined && now - last < pauseMs) return false;
    this.#triedAt.set(step, now);
    return true;
  }

  /** Forgets steps of long ago. */
  expire(now: number): void {
    for (const [step, at] of this.#triedAt) {
      if (now - at > FORGET_MS) this.#triedAt.delete(step);
    }
  }
}
