/**
 * How much work the callers of each zone bring.
 *
 * @module
 */
import type { RatedNode } from "./entry_node.ts";

/** Time constant of estimates that rise: more addresses cost callers nothing. */
const RISE_MS = 1_000;
/** Time constant of estimates that fall. */
const FALL_MS = 6_000;
/** Load from which a node may have more work than it can do. */
const SATURATED_LOAD = 0.9;
/** Factor on the work of such a node, whose callers may bring more than it shows. */
const SATURATED_FACTOR = 2;
/** Smallest estimate, as a share of the mean over the zones. */
const MIN_SHARE = 0.01;
/** Smallest estimate, in cores; an estimate of zero would get no work ever after. */
const MIN_CORES = 0.001;

/**
 * Estimates the work that each zone's callers bring, in cores. Nodes say how
 * busy they are, but not with whose requests. Callers choose among their zone's
 * addresses uniformly; so a node's work is divided among the zones that list it,
 * by the estimates so far. Where a zone alone lists some nodes, their load shows
 * its demand, and the estimates converge.
 */
export class ZoneDemand {
  #demand = new Map<string, number>();
  #updatedAt: number | undefined;

  /** Work that the callers of a zone bring, in cores; 0 for an unknown zone. */
  of(zone: string): number {
    return this.#demand.get(zone) ?? 0;
  }

  /**
   * Updates the estimates. `lists` has the ids that the callers of each zone
   * have been given; a zone without a list yet has an empty one.
   */
  update(
    nodes: readonly RatedNode[],
    lists: ReadonlyMap<string, ReadonlySet<string>>,
    now: number,
  ): void {
    const elapsedMs = now - (this.#updatedAt ?? -Infinity);
    this.#updatedAt = now;
    const prior = this.#priors(nodes, [...lists.keys()]);
    const work = attributeWork(nodes, lists, prior);
    const mean = meanOf(prior);
    this.#demand = new Map(
      [...prior].map(([zone, before]) => {
        const hasList = (lists.get(zone)?.size ?? 0) > 0;
        const seen = hasList ? work.get(zone) ?? 0 : before;
        const constantMs = seen > before ? RISE_MS : FALL_MS;
        const weight = 1 - Math.exp(-elapsedMs / constantMs);
        const demand = before + weight * (seen - before);
        return [zone, Math.max(demand, mean * MIN_SHARE, MIN_CORES)];
      }),
    );
  }

  /** Estimates so far; for a new zone, the work of its own nodes or the mean. */
  #priors(
    nodes: readonly RatedNode[],
    zones: readonly string[],
  ): Map<string, number> {
    const ownWork = new Map<string, number>();
    for (const { zone, work } of nodes) {
      ownWork.set(zone, (ownWork.get(zone) ?? 0) + work);
    }
    const mean = meanOf(this.#demand.size > 0 ? this.#demand : ownWork);
    return new Map(
      zones.map((zone) => [
        zone,
        this.#demand.get(zone) ?? ownWork.get(zone) ?? mean,
      ]),
    );
  }
}

/** Divides each node's work among the zones whose callers were given it. */
function attributeWork(
  nodes: readonly RatedNode[],
  lists: ReadonlyMap<string, ReadonlySet<string>>,
  prior: ReadonlyMap<string, number>,
): Map<string, number> {
  const attributed = new Map<string, number>();
  for (const node of nodes) {
    const { id } = node;
    const work = broughtWork(node);
    const shares: [zone: string, share: number][] = [];
    let total = 0;
    for (const [zone, list] of lists) {
      if (!list.has(id)) continue;
      const share = (prior.get(zone) ?? 0) / list.size;
      shares.push([zone, share]);
      total += share;
    }
    if (total === 0) continue;
    for (const [zone, share] of shares) {
      const part = work * share / total;
      attributed.set(zone, (attributed.get(zone) ?? 0) + part);
    }
  }
  return attributed;
}

/** Work that callers bring to a node, which may be more than it can do. */
function broughtWork({ work, capacity }: RatedNode): number {
  const isSaturated = work >= SATURATED_LOAD * capacity;
  return isSaturated ? SATURATED_FACTOR * work : work;
}

function meanOf(values: ReadonlyMap<string, number>): number {
  if (values.size === 0) return 0;
  let sum = 0;
  for (const value of values.values()) sum += value;
  return sum / values.size;
}
