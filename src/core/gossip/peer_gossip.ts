/**
 * Exchange of statuses between the nodes of the fleet.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type { Datagrams } from "../../ports/datagrams.ts";
import type { HubCandidate } from "./hub_plan.ts";
import { HubSelector } from "./hub_selector.ts";
import { decodeBatch, encodeBatch } from "./message_codec.ts";
import type { StatusMessage } from "./messages.ts";
import type { Peer } from "./peer_table.ts";
import { PeerTable } from "./peer_table.ts";

/**
 * Maximum number of direct targets in a round, chosen round-robin. A fleet with
 * more targets uses hubs.
 */
const FANOUT = 7;
/** Rounds between messages to or from a hub. */
const HUB_INTERVAL_ROUNDS = 2;
/** Rounds between direct messages to silent nodes in a fleet with hubs. */
const PROBE_INTERVAL_ROUNDS = 10;
/**
 * A node whose status has not come back from a hub for this long sends to all
 * nodes directly.
 */
const ECHO_TIMEOUT_MS = 700;
/**
 * How long a node keeps sending to all nodes directly when its hub is active but
 * does not receive its statuses.
 */
const FULL_MESH_DURATION_MS = 5_000;
/** Delay that collects urgent changes into one message. */
const COALESCE_MS = 10;
/** How long a selection of hubs is cached. */
const HUB_CACHE_MS = 50;
/**
 * Maximum number of statuses in a datagram; a datagram that is too large is not
 * sent.
 */
const MAX_BATCH_STATUSES = 12;
/**
 * Maximum number of peer addresses in a status; starting nodes discover peers
 * from them.
 */
const MAX_ADVERTISED_PEERS = 16;

/** Dependencies of {@linkcode PeerGossip}. */
export interface PeerGossipDependencies {
  readonly timers: Timers;
  readonly datagrams: Datagrams;
  readonly selfId: string;
  readonly selfAddress: string;
  /** This node as a candidate for hub. */
  readonly self: () => HubCandidate;
  readonly seeds: () => readonly string[];
  readonly periodMs: number;
  readonly status: (
    peers: readonly string[],
  ) => StatusMessage;
  readonly onStatus: (status: StatusMessage) => void;
  /**
   * Called when the hub of this zone changes; undefined while no hub is in use.
   */
  readonly onHub: (hub: string | undefined) => void;
  /**
   * Whether messages read now were certainly not queued during a pause of the
   * process.
   */
  readonly isFresh: () => boolean;
}

/**
 * Sends this node's status to its peers and stores theirs. In a small fleet each
 * node sends to all others. In a larger one each sends to the hub of its zone.
 * Hubs forward statuses of their zone to the other hubs, and all statuses to
 * their zone. Thus the number of messages grows with the number of nodes, not
 * with its square.
 */
export class PeerGossip {
  readonly #deps: PeerGossipDependencies;
  readonly #peers = new PeerTable();
  readonly #selector: HubSelector;
  /** Internal addresses of nodes that the store lists or peers advertise. */
  #knownAddresses: readonly string[] = [];
  #timer: Timer | undefined;
  #roundCount = 0;
  /** Hub of this zone as last reported to `onHub`. */
  #hub: string | undefined;
  #broadcastScheduled = false;
  #forwardScheduled = false;
  #cachedHubs = new Map<string, HubCandidate>();
  #hubsCachedAt = -Infinity;
  /**
   * When this node's status last came back, or, on a hub, when its zone last
   * sent one.
   */
  #echoedAt = -Infinity;
  #fullMeshUntil = -Infinity;
  /** Index of the target at which the next round begins. */
  #nextTargetIndex = 0;

  constructor(deps: PeerGossipDependencies) {
    this.#deps = deps;
    this.#selector = new HubSelector(deps.self);
    deps.datagrams.onMessage((payload) => this.#receive(payload));
  }

  /** Starts sending statuses. */
  start(): void {
    this.#timer = this.#deps.timers.subscribe(
      this.#deps.periodMs,
      () => this.#runRound(),
    );
    this.#sendStatus(this.#targets(), false);
  }

  /** Stops sending statuses. */
  stop(): void {
    this.#timer?.cancel();
  }

