/**
 * The other processes of the fleet, as last heard.
 *
 * @module
 */
import type { StatusMessage } from "./messages.ts";
import { advanceAges } from "./messages.ts";

/** A process is taken for lost after this silence. */
export const PEER_LOST_MS = 1_500;
/** A lost process is forgotten after this time. */
const FORGET_MS = 10_000;

/** A process of the fleet, as last heard. */
export interface Peer {
  /** Ages in it are as of `heardAt`. */
  readonly status: StatusMessage;
  readonly heardAt: number;
  /** Whether it came from the process itself. */
  readonly isDirect: boolean;
  /** Whether it has yet to be passed on. */
  isUnforwarded: boolean;
}

/** Keeps the newest status of each process. */
export class PeerTable {
  readonly #peers = new Map<string, Peer>();

  /** Takes a status; returns whether it is newer than what was known. */
  update(status: StatusMessage, now: number, isDirect: boolean): boolean {
    const heardAt = now - status.ageMs;
    const known = this.#peers.get(status.node);
    if (known !== undefined && known.heardAt >= heardAt) return false;
    this.#peers.set(status.node, {
      status,
      heardAt,
      isDirect,
      isUnforwarded: true,
    });
    return true;
  }

  /** Processes heard of since a time. */
  newerThan(time: number): Peer[] {
    return [...this.#peers.values()].filter((peer) => peer.heardAt > time);
  }

  /** Processes heard of late. */
  live(now: number): Peer[] {
    return this.newerThan(now - PEER_LOST_MS);
  }

  /** Addresses of all processes not forgotten. */
  *addresses(): Iterable<string> {
    for (const { status } of this.#peers.values()) {
      yield status.internalAddress;
    }
  }

  /** Number of processes not forgotten. */
  get size(): number {
    return this.#peers.size;
  }

  /** Statuses that have yet to be passed on, with their ages as of now. */
  takeUnforwarded(now: number): { status: StatusMessage; isDirect: boolean }[] {
    const unforwarded = [];
    for (const peer of this.#peers.values()) {
      if (!peer.isUnforwarded) continue;
      peer.isUnforwarded = false;
      const { status, heardAt, isDirect } = peer;
      unforwarded.push({
        status: advanceAges(status, now - heardAt - status.ageMs),
        isDirect,
      });
    }
    return unforwarded;
  }

  /** Forgets processes not heard of for long. */
  expire(now: number): void {
    for (const [node, peer] of this.#peers) {
      if (now - peer.heardAt > FORGET_MS) this.#peers.delete(node);
    }
  }
}
