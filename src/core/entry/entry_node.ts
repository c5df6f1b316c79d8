/**
 * What the choice of addresses for callers knows of a node.
 *
 * @module
 */

/** Megabits per second of its link that a fully used core needs. */
const MEGABITS_PER_CORE = 20;
/** Capacity of a node whose settings leave it none. */
const MIN_CORES = 0.001;

/** What a node may use of its host. */
export interface NodeCapacity {
  /** Processor share times cores. */
  readonly cores: number;
  /** Bandwidth of the link, in megabits per second. */
  readonly linkMbps: number;
}

/**
 * Which nodes the callers of one zone get, as the node that decides it for the
 * zone tells its peers.
 */
export interface ZonePlan {
  /** Whether they get all nodes. */
  readonly isAll: boolean;
  /** Number of the zone's nodes that are left out, the weakest ones. */
  readonly weakOut: number;
  /** Ids of nodes of other zones that they get besides. */
  readonly helpers: readonly string[];
  /**
   * Whether each node answers with other addresses, since one answer doesn't hold
   * as many as are needed.
   */
  readonly isSpread: boolean;
}

/** What a node says of itself to those that choose addresses. */
export interface EntryStatus extends NodeCapacity {
  /** Cores that the node keeps busy. */
  readonly work: number;
  /** Whether the node can't keep up, so that callers are better off elsewhere. */
  readonly isBehind: boolean;
  /** Plan for the node's zone; undefined unless the node decides it. */
  readonly plan: ZonePlan | undefined;
}

/** A serving node. */
export interface EntryNode {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  /** Undefined from nodes of earlier versions or without a capacity in their settings. */
  readonly status: EntryStatus | undefined;
}

/** A serving node with a known capacity. */
export interface RatedNode {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  /** Cores of which the node can make use; its link may allow fewer than it has. */
  readonly capacity: number;
  readonly work: number;
  readonly isBehind: boolean;
  readonly plan: ZonePlan | undefined;
}

/**
 * Returns the cores of which a node can make use.
 *
 * @example
 * ```ts
 * usableCores({ cores: 4, linkMbps: 20 }); // 1
 * ```
 */
export function usableCores({ cores, linkMbps }: NodeCapacity): number {
  return Math.max(MIN_CORES, Math.min(cores, linkMbps / MEGABITS_PER_CORE));
}

/**
 * Rates nodes by capacity. Returns undefined unless all of them say theirs.
 *
 * @example
 * ```ts
 * const rated = rateNodes(nodes);
 * if (rated === undefined) return nodes.map(({ address }) => address);
 * ```
 */
export function rateNodes(
  nodes: readonly EntryNode[],
): RatedNode[] | undefined {
  const rated: RatedNode[] = [];
  for (const { id, address, zone, status } of nodes) {
    if (status === undefined) return undefined;
    const { work, isBehind, plan } = status;
    rated.push({
      id,
      address,
      zone,
      capacity: usableCores(status),
      work,
      isBehind,
      plan,
    });
  }
  return rated;
}
