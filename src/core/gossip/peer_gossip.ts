/**
 * Exchange of statuses between the nodes of the fleet.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type { Datagrams } from "../../ports/datagrams.ts";
import type { HubCandidate } from "./hub_election.ts";
import { HubSelector } from "./hub_selector.ts";
import { decodeBatch, encodeBatch } from "./message_codec.ts";
import type { StatusMessage } from "./messages.ts";
import type { Peer } from "./peer_table.ts";
import { PeerTable } from "./peer_table.ts";
import { SendPacer } from "./send_pacer.ts";

/**
 * Maximum number of nodes that a round sends to directly, chosen round-robin. A
 * node that knows more nodes than this uses hubs.
 */
const FANOUT = 7;
/** Rounds between messages to or from a hub. */
const HUB_INTERVAL_ROUNDS = 2;
/** Rounds between direct messages to silent nodes in a fleet with hubs. */
const PROBE_INTERVAL_ROUNDS = 10;
/**
 * A node that has not received its own status back from a hub for this long
 * sends to all nodes directly.
 */
const ECHO_TIMEOUT_MS = 700;
/**
 * Time for which a node sends to all nodes directly when its hub forwards
 * statuses but does not receive those of this node.
 */
const FULL_MESH_DURATION_MS = 5_000;
/** Delay before an urgent message, so that several changes share it. */
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
  /** Internal addresses to contact while this node has no status of a peer. */
  readonly seeds: () => readonly string[];
  /** Interval between rounds. */
  readonly periodMs: number;
  /** Bytes per second that this node's link carries. */
  readonly linkBytesPerSecond: number;
  /** Creates this node's status; `peers` are the addresses to advertise. */
  readonly createStatus: (
    peers: readonly string[],
  ) => StatusMessage;
  /**
   * Called with each newer status of another node, and the address of the hub
   * that forwarded it; undefined if the node itself sent it.
   */
  readonly onStatus: (status: StatusMessage, hub: string | undefined) => void;
  /**
   * Called when the hub of this zone changes; undefined while no hub is in use.
   */
  readonly onHubChange: (hub: string | undefined) => void;
  /**
   * Returns false while received messages may have been queued during a pause of
   * the process.
   */
  readonly isFresh: () => boolean;
}

/**
 * Sends this node's status to its peers and stores theirs. In a small fleet,
 * each node sends to all others. In a larger fleet, each node sends to the hub
 * of its zone. A hub forwards statuses of its zone to the other hubs, and all
 * statuses to the nodes of its zone. Thus the number of messages grows linearly
 * with the number of nodes.
 */
export class PeerGossip {
  readonly #deps: PeerGossipDependencies;
  readonly #peers = new PeerTable();
  readonly #selector: HubSelector;
  readonly #pacer: SendPacer;
  /** Internal addresses from the store and from peers' statuses. */
  #knownAddresses: readonly string[] = [];
  #timer: Timer | undefined;
  #roundCount = 0;
  /** Hub of this zone as last reported to `onHubChange`. */
  #hub: string | undefined;
  #broadcastScheduled = false;
  #forwardScheduled = false;
  #cachedHubs = new Map<string, HubCandidate>();
  #hubsCachedAt = -Infinity;
  /**
   * When this node last received its own status back from a hub. On a hub: when
   * it last received a status from a node of its zone.
   */
  #echoedAt = -Infinity;
  #fullMeshUntil = -Infinity;
  /** Index of the target at which the next round begins. */
  #nextTargetIndex = 0;

