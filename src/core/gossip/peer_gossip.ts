/**
 * Tells the other processes of the fleet what this one sees, and hears them.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type { Datagrams } from "../../ports/datagrams.ts";
import type { HubCandidate } from "./hub_plan.ts";
import { HubWatch } from "./hub_watch.ts";
import { decodeBatch, encodeBatch } from "./message_codec.ts";
import type { StatusMessage } from "./messages.ts";
import type { Peer } from "./peer_table.ts";
import { PeerTable } from "./peer_table.ts";

/** Processes told directly in each round, in turn; a larger fleet has hubs. */
const FANOUT = 7;
/** Rounds between two messages to or from a hub. */
const HUB_ROUNDS = 2;
/** Rounds between two direct greetings in a fleet with hubs. */
const GREETING_ROUNDS = 10;
/** Without sight of its own status for this time a process tells all itself. */
const ECHO_MS = 700;
/** Time for which it goes on when its hub speaks, but does not hear it. */
const TELL_ALL_MS = 5_000;
/** Pause before news is told at once. */
const TELL_TOGETHER_MS = 10;
/** Time for which a choice of hubs holds. */
const CHOICE_MS = 50;
/** Statuses in one datagram; a datagram that is too large is not sent. */
const MAX_BATCH = 12;
/** Addresses told to processes that start. */
const MAX_TOLD_PEERS = 16;

/** What gossip works with. */
export interface PeerGossipParts {
  readonly timers: Timers;
  readonly datagrams: Datagrams;
  readonly selfId: string;
  readonly selfAddress: string;
  /** This process, as the others see it. */
  readonly self: () => HubCandidate;
  readonly seeds: () => readonly string[];
  readonly periodMs: number;
  readonly status: (
    peers: readonly string[],
  ) => StatusMessage;
  readonly onStatus: (status: StatusMessage) => void;
  /** The hub of this zone changed; undefined when this process tells all. */
  readonly onHub: (hub: string | undefined) => void;
  /** Whether messages read now can't have waited long. */
  readonly isFresh: () => boolean;
}

/**
 * Sends this process's status to peers and keeps theirs. In a small fleet each
 * tells all. In a larger one each tells the hub of its zone; hubs pass on to
 * the other hubs what their zone says, and to their zone what all say, so that
 * messages grow with the number of processes, not with its square.
 */
export class PeerGossip {
  readonly #parts: PeerGossipParts;
  readonly #peers = new PeerTable();
  readonly #watch: HubWatch;
  /** Internal addresses of processes that are registered but not heard yet. */
  #registered: readonly string[] = [];
  #timer: Timer | undefined;
  #rounds = 0;
  /** Hub of this zone as last noted. */
  #hub: string | undefined;
  #tellScheduled = false;
  #passOnScheduled = false;
  #chosen = new Map<string, HubCandidate>();
  #chosenAt = -Infinity;
  /** When this process's status last came back to it, or a spoke spoke. */
  #echoedAt = -Infinity;
  #tellsAllUntil = -Infinity;
  /** Where the next round begins among the targets. */
  #turn = 0;

