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
const NEIGHBOURS = 6;
/** Evidence kept for peers that missed a push. */
const EVIDENCE_TTL_MS = 5_000;

/** What a gateway says of itself in every message. */
export interface LocalNews {
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
  localNews(): LocalNews;
  /** Takes a peer's news. */
  onNews(msg: SyncMessage): void;
}

interface PeerState {
  configRevision: number;
  lifecycle: Lifecycle;
  heardAt: number;
  incarnation: string;
  recordsHash: number | undefined;
  /** Revisions that the peer has; unknown until it has sent digests. */
  recordRevisions: Map<string, number> | undefined;
  readonly toldWarm: Set<string>;
  /** The exchange on its way, and the one that follows it. */
  current: Promise<void> | undefined;
  next: Promise<void> | undefined;
}

interface KeptEvidence {
  readonly evidence: Evidence;
  readonly at: number;
}

/** Sends differences to peers and notes what each of them has. */
export class PeerSync {
  readonly #parts: PeerSyncParts;
  readonly #peers = new Map<string, PeerState>();
  #evidence: KeptEvidence[] = [];

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
        .slice(0, NEIGHBOURS),
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
    const silentMs = this.#parts.timers.now() - peer.heardAt;
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
    const peer = this.#note(msg);
    this.#parts.onNews(msg);
    return this.#message(peer);
  }

  /** Exchanges news, after the exchange on its way if there is one. */
  #exchangeWith(member: GatewayMember): Promise<void> {
    const peer = this.#peer(member.id);
    if (peer.current === undefined) return this.#begin(member, peer);
    peer.next ??= peer.current.then(() => {
      peer.next = undefined;
      return this.#begin(member, peer);
    });
    return peer.next;
  }

  #begin(member: GatewayMember, peer: PeerState): Promise<void> {
    peer.current = this.#ask(member, peer).then(() => {
      peer.current = undefined;
    });
    return peer.current;
  }

  async #ask(member: GatewayMember, peer: PeerState): Promise<void> {
    const askedAt = this.#parts.timers.now();
    const res = await withTimeout(
      this.#parts.timers,
      this.#parts.network.sync(member, this.#message(peer)),
      SYNC_TIMEOUT_MS,
    );
    if (res === TIMED_OUT || !res.ok) return;
    const msg = res.value;
    this.#note(msg);
    this.#parts.onNews(msg);
    const process = { id: msg.from, incarnation: msg.incarnation };
    this.#parts.replica.confirmByPeer(process, askedAt, msg.configRevision);
  }

  #note(msg: SyncMessage): PeerState {
    const peer = this.#peer(msg.from);
    if (peer.incarnation !== msg.incarnation) forget(peer, msg.incarnation);
    peer.configRevision = msg.configRevision;
    peer.lifecycle = msg.lifecycle;
    peer.heardAt = this.#parts.timers.now();
    peer.recordsHash = msg.recordsHash;
    const hasNone = msg.recordsHash === 0 && msg.lifecycle !== "starting";
    if (msg.digests.length > 0 || hasNone) {
      peer.recordRevisions = new Map(
        msg.digests.map((d) => [d.fabricDomain, d.revision]),
      );
    }
    for (const id of msg.warm) peer.toldWarm.add(id);
    for (const id of msg.cold) peer.toldWarm.delete(id);
    return peer;
  }

  #message(peer: PeerState): SyncMessage {
    const { replica, selfId, incarnation } = this.#parts;
    const news = this.#parts.localNews();
    for (const id of news.cold) peer.toldWarm.delete(id);
    const warm = news.warm.filter((id) => !peer.toldWarm.has(id));
    for (const id of warm) peer.toldWarm.add(id);
    const differs = peer.recordsHash !== news.recordsHash;
    return {
      from: selfId,
      incarnation,
      lifecycle: news.lifecycle,
      configRevision: replica.revision,
      cfg: peer.configRevision < replica.revision ? replica.cfg : undefined,
      recordsHash: news.recordsHash,
      digests: differs ? digestsOf(news.records) : [],
      records: differs ? recordsMissing(peer, news.records) : [],
      evidence: this.#evidence.map((kept) => kept.evidence),
      warm,
      cold: news.cold,
      suspects: news.suspects,
      reports: news.reports,
    };
  }

  #expireEvidence(): void {
    const since = this.#parts.timers.now() - EVIDENCE_TTL_MS;
    this.#evidence = this.#evidence.filter((kept) => kept.at > since);
  }

  #peer(id: string): PeerState {
    let peer = this.#peers.get(id);
    if (peer === undefined) {
      peer = {
        configRevision: 0,
        lifecycle: "starting",
        heardAt: -Infinity,
        incarnation: "",
        recordsHash: undefined,
        recordRevisions: undefined,
        toldWarm: new Set(),
        current: undefined,
        next: undefined,
      };
      this.#peers.set(id, peer);
    }
    return peer;
  }
}

/** A restarted peer has none of what its predecessor was told. */
function forget(peer: PeerState, incarnation: string): void {
  peer.incarnation = incarnation;
  peer.recordRevisions = undefined;
  peer.toldWarm.clear();
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