  constructor(deps: PeerGossipDependencies) {
    this.#deps = deps;
    this.#selector = new HubSelector(deps.self);
    this.#pacer = new SendPacer(deps.linkBytesPerSecond);
    deps.datagrams.onMessage((payload, from) => this.#receive(payload, from));
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
   * hubs. Calls within {@linkcode COALESCE_MS}, or until the link has room again,
   * share one message.
   */
  broadcast(): void {
    if (this.#broadcastScheduled) return;
    this.#broadcastScheduled = true;
    this.#afterPacing(() => {
      this.#broadcastScheduled = false;
      const hubs = this.#hubs();
      if (hubs === undefined) return this.#sendStatus(this.#targets(), true);
      if (this.#isHub(hubs)) return this.#forward(hubs, true);
      const leader = this.live().find((peer) => peer.status.leaderTerm > 0);
      const targets = [...hubs.values()].map((hub) => hub.internalAddress);
      // The leader receives the status without the delay of a hub.
      if (leader !== undefined) targets.push(leader.status.internalAddress);
      this.#sendStatus([...new Set(targets)], true);
    });
  }

  /** Replaces the known addresses by those of the nodes that the store lists. */
  setRegisteredAddresses(addresses: readonly string[]): void {
    this.#knownAddresses = addresses;
  }

  /** Returns nodes with a recent status. */
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
    if (this.#isHub(hubs)) {
      const waitMs = this.#pacer.waitMs(this.#deps.timers.now());
      return waitMs > 0 ? this.#scheduleForward() : this.#forward(hubs, false);
    }
    const hub = hubs.get(this.#zone);
    if (hub !== undefined) this.#sendStatus([hub.internalAddress], false);
  }

  /**
   * Whether hubs are in use and this round sends no statuses to hubs, from hubs
   * or to silent nodes.
   */
  get #isIdleRound(): boolean {
    return this.#hub !== undefined &&
      this.#roundCount % HUB_INTERVAL_ROUNDS !== 0 &&
      this.#roundCount % PROBE_INTERVAL_ROUNDS !== 0;
  }

  #updateHub(hub: string | undefined): void {
    if (hub === this.#hub) return;
    this.#hub = hub;
    this.#deps.onHubChange(hub);
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
      // The hub forwards statuses, but doesn't receive those of this node.
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
    const self = this.#deps.createStatus([]);
    const unforwarded = this.#peers.takeUnforwarded(now);
    // The ages in statuses that were queued during a pause of the process are
    // too small, so these statuses are not forwarded.
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

  /** Calls back after {@linkcode COALESCE_MS}, or once the link has room. */
  #afterPacing(callback: () => void): void {
    const { timers } = this.#deps;
    const waitMs = this.#pacer.waitMs(timers.now());
    timers.after(Math.max(COALESCE_MS, waitMs), callback);
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
      }, this.#peersAcceptCompressed);
      this.#send(targets, payload);
    }
  }

  #sendStatus(targets: readonly string[], isUrgent: boolean): void {
    if (targets.length === 0) return;
    const live = this.live().map((peer) => peer.status.internalAddress);
    const advertised = this.#hubs() === undefined ? live : [];
    const status = this.#deps.createStatus(
      advertised.slice(0, MAX_ADVERTISED_PEERS),
    );
    const payload = encodeBatch({
      isForwarded: false,
      isUrgent,
      statuses: [status],
    }, this.#peersAcceptCompressed);
    this.#send(targets, payload);
  }

  get #peersAcceptCompressed(): boolean {
    return this.live().every(({ status }) => status.acceptsCompressed);
  }

  #send(targets: readonly string[], payload: Uint8Array): void {
    for (const target of targets) this.#deps.datagrams.send(target, payload);
    const bytes = payload.byteLength * targets.length;
    this.#pacer.recordSent(bytes, this.#deps.timers.now());
  }

  /** Addresses of all known nodes but this one; seeds while there is no peer. */
  #targets(): string[] {
    const addresses = new Set(this.#knownAddresses);
    for (const address of this.#peers.addresses()) addresses.add(address);
    if (this.#peers.size === 0) {
      for (const seed of this.#deps.seeds()) addresses.add(seed);
    }
    addresses.delete(this.#deps.selfAddress);
    return [...addresses];
  }

  /** Addresses of known nodes without a recent status. */
  #silentTargets(): string[] {
    const live = new Set(
      this.live().map((peer) => peer.status.internalAddress),
    );
    return this.#targets().filter((address) => !live.has(address));
  }

  /** Chooses up to `count` targets, round-robin over successive calls. */
  #nextTargets(targets: readonly string[], count: number): readonly string[] {
    if (targets.length <= count) return targets;
    const chosen = Array.from(
      { length: count },
      (_, i) => targets[(this.#nextTargetIndex + i) % targets.length],
    );
    this.#nextTargetIndex = (this.#nextTargetIndex + count) % targets.length;
    return chosen;
  }

  #receive(payload: Uint8Array, from: string): void {
    const batch = decodeBatch(payload);
    if (batch === undefined) return;
    const { isForwarded, isUrgent, statuses } = batch;
    const now = this.#deps.timers.now();
    const { selfId } = this.#deps;
    const [firstStatus] = statuses;
    // A hub's own status is the first in its first batch. Any further batch
    // begins with another node's status and is recorded for that node.
    if (isForwarded && firstStatus !== undefined) {
      this.#selector.recordForward(firstStatus.node, now);
    }
    const isDirectFromOwnZone = !isForwarded &&
      firstStatus?.zone === this.#zone;
    // A hub doesn't receive its own status back; a status from a node of its
    // zone shows instead that messages arrive.
    if (isDirectFromOwnZone && this.#isHub(this.#selectHubs(now))) {
      this.#echoedAt = now;
    }
    for (const status of statuses) {
      if (status.node === selfId) {
        if (status.ageMs < ECHO_TIMEOUT_MS) this.#echoedAt = now;
        continue;
      }
      if (!this.#peers.update(status, now, !isForwarded)) continue;
      this.#addAdvertisedAddresses(status.peers);
      this.#deps.onStatus(status, isForwarded ? from : undefined);
    }
    if (isUrgent) this.#scheduleForward();
  }

  #scheduleForward(): void {
    if (this.#forwardScheduled) return;
    this.#forwardScheduled = true;
    this.#afterPacing(() => {
      this.#forwardScheduled = false;
      const hubs = this.#hubs();
      if (hubs !== undefined && this.#isHub(hubs)) this.#forward(hubs, false);
    });
  }

  /** Adds advertised addresses that this node doesn't know yet. */
  #addAdvertisedAddresses(addresses: readonly string[]): void {
    if (addresses.length === 0) return;
    const known = new Set(this.#targets());
    known.add(this.#deps.selfAddress);
    const unknown = addresses.filter((address) => !known.has(address));
    if (unknown.length === 0) return;
    this.#knownAddresses = [...this.#knownAddresses, ...unknown];
  }
}
