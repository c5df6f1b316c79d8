/**
 * The nodes that the callers of one zone are given.
 *
 * @module
 */

/** A node that isn't wanted stays for this time. */
const HOLD_MS = 10_000;
/** Interval between two removals of nodes that aren't wanted. */
const REMOVAL_INTERVAL_MS = 2_000;
/** Share of the members that one removal takes. */
const REMOVAL_SHARE = 0.125;

/** What a plan asks of the members. */
export interface MemberPlan {
  /** Ids of all nodes that may be members; the last ones are the first to leave. */
  readonly order: readonly string[];
  /** Ids that must be members. */
  readonly required: readonly string[];
  /** Ids that may stay members. */
  readonly wanted: readonly string[];
}

/**
 * Keeps the members of one zone. Callers stop using connections to addresses
 * that a newer answer lacks, while a new address costs them nothing; so members
 * are added at once, and removed late and a few at a time.
 */
export class ZoneMembers {
  #ids = new Set<string>();
  #surplusSince: number | undefined;
  #removedAt = -Infinity;

  get ids(): ReadonlySet<string> {
    return this.#ids;
  }

  /** Replaces the members by those that callers were given. */
  adopt(ids: Iterable<string>): void {
    this.#ids = new Set(ids);
    this.#surplusSince = undefined;
  }

  /** Applies a plan. */
  update(plan: MemberPlan, now: number): void {
    if (this.#ids.size === 0) {
      this.#ids = new Set(plan.wanted);
      return;
    }
    const required = new Set(plan.required);
    this.#ids = new Set(
      plan.order.filter((id) => this.#ids.has(id) || required.has(id)),
    );
    const wanted = new Set(plan.wanted);
    const surplus = [...this.#ids].filter((id) => !wanted.has(id));
    if (surplus.length === 0) {
      this.#surplusSince = undefined;
      return;
    }
    this.#surplusSince ??= now;
    if (now - this.#surplusSince < HOLD_MS) return;
    if (now - this.#removedAt < REMOVAL_INTERVAL_MS) return;
    this.#removedAt = now;
    const count = Math.ceil(this.#ids.size * REMOVAL_SHARE);
    for (const id of surplus.slice(-count)) this.#ids.delete(id);
  }
}
