/**
 * The newest status of each other node of the fleet.
 *
 * @module
 */
import type { StatusMessage } from "./messages.ts";
import { advanceAges } from "./messages.ts";

/** A node is considered lost when its newest status is older than this. */
export const PEER_LOST_MS = 1_500;
/** A node is removed when its newest status is older than this. */
const PEER_EXPIRY_MS = 10_000;

/** Another node of the fleet, with its newest status. */
export interface Peer {
  /** The newest status; its ages are as of its arrival. */
  readonly status: StatusMessage;
  /** When the node created the status, on this process's monotonic clock. */
  readonly statusAt: number;
  /** Whether the status came from the node itself, not through a hub. */
  readonly isDirect: boolean;
  /** Whether the status has not been forwarded yet. */
  needsForwarding: boolean;
}

/** Keeps the newest status of each node. */
export class PeerTable {
  readonly #peers = new Map<string, Peer>();

  /**
   * Stores a status if it is newer than the stored one. Returns whether it is.
   */
  update(status: StatusMessage, now: number, isDirect: boolean): boolean {
    const statusAt = now - status.ageMs;
    const known = this.#peers.get(status.node);
    if (known !== undefined && known.statusAt >= statusAt) return false;
    this.#peers.set(status.node, {
      status,
      statusAt,
      isDirect,
      needsForwarding: true,
    });
    return true;
  }

  /** Returns nodes whose newest status was created after `time`. */
  newerThan(time: number): Peer[] {
    return [...this.#peers.values()].filter((peer) => peer.statusAt > time);
  }

  /** Returns nodes that are not considered lost. */
  live(now: number): Peer[] {
    return this.newerThan(now - PEER_LOST_MS);
  }

  /** Internal addresses of all nodes in the table. */
  *addresses(): Iterable<string> {
    for (const { status } of this.#peers.values()) {
      yield status.internalAddress;
    }
  }

  /** Number of nodes in the table. */
  get size(): number {
    return this.#peers.size;
  }

  /**
   * Returns the statuses that have not been forwarded yet, with ages as of
   * `now`, and marks them as forwarded.
   */
  takeUnforwarded(now: number): { status: StatusMessage; isDirect: boolean }[] {
    const unforwarded = [];
    for (const peer of this.#peers.values()) {
      if (!peer.needsForwarding) continue;
      peer.needsForwarding = false;
      const { status, statusAt, isDirect } = peer;
      unforwarded.push({
        status: advanceAges(status, now - statusAt - status.ageMs),
        isDirect,
      });
    }
    return unforwarded;
  }

  /** Removes nodes after {@linkcode PEER_EXPIRY_MS} without a newer status. */
  expire(now: number): void {
    for (const [node, peer] of this.#peers) {
      if (now - peer.statusAt > PEER_EXPIRY_MS) this.#peers.delete(node);
    }
  }
}
