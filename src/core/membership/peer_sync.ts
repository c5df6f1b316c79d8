/**
 * Exchange of news between gateways.
 *
 * @module
 */
import { rendezvousOrder } from "../../base/hash.ts";
import type { Timers } from "../../base/timers.ts";
import { TIMED_OUT, withTimeout } from "../../base/timers.ts";
import type { GatewayMember } from "../../world/configuration.ts";
import type { DomainRecord } from "../../world/replica_group.ts";
import type { ConfigReplica } from "../configuration/config_replica.ts";
import { confirmers } from "../configuration/config_replica.ts";
import type { Suspect } from "../retries/suspects.ts";
import type { Evidence } from "../routing/upstream_table.ts";
import type {
  Lifecycle,
  PeerNetwork,
  RecordDigest,
  SharedReport,
  SyncMessage,
} from "./messages.ts";

/** Shortest time between exchanges with each peer. */
export const SYNC_PERIOD_MS = 500;
/** Longest time: copies must be confirmed well within their life. */
const MAX_SYNC_PERIOD_MS = 1_000;
/** Time added for each partner, which bounds exchanges a second. */
const SYNC_MS_PER_PARTNER = 125;
/** Longest wait for a peer's answer. */
export const SYNC_TIMEOUT_MS = 800;
/** A peer that has not been heard for this long is not offered to callers. */
export const PEER_SILENT_MS = 2_500;
/** Gateways up to which everyone talks to everyone. */
const FULL_MESH_LIMIT = 8;
/** Peers of a gateway beyond {@linkcode FULL_MESH_LIMIT}. */
const NEIGHBOUR_COUNT = 6;
/** Evidence kept for peers that missed a push. */
const EVIDENCE_TTL_MS = 5_000;

/** What a gateway says of itself in every message. */
export interface LocalState {
  readonly lifecycle: Lifecycle;
  readonly records: ReadonlyMap<string, DomainRecord>;
  readonly recordsHash: number;
  readonly warm: readonly string[];
  readonly cold: readonly string[];
  readonly suspects: readonly Suspect[];
  readonly reports: readonly SharedReport[];
}

/** What peer exchange works with. */
export interface PeerSyncParts {
  readonly timers: Timers;
  readonly network: PeerNetwork;
  readonly replica: ConfigReplica;
  readonly selfId: string;
  readonly incarnation: string;
  /** Peers to ask before any configuration is known. */
  readonly seeds: readonly GatewayMember[];
  localNews(): LocalState;
  /** Takes a peer's news. */
  onNews(msg: SyncMessage): void;
}

interface PeerState {
  configRevision: number;
  lifecycle: Lifecycle;
  lastMessageAt: number;
  incarnation: string;
  recordsHash: number | undefined;
  /** Revisions that the peer has; unknown until it has sent digests. */
  recordRevisions: Map<string, number> | undefined;
  readonly announcedWarm: Set<string>;
  /** The exchange on its way, and the one that follows it. */
  running: Promise<void> | undefined;
  queued: Promise<void> | undefined;
}

interface RecentEvidence {
  readonly evidence: Evidence;
  readonly at: number;
}

/** Sends differences to peers and notes what each of them has. */
export class PeerSync {
  readonly #parts: PeerSyncParts;
  readonly #peers = new Map<string, PeerState>();
  #evidence: RecentEvidence[] = [];

  constructor(parts: PeerSyncParts) {
    this.#parts = parts;
  }

  /** Peers that this gateway exchanges news with. */
  get partners(): readonly GatewayMember[] {
    const members = this.#parts.replica.cfg.gateways;
    const known = members.length > 0 ? members : this.#parts.seeds;
    const others = known.filter((m) => m.id !== this.#parts.selfId);
    if (others.length < FULL_MESH_LIMIT) return others;
    const wanted = new Set(
      rendezvousOrder(this.#parts.selfId, others.map((m) => m.id))
        .slice(0, NEIGHBOUR_COUNT),
    );
    for (const member of confirmers(this.#parts.replica.cfg)) {
      wanted.add(member.id);
    }
    return others.filter((m) => wanted.has(m.id));
  }

  /** Time between regular exchanges; news goes out at once all the same. */
  get periodMs(): number {
    const wanted = this.partners.length * SYNC_MS_PER_PARTNER;
    return Math.min(MAX_SYNC_PERIOD_MS, Math.max(SYNC_PERIOD_MS, wanted));
  }

  /** Tells whether a peer was heard lately and takes callers. */
  offersAddress(id: string): boolean {
    const peer = this.#peers.get(id);
    if (peer === undefined) return false;
    const silentMs = this.#parts.timers.now() - peer.lastMessageAt;
    return silentMs < PEER_SILENT_MS && peer.lifecycle === "serving";
  }

  /** Keeps evidence for the next exchanges. */
  addEvidence(evidence: Evidence): void {
    this.#evidence.push({ evidence, at: this.#parts.timers.now() });
  }

  /** Exchanges news with every partner. Settles when all have answered. */
  async exchange(): Promise<void> {
    this.#expireEvidence();
    await Promise.all(this.partners.map((peer) => this.#exchangeWith(peer)));
  }

  /** Answers a peer's message. */
  answer(msg: SyncMessage): SyncMessage {
    this.#expireEvidence();
    const peer = this.#updatePeer(msg);
    this.#parts.onNews(msg);
    return this.#buildMessage(peer);
  }

  /** Exchanges news, after the exchange on its way if there is one. */
  #exchangeWith(member: GatewayMember): Promise<void> {
    const peer = this.#peerState(member.id);
    if (peer.running === undefined) return this.#start(member, peer);
    peer.queued ??= peer.running.then(() => {
      peer.queued = undefined;
      return this.#start(member, peer);
    });
    return peer.queued;
  }

  #start(member: GatewayMember, peer: PeerState): Promise<void> {
    peer.running = this.#requestSync(member, peer).then(() => {
      peer.running = undefined;
    });
    return peer.running;
  }

  async #requestSync(member: GatewayMember, peer: PeerState): Promise<void> {
    const askedAt = this.#parts.timers.now();
    const res = await withTimeout(
      this.#parts.timers,
      this.#parts.network.sync(member, this.#buildMessage(peer)),
      SYNC_TIMEOUT_MS,
    );
    if (res === TIMED_OUT || !res.ok) return;
    const msg = res.value;
    this.#updatePeer(msg);
    this.#parts.onNews(msg);
    const process = { id: msg.from, incarnation: msg.incarnation };
    this.#parts.replica.confirmByPeer(process, askedAt, msg.configRevision);
  }

