/**
 * Synchronization of state between gateways.
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
import type { PartStatuses } from "../gossip/part_statuses.ts";
import type { Suspect } from "../retries/suspect_request_tracker.ts";
import type { Evidence } from "../routing/upstream_table.ts";
import type {
  Lifecycle,
  PeerNetwork,
  RecordDigest,
  SharedReport,
  SyncMessage,
} from "./messages.ts";

/** Shortest interval between regular exchanges with each peer. */
export const SYNC_PERIOD_MS = 500;
/** Longest interval: replicas must be confirmed well before they are stale. */
const MAX_SYNC_PERIOD_MS = 1_000;
/** Interval per partner: it bounds the number of exchanges per second. */
const SYNC_MS_PER_PARTNER = 125;
/** Timeout of one exchange with a peer. */
export const SYNC_TIMEOUT_MS = 800;
/** A peer that has sent no message for this long is not offered to callers. */
export const PEER_SILENT_MS = 2_500;
/** Largest number of gateways that form a full mesh. */
const FULL_MESH_LIMIT = 8;
/** Partners of each gateway in a larger deployment, besides the confirmers. */
const NEIGHBOUR_COUNT = 6;
/** How long evidence is included in messages, as a peer may miss an exchange. */
const EVIDENCE_TTL_MS = 5_000;

/** Local state that a gateway includes in every message. */
export interface LocalState {
  readonly lifecycle: Lifecycle;
  readonly records: ReadonlyMap<string, DomainRecord>;
  readonly recordsHash: number;
  readonly warm: readonly string[];
  readonly cold: readonly string[];
  readonly suspects: readonly Suspect[];
  readonly suspectParts: PartStatuses["suspectParts"];
  readonly soundParts: PartStatuses["soundParts"];
  readonly reports: readonly SharedReport[];
}

/** Dependencies of {@linkcode PeerSync}. */
export interface PeerSyncDependencies {
  readonly timers: Timers;
  readonly network: PeerNetwork;
  readonly replica: ConfigReplica;
  readonly selfId: string;
  readonly incarnation: string;
  /** Peers to contact before a configuration is known. */
  readonly seeds: readonly GatewayMember[];
  localState(): LocalState;
  /** Called with each message from a peer. */
  onMessage(msg: SyncMessage): void;
}

interface PeerState {
  configRevision: number;
  lifecycle: Lifecycle;
  lastMessageAt: number;
  incarnation: string;
  recordsHash: number | undefined;
  /** Revisions of records on the peer; unknown until it has sent digests. */
  recordRevisions: Map<string, number> | undefined;
  /** Warm upstreams that were sent to the peer or received from it. */
  readonly announcedWarm: Set<string>;
  /** The exchange in progress. */
  running: Promise<void> | undefined;
  /** The exchange that starts after the one in progress. */
  queued: Promise<void> | undefined;
}

interface RecentEvidence {
  readonly evidence: Evidence;
  readonly at: number;
}

/** Sends peers what they lack, and tracks what each of them has. */
export class PeerSync {
  readonly #deps: PeerSyncDependencies;
  readonly #peers = new Map<string, PeerState>();
  #evidence: RecentEvidence[] = [];

  constructor(deps: PeerSyncDependencies) {
    this.#deps = deps;
  }

  /** Peers that this gateway exchanges messages with. */
  get partners(): readonly GatewayMember[] {
    const members = this.#deps.replica.cfg.gateways;
    const known = members.length > 0 ? members : this.#deps.seeds;
    const others = known.filter((m) => m.id !== this.#deps.selfId);
    if (others.length < FULL_MESH_LIMIT) return others;
    const partnerIds = new Set(
      rendezvousOrder(this.#deps.selfId, others.map((m) => m.id))
        .slice(0, NEIGHBOUR_COUNT),
    );
    for (const member of confirmers(this.#deps.replica.cfg)) {
      partnerIds.add(member.id);
    }
    return others.filter((m) => partnerIds.has(m.id));
  }

  /**
   * Interval between regular exchanges, in milliseconds. Urgent changes are
   * exchanged immediately.
   */
  get periodMs(): number {
    const scaledMs = this.partners.length * SYNC_MS_PER_PARTNER;
    return Math.min(MAX_SYNC_PERIOD_MS, Math.max(SYNC_PERIOD_MS, scaledMs));
  }

  /** Whether a peer sent a message recently and accepts callers. */
  isOfferedToCallers(id: string): boolean {
    const peer = this.#peers.get(id);
    if (peer === undefined) return false;
    const silentMs = this.#deps.timers.now() - peer.lastMessageAt;
    return silentMs < PEER_SILENT_MS && peer.lifecycle === "serving";
  }

  /** Adds evidence to the next exchanges. */
  addEvidence(evidence: Evidence): void {
    this.#evidence.push({ evidence, at: this.#deps.timers.now() });
  }

  /**
   * Exchanges messages with every partner. Settles once all have responded or
   * timed out.
   */
  async exchange(): Promise<void> {
    this.#expireEvidence();
    await Promise.all(this.partners.map((peer) => this.#exchangeWith(peer)));
  }

  /** Handles a peer's message and returns the response. */
  handleMessage(msg: SyncMessage): SyncMessage {
    this.#expireEvidence();
    const peer = this.#updatePeer(msg);
    this.#deps.onMessage(msg);
    return this.#buildMessage(peer);
  }

  /** Exchanges messages, after the exchange in progress if there is one. */
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
    const requestedAt = this.#deps.timers.now();
    const res = await withTimeout(
      this.#deps.timers,
      this.#deps.network.sync(member, this.#buildMessage(peer)),
      SYNC_TIMEOUT_MS,
    );
    if (res === TIMED_OUT || !res.ok) return;
    const msg = res.value;
    this.#updatePeer(msg);
    this.#deps.onMessage(msg);
    const process = { id: msg.from, incarnation: msg.incarnation };
    this.#deps.replica.confirmByPeer(process, requestedAt, msg.configRevision);
  }

  #updatePeer(msg: SyncMessage): PeerState {
    const peer = this.#peerState(msg.from);
    if (peer.incarnation !== msg.incarnation) resetPeer(peer, msg.incarnation);
    peer.configRevision = msg.configRevision;
    peer.lifecycle = msg.lifecycle;
    peer.lastMessageAt = this.#deps.timers.now();
    peer.recordsHash = msg.recordsHash;
    // A hash of 0 from a `starting` process doesn't mean that it has no records:
    // a gateway may not have read them yet, and a controller sends `starting`
    // and no records with each configuration that it pushes.
    const hasNoRecords = msg.recordsHash === 0 && msg.lifecycle !== "starting";
    if (msg.digests.length > 0 || hasNoRecords) {
      peer.recordRevisions = new Map(
        msg.digests.map((d) => [d.fabricDomain, d.revision]),
      );
    }
    for (const id of msg.warm) peer.announcedWarm.add(id);
    for (const id of msg.cold) peer.announcedWarm.delete(id);
    return peer;
  }

  #buildMessage(peer: PeerState): SyncMessage {
    const { replica, selfId, incarnation } = this.#deps;
    const state = this.#deps.localState();
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
      suspectParts: state.suspectParts,
      soundParts: state.soundParts,
      reports: state.reports,
    };
  }

  #expireEvidence(): void {
    const since = this.#deps.timers.now() - EVIDENCE_TTL_MS;
    this.#evidence = this.#evidence.filter((recent) => recent.at > since);
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

/** Resets what the peer is known to have: a restarted process has lost it. */
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

/**
 * Returns records newer than the peer's; none before its revisions are known.
 */
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
