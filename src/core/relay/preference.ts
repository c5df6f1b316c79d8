/**
 * Which replicas a process prefers among equals.
 *
 * @module
 */
import { hash32 } from "../../base/hash.ts";
import type { Replica } from "../fleet/replica.ts";

/** Replicas beyond this place are equally little preferred. */
const MAX_PLACE = 8;

/**
 * Gives each process an order of replicas of its own, those of its zone first.
 * A process that stays with few replicas knows most of their work at once,
 * keeps its channels in use, and hears events of many streams together.
 */
export class Preference {
  readonly #nodeId: string;
  readonly #zone: string;
  readonly #places = new WeakMap<
    readonly Replica[],
    ReadonlyMap<string, number>
  >();

  constructor(nodeId: string, zone: string) {
    this.#nodeId = nodeId;
    this.#zone = zone;
  }

  /** Places by replica, from 0 for the one preferred most. */
  placesOf(replicas: readonly Replica[]): ReadonlyMap<string, number> {
    let places = this.#places.get(replicas);
    if (places === undefined) {
      places = this.#order(replicas);
      this.#places.set(replicas, places);
    }
    return places;
  }

  #order(replicas: readonly Replica[]): ReadonlyMap<string, number> {
    const keyed = replicas.map(({ key, host }) => ({
      key,
      isAway: host.zone === this.#zone ? 0 : 1,
      hash: hash32(`${this.#nodeId}|${key}`),
    }));
    keyed.sort((a, b) => a.isAway - b.isAway || b.hash - a.hash);
    return new Map(
      keyed.map(({ key }, place) => [key, Math.min(place, MAX_PLACE)]),
    );
  }
}
