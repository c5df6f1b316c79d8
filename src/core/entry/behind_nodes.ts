/**
 * Which nodes are left out since they can't keep up.
 *
 * @module
 */
import type { RatedNode } from "./entry_node.ts";
import { MIN_OWN_NODES } from "./zone_planner.ts";

/**
 * Nodes that are behind are left out up to this share of all capacity, and of
 * their zone's if its callers have no other nodes.
 */
const MAX_SHARE = 0.25;
/** Nodes that are behind are left out while the others are loaded less than this. */
const MAX_LOAD_OF_OTHERS = 0.6;

/**
 * Leaves out nodes that are behind, as long as the others carry the work. When
 * most are behind, callers bring too much, and each node that is left out makes it
 * worse for the others.
 *
 * @example
 * ```ts
 * const eligible = withoutBehind(nodes);
 * ```
 */
export function withoutBehind(
  nodes: readonly RatedNode[],
): readonly RatedNode[] {
  const behind = nodes.filter(({ isBehind }) => isBehind)
    .sort((a, b) => a.id < b.id ? -1 : 1);
  if (behind.length === 0) return nodes;
  const work = expectedWork(nodes);
  const capacity = capacityOf(nodes);
  const leftOut: RatedNode[] = [];
  for (const node of behind) {
    const candidates = [...leftOut, node];
    const rest = capacity - capacityOf(candidates);
    const isFew = isMinorPart(candidates, nodes) &&
      isMinorPartOfZone(node.zone, candidates, nodes);
    if (isFew && work <= rest * MAX_LOAD_OF_OTHERS) leftOut.push(node);
  }
  const ids = new Set(leftOut.map(({ id }) => id));
  return nodes.filter(({ id }) => !ids.has(id));
}

/**
 * Work that callers bring. A node that is behind may be busy with less than the
 * others, so it counts as bringing no more than they do.
 */
function expectedWork(nodes: readonly RatedNode[]): number {
  const others = nodes.filter(({ isBehind }) => !isBehind);
  const usual = others.reduce((sum, { work }) => sum + work, 0) / others.length;
  return nodes.reduce(
    (sum, { isBehind, work }) =>
      sum + (isBehind && work > usual ? usual : work),
    0,
  );
}

function isMinorPartOfZone(
  zone: string,
  part: readonly RatedNode[],
  nodes: readonly RatedNode[],
): boolean {
  const inZone = nodes.filter((node) => node.zone === zone);
  if (inZone.length < MIN_OWN_NODES) return true;
  return isMinorPart(part.filter((node) => node.zone === zone), inZone);
}

function isMinorPart(
  part: readonly RatedNode[],
  nodes: readonly RatedNode[],
): boolean {
  return capacityOf(part) <= capacityOf(nodes) * MAX_SHARE;
}

function capacityOf(nodes: readonly RatedNode[]): number {
  return nodes.reduce((sum, { capacity }) => sum + capacity, 0);
}