  /**
   * Sends this node's status before the next round, to all nodes or through the
   * hubs; calls in quick succession share a message.
   */
  broadcast(): void {
    if (this.#broadcastScheduled) return;
    this.#broadcastScheduled = true;
    this.#deps.timers.after(COALESCE_MS, () => {
      this.#broadcastScheduled = false;
      const hubs = this.#hubs();
      if (hubs === undefined) return this.#sendStatus(this.#targets(), true);
      if (this.#isHub(hubs)) return this.#forward(hubs, true);
      const leader = this.live().find((peer) => peer.status.leaderTerm > 0);
      const targets = [...hubs.values()].map((hub) => hub.internalAddress);
      if (leader !== undefined) targets.push(leader.status.internalAddress);
      this.#sendStatus([...new Set(targets)], true);
    });
  }

  /** Sets the internal addresses of the nodes that the store lists. */
  setRegistered(addresses: readonly string[]): void {
    this.#knownAddresses = addresses;
  }

  /** Nodes with a recent status. */
  live(): Peer[] {
    return this.#peers.live(this.#deps.timers.now());
  }

  /** Number of live nodes, including this one. */
  get fleetSize(): number {
    return this.live().length + 1;
  }

  /** Index of this node among the serving nodes sorted by id, from 0. */
  get rank(): number {
    return this.live().filter((peer) =>
      peer.status.state === "serving" &&
      peer.status.node < this.#deps.selfId
    ).length;
  }

