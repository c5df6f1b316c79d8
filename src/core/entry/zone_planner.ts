/**
 * Which nodes the callers of a zone need.
 *
 * @module
 */
import { hash32 } from "../../base/hash.ts";
import type { RatedNode } from "./entry_node.ts";

/** With fewer nodes of its own, a zone's callers are given all nodes. */
export const MIN_OWN_NODES = 6;
/** A node with less than this share of the next stronger one's capacity is weak. */
const WEAK_RATIO = 0.5;
/**
 * Weak nodes are left out while the others are loaded to less than this share of
 * the load that is else allowed.
 */
const AMPLE_ROOM = 0.6;
/** Loads of other zones' nodes that differ by less than this count as equal. */
const LOAD_STEP = 0.2;

/** A node of another zone, with its load by the callers of its own zone. */
interface Helper {
  readonly node: RatedNode;
  readonly load: number;
}

/** How much load a plan allows. */
export interface LoadBounds {
  /** Load of a node, as a share of its capacity, from which others help. */
  readonly maxLoad: number;
  /** Others help if the highest load is then lower than this share of it before. */
  readonly helpedRatio: number;
}

/** Plans over the same nodes and demand. */
export class ZonePlanner {
  readonly #nodes: readonly RatedNode[];
  readonly #demandOf: (zone: string) => number;
  /** Nodes of each zone, the strongest first. */
  readonly #byZone = new Map<string, RatedNode[]>();

  constructor(
    nodes: readonly RatedNode[],
    demandOf: (zone: string) => number,
  ) {
    this.#nodes = nodes;
    this.#demandOf = demandOf;
    for (const node of nodes) {
      const zone = this.#byZone.get(node.zone);
      if (zone === undefined) this.#byZone.set(node.zone, [node]);
      else zone.push(node);
    }
    for (const zone of this.#byZone.values()) zone.sort(compareStrength);
  }

  /** All nodes in a lasting order: those of the zone, then the strong ones first. */
  order(zone: string): readonly RatedNode[] {
    const others = this.#nodes.filter((node) => node.zone !== zone)
      .map((node) => ({ node, rank: hash32(`${zone}|${node.id}`) }))
      .sort((a, b) => b.node.capacity - a.node.capacity || b.rank - a.rank);
    return [...this.own(zone), ...others.map(({ node }) => node)];
  }

  /** Nodes of a zone, the strongest first. */
  own(zone: string): readonly RatedNode[] {
    return this.#byZone.get(zone) ?? [];
  }

  /**
   * Returns the nodes that carry a zone's demand within bounds; a smaller
   * `maxLoad` and a larger `helpedRatio` give the same nodes and more. Nodes of
   * other zones in `held` are taken before others.
   */
  plan(
    zone: string,
    { maxLoad, helpedRatio }: LoadBounds,
    held: ReadonlySet<string>,
  ): readonly RatedNode[] {
    const own = this.own(zone);
    if (own.length < MIN_OWN_NODES) return this.#nodes;
    const demand = this.#demandOf(zone);
    const kept = withoutWeak(own, demand, maxLoad);
    const weakest = kept[kept.length - 1].capacity;
    const ownLoad = demand / (kept.length * weakest);
    if (ownLoad <= maxLoad) return kept;
    const helpedLoad = ownLoad * helpedRatio;
    const helpers = this.#helpers(zone, helpedLoad, held);
    const count = countHelpers(helpers, kept.length, {
      demand,
      weakest,
      maxLoad,
      helpedLoad,
    });
    return [...kept, ...helpers.slice(0, count).map(({ node }) => node)];
  }

  /** Nodes of other zones that are loaded less than `helpedLoad`, the best first. */
  #helpers(
    zone: string,
    helpedLoad: number,
    held: ReadonlySet<string>,
  ): Helper[] {
    return this.#nodes
      .filter((node) => node.zone !== zone)
      .map((node) => ({
        node,
        load: this.#loadByOwnZone(node),
        isHeld: held.has(node.id) ? 1 : 0,
        rank: hash32(`${zone}|${node.id}`),
      }))
      .filter(({ load, isHeld }) => load < helpedLoad || isHeld === 1)
      .sort((a, b) =>
        b.isHeld - a.isHeld || loadStep(a.load) - loadStep(b.load) ||
        b.node.capacity - a.node.capacity || b.rank - a.rank
      );
  }

  #loadByOwnZone({ zone, capacity }: RatedNode): number {
    const own = this.own(zone).length;
    const count = own < MIN_OWN_NODES ? this.#nodes.length : own;
    return this.#demandOf(zone) / (count * capacity);
  }
}

function compareStrength(a: RatedNode, b: RatedNode): number {
  return b.capacity - a.capacity || (a.id < b.id ? -1 : 1);
}

function loadStep(load: number): number {
  return Math.floor(load / LOAD_STEP);
}

/**
 * Leaves out markedly weaker nodes if the others carry the demand with ample
 * room, or carry more without them: callers choose uniformly, so the weakest
 * node is the first to be overloaded.
 */
function withoutWeak(
  own: readonly RatedNode[],
  demand: number,
  maxLoad: number,
): readonly RatedNode[] {
  const carried = (count: number) => count * own[count - 1].capacity;
  let best = own.length;
  for (let count = own.length - 1; count >= MIN_OWN_NODES; count--) {
    if (isStep(own, count) && carried(count) > carried(best)) best = count;
  }
  for (let count = MIN_OWN_NODES; count < best; count++) {
    const isAmple = demand <= maxLoad * AMPLE_ROOM * carried(count);
    if (isStep(own, count) && isAmple) return own.slice(0, count);
  }
  return own.slice(0, best);
}

/** Whether the node at an index is much weaker than the one before it. */
function isStep(own: readonly RatedNode[], index: number): boolean {
  return own[index].capacity < own[index - 1].capacity * WEAK_RATIO;
}

/**
 * Returns how many helpers a zone needs: as few as keep all loads within the
 * maximum; else the number with the lowest load, if that is below `helpedLoad`.
 * Callers choose uniformly, so few helpers would get much work each.
 */
function countHelpers(
  helpers: readonly Helper[],
  ownCount: number,
  need: {
    readonly demand: number;
    readonly weakest: number;
    readonly maxLoad: number;
    readonly helpedLoad: number;
  },
): number {
  let best = 0;
  let lowestLoad = need.helpedLoad;
  for (let count = 1; count <= helpers.length; count++) {
    const work = need.demand / (ownCount + count);
    let highestLoad = work / need.weakest;
    for (let i = 0; i < count; i++) {
      const { load, node } = helpers[i];
      highestLoad = Math.max(highestLoad, load + work / node.capacity);
    }
    if (highestLoad >= lowestLoad) continue;
    best = count;
    lowestLoad = highestLoad;
    if (highestLoad <= need.maxLoad) break;
  }
  return best;
}
