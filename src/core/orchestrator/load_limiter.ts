/**
 * Keeps loads of model weights within the limits of the weight store.
 *
 * @module
 */
import type { EngineSpec } from "../../world/catalog.ts";

/**
 * Share of the allowed loads that is used: the weight store may count a load at
 * a slightly different time.
 */
const USED_SHARE = 0.9;

/** Counts loads in a sliding window, and loads in progress. */
export class LoadLimiter {
  readonly #windowMs: number;
  readonly #loads: { at: number; until: number }[] = [];

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Number of loads that may start now. */
  available(engine: EngineSpec, now: number): number {
    this.#expire(now);
    const inWindow = this.#loads.filter((l) => now - l.at < this.#windowMs);
    const allowed = Math.floor(
      engine.loadsPerSecond * this.#windowMs / 1_000 * USED_SHARE,
    );
    const running = this.#loads.filter((load) => load.until > now).length;
    return Math.max(
      0,
      Math.min(allowed - inWindow.length, engine.maxConcurrentLoads - running),
    );
  }

  /** Records a load that starts now and takes `durationMs`. */
  record(now: number, durationMs: number): void {
    this.#loads.push({ at: now, until: now + durationMs });
  }

  #expire(now: number): void {
    const isOld = (load: { at: number; until: number }) =>
      now - load.at >= this.#windowMs && load.until <= now;
    while (this.#loads.length > 0 && isOld(this.#loads[0])) this.#loads.shift();
  }
}
