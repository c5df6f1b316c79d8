/**
 * Order in which this process prefers replicas.
 *
 * @module
 */
import { hash32 } from "../../base/hash.ts";
import type { Replica } from "../fleet/replica.ts";

/** Maximum rank; replicas further down the order have it too. */
const MAX_RANK = 8;

/**
 * Ranks replicas in an order that differs between processes, those in the
 * process's availability zone first. Each process thus sends most requests to a
 * few replicas. It causes most of the load on them, and knows this load without
 * the delay of peers' reports. It also reuses its connections, and detects stalls
 * sooner, as it receives many streams from each of these replicas.
 */
export class ReplicaRanking {
  readonly #nodeId: string;
  readonly #zone: string;
  readonly #cachedRanks = new WeakMap<
    readonly Replica[],
    ReadonlyMap<string, number>
  >();

  constructor(nodeId: string, zone: string) {
    this.#nodeId = nodeId;
    this.#zone = zone;
  }

  /** Ranks by replica key; 0 is the most preferred. */
  ranksOf(replicas: readonly Replica[]): ReadonlyMap<string, number> {
    let ranks = this.#cachedRanks.get(replicas);
    if (ranks === undefined) {
      ranks = this.#computeRanks(replicas);
      this.#cachedRanks.set(replicas, ranks);
    }
    return ranks;
  }

  #computeRanks(replicas: readonly Replica[]): ReadonlyMap<string, number> {
    const ordered = replicas.map(({ key, host }) => ({
      key,
      zoneOrder: host.zone === this.#zone ? 0 : 1,
      hash: hash32(`${this.#nodeId}|${key}`),
    }));
    ordered.sort((a, b) => a.zoneOrder - b.zoneOrder || b.hash - a.hash);
    return new Map(
      ordered.map(({ key }, rank) => [key, Math.min(rank, MAX_RANK)]),
    );
  }
}
