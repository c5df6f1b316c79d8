/**
 * Callers that choose among the addresses that a node gives them.
 *
 * @module
 */
import type { SimulatedNode } from "./entry_node.ts";

/** Callers cache an answer for one of these times. */
const CACHE_MS = [1_000, 3_000];

/** Callers that keep connections to all addresses of their last answer. */
export class CallerGroup {
  readonly zone: string;
  readonly index: number;
  addresses: readonly string[] = [];
  /** Addresses of serving nodes that an answer no longer had, in their order. */
  readonly dropped: string[] = [];
  /** Most such addresses of one answer. */
  mostDropped = 0;
  #askedAt = -Infinity;

  constructor(zone: string, index: number) {
    this.zone = zone;
    this.index = index;
  }

  advance(now: number, nodes: readonly SimulatedNode[]): void {
    const cacheMs = CACHE_MS[this.index % CACHE_MS.length];
    if (now - this.#askedAt < cacheMs) return;
    this.#askedAt = now;
    const near = nodes.filter(({ zone }) => zone === this.zone);
    const asked = near.length > 0 ? near : nodes;
    const { directory } = asked[this.index % asked.length];
    const newer = directory.addresses(this.zone, now);
    const serving = new Set(nodes.map(({ address }) => address));
    const kept = new Set(newer);
    const dropped = this.addresses.filter((address) =>
      serving.has(address) && !kept.has(address)
    );
    this.dropped.push(...dropped);
    this.mostDropped = Math.max(this.mostDropped, dropped.length);
    this.addresses = newer;
  }
}
