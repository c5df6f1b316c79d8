/**
 * Ranks replicas by the preference of this process.
 *
 * @module
 */
import { hash32 } from "../../base/hash.ts";
import type { Replica } from "../fleet/replica.ts";

/** Maximum rank, shared by all replicas beyond it. */
const MAX_RANK = 8;

/**
 * Ranks replicas in a different order for each process, those in its
 * availability zone first. A process that uses few replicas knows most of their
 * load without delay, keeps its connections in use, and sees events of many
 * streams of each replica.
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
