/**
 * The newest era of the store that this process knows of.
 *
 * @module
 */

/** Called when the era rises, with the new and the former one. */
export type EraListener = (era: number, formerEra: number) => void;

/** Follows the era of the store, which rises with each restoration. */
export class StoreEra {
  readonly #listeners: EraListener[] = [];
  #newest: number | undefined;

  /** The newest era; undefined before the first answer of the store. */
  get newest(): number | undefined {
    return this.#newest;
  }

  /** Adds a listener, which the first era that is observed doesn't call. */
  onRise(listener: EraListener): void {
    this.#listeners.push(listener);
  }

  /** Records the era of an answer of the store, or of what a peer read. */
  observe(era: number): void {
    const former = this.#newest;
    if (former !== undefined && era <= former) return;
    this.#newest = era;
    if (former === undefined) return;
    for (const listener of this.#listeners) listener(era, former);
  }

  /** Whether something from an era is obsolete, as the store was restored since. */
  isObsolete(era: number): boolean {
    return this.#newest !== undefined && era < this.#newest;
  }
}
