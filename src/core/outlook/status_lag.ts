/**
 * How old the loads are that peers have reported.
 *
 * @module
 */

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.05;
/** Longer intervals come from a lost peer or a pause, not from the exchange. */
const MAX_SAMPLE_MS = 1_000;

/** Moving average of the age that a peer's report has when the next one arrives. */
export class StatusLag {
  #meanMs = 0;

  /** Mean age in milliseconds; 0 until peers have reported twice. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /**
   * Records that a report made at `sentAt` has replaced one made at `previousAt`,
   * both in milliseconds.
   */
  record(previousAt: number, sentAt: number, now: number): void {
    const oldestMs = now - previousAt;
    const newestMs = now - sentAt;
    const sample = Math.min(MAX_SAMPLE_MS, (oldestMs + newestMs) / 2);
    if (sample < 0) return;
    this.#meanMs = this.#meanMs === 0
      ? sample
      : this.#meanMs + SAMPLE_WEIGHT * (sample - this.#meanMs);
  }
}