  constructor(parts: PeerGossipParts) {
    this.#parts = parts;
    this.#watch = new HubWatch(parts.self);
    parts.datagrams.onMessage((payload) => this.#receive(payload));
  }

  /** Begins to tell. */
  start(): void {
    this.#timer = this.#parts.timers.subscribe(
      this.#parts.periodMs,
      () => this.#round(),
    );
    this.#tell(this.#targets(), false);
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
      const hubs = this.#hubs();
      if (hubs === undefined) return this.#tell(this.#targets(), true);
      if (this.#isHub(hubs)) return this.#passOn(hubs, true);
      const acting = this.live().find((peer) => peer.status.actingTerm > 0);
      const targets = [...hubs.values()].map((hub) => hub.internalAddress);
      if (acting !== undefined) targets.push(acting.status.internalAddress);
      this.#tell([...new Set(targets)], true);
    });
  }

  /** Sets the processes that the store lists. */
  registered(addresses: readonly string[]): void {
    this.#registered = addresses;
  }

  /** Processes heard of late. */
  live(): Peer[] {
    return this.#peers.live(this.#parts.timers.now());
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

  #round(): void {
    this.#rounds += 1;
    if (this.#isIdleRound) return;
    this.#peers.expire(this.#parts.timers.now());
    const hubs = this.#hubs();
    this.#noteHub(hubs?.get(this.#zone)?.node);
    if (hubs === undefined) {
      return this.#tell(this.#nextInTurn(this.#targets(), FANOUT), false);
    }
    if (this.#rounds % GREETING_ROUNDS === 0) {
      this.#tell(this.#nextInTurn(this.#unheard(), FANOUT), false);
    }
    if (this.#rounds % HUB_ROUNDS !== 0) return;
    if (this.#isHub(hubs)) return this.#passOn(hubs, false);
    const hub = hubs.get(this.#zone);
    if (hub !== undefined) this.#tell([hub.internalAddress], false);
  }

  /** Whether nothing is due in this round, neither to hubs nor to others. */
  get #isIdleRound(): boolean {
    return this.#hub !== undefined && this.#rounds % HUB_ROUNDS !== 0 &&
      this.#rounds % GREETING_ROUNDS !== 0;
  }

  #noteHub(hub: string | undefined): void {
    if (hub === this.#hub) return;
    this.#hub = hub;
    this.#parts.onHub(hub);
  }

  /** Hubs by zone; undefined while this process tells all by itself. */
  #hubs(): Map<string, HubCandidate> | undefined {
    if (this.#targets().length <= FANOUT) return undefined;
    const now = this.#parts.timers.now();
    if (now < this.#tellsAllUntil) return undefined;
    if (now - this.#echoedAt > ECHO_MS) {
      const hub = this.#hubsNow(now).get(this.#zone);
      const isDeaf = hub !== undefined && this.#watch.speaks(hub.node, now);
      if (this.#echoedAt >= 0 && isDeaf) {
        this.#tellsAllUntil = now + TELL_ALL_MS;
      }
      this.#echoedAt = -Infinity;
      return undefined;
    }
    const hubs = this.#hubsNow(now);
    return hubs.has(this.#zone) ? hubs : undefined;
  }

  #hubsNow(now: number): Map<string, HubCandidate> {
    if (now - this.#chosenAt < CHOICE_MS) return this.#chosen;
    const others = this.live().map((peer) => peer.status);
    this.#chosen = this.#watch.choose(others, now);
    this.#chosenAt = now;
    return this.#chosen;
  }

  #isHub(hubs: ReadonlyMap<string, HubCandidate>): boolean {
    return hubs.get(this.#zone)?.node === this.#parts.selfId;
  }

  get #zone(): string {
    return this.#parts.self().zone;
  }

  /** Tells other hubs what this zone says, and this zone what all say. */
  #passOn(
    hubs: ReadonlyMap<string, HubCandidate>,
    isUrgent: boolean,
  ): void {
    const now = this.#parts.timers.now();
    const self = this.#parts.status([]);
    const news = this.#peers.takeNew(now);
    // Ages of what waited in a paused process are too small.
    const passed = this.#parts.isFresh() ? news : [];
    const direct = passed.filter(({ isDirect }) => isDirect);
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
      [self, ...passed.map(({ status }) => status)],
      members.map(({ status }) => status.internalAddress),
      false,
    );
  }

  #sendBatches(
    statuses: readonly StatusMessage[],
    targets: readonly string[],
    isUrgent: boolean,
  ): void {
    for (let at = 0; at < statuses.length; at += MAX_BATCH) {
      const payload = encodeBatch({
        isPassedOn: true,
        isUrgent,
        statuses: statuses.slice(at, at + MAX_BATCH),
      });
      for (const target of targets) {
        this.#parts.datagrams.send(target, payload);
      }
    }
  }

  #tell(targets: readonly string[], isUrgent: boolean): void {
    if (targets.length === 0) return;
    const live = this.live().map((peer) => peer.status.internalAddress);
    const told = this.#hubs() === undefined ? live : [];
    const status = this.#parts.status(told.slice(0, MAX_TOLD_PEERS));
    const payload = encodeBatch({
      isPassedOn: false,
      isUrgent,
      statuses: [status],
    });
    for (const target of targets) this.#parts.datagrams.send(target, payload);
  }

  #targets(): string[] {
    const addresses = new Set(this.#registered);
    for (const address of this.#peers.addresses()) addresses.add(address);
    if (this.#peers.size === 0) {
      for (const seed of this.#parts.seeds()) addresses.add(seed);
    }
    addresses.delete(this.#parts.selfAddress);
    return [...addresses];
  }

  /** Processes that are registered or known, but silent. */
  #unheard(): string[] {
    const live = new Set(
      this.live().map((peer) => peer.status.internalAddress),
    );
    return this.#targets().filter((address) => !live.has(address));
  }

  #nextInTurn(targets: readonly string[], count: number): readonly string[] {
    if (targets.length <= count) return targets;
    const chosen = Array.from(
      { length: count },
      (_, i) => targets[(this.#turn + i) % targets.length],
    );
    this.#turn = (this.#turn + count) % targets.length;
    return chosen;
  }

  #receive(payload: Uint8Array): void {
    const batch = decodeBatch(payload);
    if (batch === undefined) return;
    const { isPassedOn, isUrgent, statuses } = batch;
    const now = this.#parts.timers.now();
    const { selfId } = this.#parts;
    const [first] = statuses;
    // A hub names itself first.
    if (isPassedOn && first !== undefined) this.#watch.heard(first.node, now);
    const isSpoke = !isPassedOn && first?.zone === this.#zone;
    // A hub is not told its own status; those it passes on speak to it.
    if (isSpoke && this.#isHub(this.#hubsNow(now))) this.#echoedAt = now;
    for (const status of statuses) {
      if (status.node === selfId) {
        if (status.ageMs < ECHO_MS) this.#echoedAt = now;
        continue;
      }
      if (!this.#peers.hear(status, now, !isPassedOn)) continue;
      this.#learn(status.peers);
      this.#parts.onStatus(status);
    }
    if (isUrgent) this.#passOnSoon();
  }

  #passOnSoon(): void {
    if (this.#passOnScheduled) return;
    this.#passOnScheduled = true;
    this.#parts.timers.after(TELL_TOGETHER_MS, () => {
      this.#passOnScheduled = false;
      const hubs = this.#hubs();
      if (hubs !== undefined && this.#isHub(hubs)) this.#passOn(hubs, false);
    });
  }

  /** Greets processes that only a peer knows. */
  #learn(addresses: readonly string[]): void {
    if (addresses.length === 0) return;
    const known = new Set(this.#targets());
    known.add(this.#parts.selfAddress);
    const unknown = addresses.filter((address) => !known.has(address));
    if (unknown.length === 0) return;
    this.#registered = [...this.#registered, ...unknown];
  }
}