  #runRound(): void {
    this.#roundCount += 1;
    if (this.#isIdleRound) return;
    this.#peers.expire(this.#deps.timers.now());
    const hubs = this.#hubs();
    this.#updateHub(hubs?.get(this.#zone)?.node);
    if (hubs === undefined) {
      return this.#sendStatus(
        this.#nextTargets(this.#targets(), FANOUT),
        false,
      );
    }
    if (this.#roundCount % PROBE_INTERVAL_ROUNDS === 0) {
      this.#sendStatus(this.#nextTargets(this.#silentTargets(), FANOUT), false);
    }
    if (this.#roundCount % HUB_INTERVAL_ROUNDS !== 0) return;
    if (this.#isHub(hubs)) return this.#forward(hubs, false);
    const hub = hubs.get(this.#zone);
    if (hub !== undefined) this.#sendStatus([hub.internalAddress], false);
  }

  /** Whether this round has nothing to send, to hubs or to silent nodes. */
  get #isIdleRound(): boolean {
    return this.#hub !== undefined &&
      this.#roundCount % HUB_INTERVAL_ROUNDS !== 0 &&
      this.#roundCount % PROBE_INTERVAL_ROUNDS !== 0;
  }

  #updateHub(hub: string | undefined): void {
    if (hub === this.#hub) return;
    this.#hub = hub;
    this.#deps.onHub(hub);
  }

  /** Hubs by zone; undefined while this node sends to all nodes directly. */
  #hubs(): Map<string, HubCandidate> | undefined {
    if (this.#targets().length <= FANOUT) return undefined;
    const now = this.#deps.timers.now();
    if (now < this.#fullMeshUntil) return undefined;
    if (now - this.#echoedAt > ECHO_TIMEOUT_MS) {
      const hub = this.#selectHubs(now).get(this.#zone);
      const hubIsActive = hub !== undefined &&
        this.#selector.isActive(hub.node, now);
      if (this.#echoedAt >= 0 && hubIsActive) {
        this.#fullMeshUntil = now + FULL_MESH_DURATION_MS;
      }
      this.#echoedAt = -Infinity;
      return undefined;
    }
    const hubs = this.#selectHubs(now);
    return hubs.has(this.#zone) ? hubs : undefined;
  }

  #selectHubs(now: number): Map<string, HubCandidate> {
    if (now - this.#hubsCachedAt < HUB_CACHE_MS) return this.#cachedHubs;
    const others = this.live().map((peer) => peer.status);
    this.#cachedHubs = this.#selector.select(others, now);
    this.#hubsCachedAt = now;
    return this.#cachedHubs;
  }

  #isHub(hubs: ReadonlyMap<string, HubCandidate>): boolean {
    return hubs.get(this.#zone)?.node === this.#deps.selfId;
  }

  get #zone(): string {
    return this.#deps.self().zone;
  }

  /**
   * Forwards the statuses of this zone to other hubs, and all statuses to this
   * zone.
   */
  #forward(
    hubs: ReadonlyMap<string, HubCandidate>,
    isUrgent: boolean,
  ): void {
    const now = this.#deps.timers.now();
    const self = this.#deps.status([]);
    const unforwarded = this.#peers.takeUnforwarded(now);
    // Statuses that were queued during a pause of the process carry ages that
    // are too small, and are not forwarded.
    const fresh = this.#deps.isFresh() ? unforwarded : [];
    const direct = fresh.filter(({ isDirect }) => isDirect);
    const others = [...hubs.values()].filter((hub) => hub.zone !== self.zone);
    const members = this.live().filter(({ status }) =>
      status.zone === self.zone
    );
    this.#sendBatches(
      [self, ...direct.map(({ status }) => status)],
      others.map((hub) => hub.internalAddress),
      isUrgent,
    );
    this.#sendBatches(
      [self, ...fresh.map(({ status }) => status)],
      members.map(({ status }) => status.internalAddress),
      false,
    );
  }

  #sendBatches(
    statuses: readonly StatusMessage[],
    targets: readonly string[],
    isUrgent: boolean,
  ): void {
    for (let at = 0; at < statuses.length; at += MAX_BATCH_STATUSES) {
      const payload = encodeBatch({
        isForwarded: true,
        isUrgent,
        statuses: statuses.slice(at, at + MAX_BATCH_STATUSES),
      });
      for (const target of targets) {
        this.#deps.datagrams.send(target, payload);
      }
    }
  }

  #sendStatus(targets: readonly string[], isUrgent: boolean): void {
    if (targets.length === 0) return;
    const live = this.live().map((peer) => peer.status.internalAddress);
    const advertised = this.#hubs() === undefined ? live : [];
    const status = this.#deps.status(
      advertised.slice(0, MAX_ADVERTISED_PEERS),
    );
    const payload = encodeBatch({
      isForwarded: false,
      isUrgent,
      statuses: [status],
    });
    for (const target of targets) this.#deps.datagrams.send(target, payload);
  }

  #targets(): string[] {
    const addresses = new Set(this.#knownAddresses);
    for (const address of this.#peers.addresses()) addresses.add(address);
    if (this.#peers.size === 0) {
      for (const seed of this.#deps.seeds()) addresses.add(seed);
    }
    addresses.delete(this.#deps.selfAddress);
    return [...addresses];
  }

  /** Targets without a recent status. */
  #silentTargets(): string[] {
    const live = new Set(
      this.live().map((peer) => peer.status.internalAddress),
    );
    return this.#targets().filter((address) => !live.has(address));
  }

  #nextTargets(targets: readonly string[], count: number): readonly string[] {
    if (targets.length <= count) return targets;
    const chosen = Array.from(
      { length: count },
      (_, i) => targets[(this.#nextTargetIndex + i) % targets.length],
    );
    this.#nextTargetIndex = (this.#nextTargetIndex + count) % targets.length;
    return chosen;
  }

  #receive(payload: Uint8Array): void {
    const batch = decodeBatch(payload);
    if (batch === undefined) return;
    const { isForwarded, isUrgent, statuses } = batch;
    const now = this.#deps.timers.now();
    const { selfId } = this.#deps;
    const [from] = statuses;
    // A hub puts its own status first in each batch.
    if (isForwarded && from !== undefined) {
      this.#selector.recordForward(from.node, now);
    }
    const isFromOwnZone = !isForwarded && from?.zone === this.#zone;
    // A hub doesn't get its own status back: a status from its zone serves as
    // an echo instead.
    if (isFromOwnZone && this.#isHub(this.#selectHubs(now))) {
      this.#echoedAt = now;
    }
    for (const status of statuses) {
      if (status.node === selfId) {
        if (status.ageMs < ECHO_TIMEOUT_MS) this.#echoedAt = now;
        continue;
      }
      if (!this.#peers.update(status, now, !isForwarded)) continue;
      this.#addKnownAddresses(status.peers);
      this.#deps.onStatus(status);
    }
    if (isUrgent) this.#scheduleForward();
  }

  #scheduleForward(): void {
    if (this.#forwardScheduled) return;
    this.#forwardScheduled = true;
    this.#deps.timers.after(COALESCE_MS, () => {
      this.#forwardScheduled = false;
      const hubs = this.#hubs();
      if (hubs !== undefined && this.#isHub(hubs)) this.#forward(hubs, false);
    });
  }

  /** Adds advertised nodes that this node doesn't know yet to the targets. */
  #addKnownAddresses(addresses: readonly string[]): void {
    if (addresses.length === 0) return;
    const known = new Set(this.#targets());
    known.add(this.#deps.selfAddress);
    const unknown = addresses.filter((address) => !known.has(address));
    if (unknown.length === 0) return;
    this.#knownAddresses = [...this.#knownAddresses, ...unknown];
  }
}
