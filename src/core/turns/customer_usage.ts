/**
 * Engine time that customers were given recently.
 *
 * @module
 */

/** Time in which a use fades to 1/e. */
const FADE_MS = 2_000;
/** Maximum number of customers that are tracked, over all destinations. */
const MAX_TRACKED = 2_048;

interface Usage {
  engineMs: number;
  at: number;
}

/** Tracks recent engine time for each destination and customer. */
export class CustomerUsage {
  /** Least recently given first. */
  readonly #usages = new Map<string, Usage>();

  /** Number of tracked customers, over all destinations. */
  get size(): number {
    return this.#usages.size;
  }

  /**
   * Adds engine time that a customer was given at a destination.
   *
   * @example
   * ```ts
   * usage.add("pool|small", "bindery", 60, now);
   * ```
   */
  add(
    destination: string,
    customer: string,
    engineMs: number,
    now: number,
  ): void {
    const key = usageKey(destination, customer);
    const total = this.of(destination, customer, now) + engineMs;
    this.#usages.delete(key);
    this.#usages.set(key, { engineMs: total, at: now });
    if (this.#usages.size <= MAX_TRACKED) return;
    for (const [oldest] of this.#usages) {
      this.#usages.delete(oldest);
      break;
    }
  }

  /**
   * Returns the engine time that a customer was given at a destination, of which
   * less counts the longer ago it was.
   *
   * @example
   * ```ts
   * usage.of("pool|small", "bindery", now); // 60
   * ```
   */
  of(destination: string, customer: string, now: number): number {
    const usage = this.#usages.get(usageKey(destination, customer));
    if (usage === undefined) return 0;
    return usage.engineMs * Math.exp((usage.at - now) / FADE_MS);
  }

  /** Drops customers whose use has faded. */
  expire(now: number): void {
    for (const [key, { at }] of this.#usages) {
      if (now - at < 10 * FADE_MS) return;
      this.#usages.delete(key);
    }
  }
}

function usageKey(destination: string, customer: string): string {
  return `${customer}|${destination}`;
}
