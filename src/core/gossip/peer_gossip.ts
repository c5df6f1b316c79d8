/**
 * Tells the other processes of the fleet what this one sees, and hears them.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type { Datagrams } from "../../ports/datagrams.ts";
import { decodeStatus, encodeStatus } from "./message_codec.ts";
import type { StatusMessage } from "./messages.ts";

/** A process is taken for lost after this silence. */
export const PEER_LOST_MS = 1_500;
/** A lost process is forgotten after this time. */
const FORGET_MS = 10_000;
/** Processes told in each round, in turn. */
const FANOUT = 7;
/** Pause before news is told at once. */
const TELL_TOGETHER_MS = 10;
/** Addresses told to processes that start. */
const MAX_TOLD_PEERS = 16;

/** A process of the fleet, as last heard. */
export interface Peer {
  readonly status: StatusMessage;
  readonly heardAt: number;
}

/** What gossip works with. */
export interface PeerGossipParts {
  readonly timers: Timers;
  readonly datagrams: Datagrams;
  readonly selfId: string;
  readonly selfAddress: string;
  readonly seeds: () => readonly string[];
  readonly periodMs: number;
  readonly status: (
    peers: readonly string[],
  ) => StatusMessage;
  readonly onStatus: (status: StatusMessage) => void;
}

/** Sends this process's status to peers and keeps theirs. */
export class PeerGossip {
  readonly #parts: PeerGossipParts;
  readonly #peers = new Map<string, Peer>();
  /** Internal addresses of processes that are registered but not heard yet. */
  #registered: readonly string[] = [];
  #timer: Timer | undefined;
  #tellScheduled = false;
  /** Where the next round begins among the targets. */
  #turn = 0;

  constructor(parts: PeerGossipParts) {
    this.#parts = parts;
    parts.datagrams.onMessage((payload) => this.#receive(payload));
  }

  /** Begins to tell. */
  start(): void {
    this.#timer = this.#parts.timers.subscribe(
      this.#parts.periodMs,
      () => this.#round(FANOUT),
    );
    this.#round(Infinity);
  }

  /** Stops telling. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** Tells everyone at once; what changes together is told together. */
  tellAll(): void {
    if (this.#tellScheduled) return;
    this.#tellScheduled = true;
    this.#parts.timers.after(TELL_TOGETHER_MS, () => {
      this.#tellScheduled = false;
      this.#round(Infinity);
    });
  }

  /** Sets the processes that the store lists. */
  registered(addresses: readonly string[]): void {
    this.#registered = addresses;
  }

  /** Processes heard of late. */
  live(): Peer[] {
    const since = this.#parts.timers.now() - PEER_LOST_MS;
    return [...this.#peers.values()].filter((peer) => peer.heardAt > since);
  }

  /** Number of processes that serve, this one included. */
  get fleetSize(): number {
    return this.live().length + 1;
  }

  /** Place of this node among those that serve, by id, from 0. */
  get rank(): number {
    return this.live().filter((peer) =>
      peer.status.state === "serving" &&
      peer.status.node < this.#parts.selfId
    ).length;
  }

  #round(fanout: number): void {
    const now = this.#parts.timers.now();
    for (const [node, peer] of this.#peers) {
      if (now - peer.heardAt > FORGET_MS) this.#peers.delete(node);
    }
    const targets = this.#targets();
    const chosen = targets.length <= fanout
      ? targets
      : this.#nextInTurn(targets, fanout);
    const live = this.live().map((peer) => peer.status.internalAddress);
    const payload = encodeStatus(
      this.#parts.status(live.slice(0, MAX_TOLD_PEERS)),
    );
    for (const address of chosen) this.#parts.datagrams.send(address, payload);
  }

  #targets(): string[] {
    const addresses = new Set(this.#registered);
    for (const { status } of this.#peers.values()) {
      addresses.add(status.internalAddress);
    }
    if (this.#peers.size === 0) {
      for (const seed of this.#parts.seeds()) addresses.add(seed);
    }
    addresses.delete(this.#parts.selfAddress);
    return [...addresses];
  }

  #nextInTurn(targets: readonly string[], count: number): string[] {
    const chosen = Array.from(
      { length: count },
      (_, i) => targets[(this.#turn + i) % targets.length],
    );
    this.#turn = (this.#turn + count) % targets.length;
    return chosen;
  }

  #receive(payload: Uint8Array): void {
    const status = decodeStatus(payload);
    if (status === undefined || status.node === this.#parts.selfId) return;
    const heardAt = this.#parts.timers.now();
    this.#peers.set(status.node, { status, heardAt });
    this.#learn(status.peers);
    this.#parts.onStatus(status);
  }

  /** Greets processes that only a peer knows. */
  #learn(addresses: readonly string[]): void {
    const known = new Set(this.#targets());
    known.add(this.#parts.selfAddress);
    const unknown = addresses.filter((address) => !known.has(address));
    if (unknown.length === 0) return;
    this.#registered = [...this.#registered, ...unknown];
  }
}
