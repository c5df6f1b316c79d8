/**
 * Counts of spares.
 *
 * @module
 */

/** Number of a domain's spares by the model that they have or get. */
export class SpareCounts {
  readonly #counts = new Map<string, number>();

  /** Number of spares with a model. */
  of(model: string): number {
    return this.#counts.get(model) ?? 0;
  }

  /** Counts a spare; one without a model is ignored. */
  add(model: string | undefined): void {
    if (model !== undefined) this.#counts.set(model, this.of(model) + 1);
  }

  /** Records that a spare gets another model. */
  move(from: string | undefined, to: string): void {
    if (from !== undefined) this.#counts.set(from, this.of(from) - 1);
    this.add(to);
  }
}