  #updatePeer(msg: SyncMessage): PeerState {
    const peer = this.#peerState(msg.from);
    if (peer.incarnation !== msg.incarnation) resetPeer(peer, msg.incarnation);
    peer.configRevision = msg.configRevision;
    peer.lifecycle = msg.lifecycle;
    peer.lastMessageAt = this.#parts.timers.now();
    peer.recordsHash = msg.recordsHash;
    const hasNone = msg.recordsHash === 0 && msg.lifecycle !== "starting";
    if (msg.digests.length > 0 || hasNone) {
      peer.recordRevisions = new Map(
        msg.digests.map((d) => [d.fabricDomain, d.revision]),
      );
    }
    for (const id of msg.warm) peer.announcedWarm.add(id);
    for (const id of msg.cold) peer.announcedWarm.delete(id);
    return peer;
  }

  #buildMessage(peer: PeerState): SyncMessage {
    const { replica, selfId, incarnation } = this.#parts;
    const state = this.#parts.localNews();
    for (const id of state.cold) peer.announcedWarm.delete(id);
    const warm = state.warm.filter((id) => !peer.announcedWarm.has(id));
    for (const id of warm) peer.announcedWarm.add(id);
    const differs = peer.recordsHash !== state.recordsHash;
    return {
      from: selfId,
      incarnation,
      lifecycle: state.lifecycle,
      configRevision: replica.revision,
      cfg: peer.configRevision < replica.revision ? replica.cfg : undefined,
      recordsHash: state.recordsHash,
      digests: differs ? digestsOf(state.records) : [],
      records: differs ? recordsMissing(peer, state.records) : [],
      evidence: this.#evidence.map((recent) => recent.evidence),
      warm,
      cold: state.cold,
      suspects: state.suspects,
      reports: state.reports,
    };
  }

  #expireEvidence(): void {
    const since = this.#parts.timers.now() - EVIDENCE_TTL_MS;
    this.#evidence = this.#evidence.filter((kept) => kept.at > since);
  }

  #peerState(id: string): PeerState {
    let peer = this.#peers.get(id);
    if (peer === undefined) {
      peer = {
        configRevision: 0,
        lifecycle: "starting",
        lastMessageAt: -Infinity,
        incarnation: "",
        recordsHash: undefined,
        recordRevisions: undefined,
        announcedWarm: new Set(),
        running: undefined,
        queued: undefined,
      };
      this.#peers.set(id, peer);
    }
    return peer;
  }
}

/** A restarted peer has none of what its predecessor was told. */
function resetPeer(peer: PeerState, incarnation: string): void {
  peer.incarnation = incarnation;
  peer.recordRevisions = undefined;
  peer.announcedWarm.clear();
}

function digestsOf(records: ReadonlyMap<string, DomainRecord>): RecordDigest[] {
  return [...records.values()].map(({ fabricDomain, revision }) => ({
    fabricDomain,
    revision,
  }));
}

/** Records newer than the peer's; none before its revisions are known. */
function recordsMissing(
  peer: PeerState,
  records: ReadonlyMap<string, DomainRecord>,
): DomainRecord[] {
  const known = peer.recordRevisions;
  if (known === undefined) return [];
  const missing: DomainRecord[] = [];
  for (const record of records.values()) {
    const { fabricDomain, revision } = record;
    if ((known.get(fabricDomain) ?? 0) >= revision) continue;
    missing.push(record);
    known.set(fabricDomain, revision);
  }
  return missing;
}
