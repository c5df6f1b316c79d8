/**
 * Which replicas a process prefers among equals.
 *
 * @module
 */
import { hash32 } from "../../base/hash.ts";
import type { Replica } from "../fleet/replica.ts";

/** Replicas beyond this place are equally little preferred. */
const MAX_RANK = 8;

/**
 * Gives each process an order of replicas of its own, those of its zone first.
 * A process that stays with few replicas knows most of their work at once,
 * keeps its channels in use, and hears events of many streams together.
 */
export class ReplicaRanking {
  readonly #nodeId: string;
  readonly #zone: string;
  readonly #ranks = new WeakMap<
    readonly Replica[],
    ReadonlyMap<string, number>
  >();

  constructor(nodeId: string, zone: string) {
    this.#nodeId = nodeId;
    this.#zone = zone;
  }

  /** Places by replica, from 0 for the one preferred most. */
  ranksOf(replicas: readonly Replica[]): ReadonlyMap<string, number> {
    let ranks = this.#ranks.get(replicas);
    if (ranks === undefined) {
      ranks = this.#rank(replicas);
      this.#ranks.set(replicas, ranks);
    }
    return ranks;
  }

  #rank(replicas: readonly Replica[]): ReadonlyMap<string, number> {
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
