/**
 * Load on each upstream from this process and, as last reported, from its peers.
 *
 * @module
 */
import type { LoadStatus } from "../gossip/messages.ts";
import { StatusLag } from "../outlook/status_lag.ts";

/** Age from which a peer's reported loads are ignored. */
const PEER_LOAD_TTL_MS = 1_000;

/**
 * An upstream whose last event is not older makes progress. Peers' statuses show
 * their events up to two intervals later.
 */
const PROGRESS_MS = 600;

/** Load of this process on one upstream. */
export interface LocalLoad {
  inFlight: number;
  /** Prompt tokens of requests that have no first event yet. */
  pendingPromptTokens: number;
  /** Monotonic time of the last event; undefined before the first. */
  lastEventAt: number | undefined;
}

/** Load of all processes on one upstream. */
export interface TotalLoad {
  readonly inFlight: number;
  readonly pendingPromptTokens: number;
}

interface PeerLoads {
  readonly loads: readonly LoadStatus[];
  /** When the peer made the report. */
  readonly sentAt: number;
}

interface MutableLoad {
  inFlight: number;
  pendingPromptTokens: number;
}

const NO_LOAD: TotalLoad = { inFlight: 0, pendingPromptTokens: 0 };
/** An event time of an upstream is dropped after this time. */
const EVENT_TTL_MS = 30_000;

/**
 * Tracks the load on upstreams. The sums over peers are kept up with each report,
 * so that reading one costs the same however many peers there are.
 */
export class LoadTracker {
  readonly #local = new Map<string, LocalLoad>();
  /** Reports that the sums include. */
  readonly #peers = new Map<string, PeerLoads>();
  readonly #peerTotals = new Map<string, MutableLoad>();
  /** When any peer last received an event from each upstream. */
  readonly #peerEventAt = new Map<string, number>();
  readonly #lag = new StatusLag();
  /** No report that the sums include ends before this time. */
  #nextExpiryAt = Infinity;

  /** Mutable load of this process on an upstream. */
  localLoad(key: string): LocalLoad {
    let load = this.#local.get(key);
    if (load === undefined) {
      load = { inFlight: 0, pendingPromptTokens: 0, lastEventAt: undefined };
      this.#local.set(key, load);
    }
    return load;
  }

  /** Replaces a peer's loads with those that it reported `ageMs` ago. */
  recordPeerLoads(
    nodeId: string,
    loads: readonly LoadStatus[],
    receivedAt: number,
    ageMs: number,
  ): void {
    const previous = this.#peers.get(nodeId);
    if (previous !== undefined) this.#addToTotals(previous.loads, -1);
    this.#addToTotals(loads, 1);
    const sentAt = receivedAt - ageMs;
    if (previous !== undefined) {
      this.#lag.record(previous.sentAt, sentAt, receivedAt);
    }
    this.#peers.set(nodeId, { loads, sentAt });
    this.#nextExpiryAt = Math.min(
      this.#nextExpiryAt,
      sentAt + PEER_LOAD_TTL_MS,
    );
    for (const { key, silentMs } of loads) {
      if (silentMs < 0) continue;
      const at = sentAt - silentMs;
      if (at > (this.#peerEventAt.get(key) ?? -Infinity)) {
        this.#peerEventAt.set(key, at);
      }
    }
  }

  /** Mean age of the loads that peers have reported, in milliseconds. */
  get lagMs(): number {
    return this.#lag.meanMs;
  }

  /** Load of all processes on an upstream. */
  totalLoad(key: string, now: number): TotalLoad {
    if (now > this.#nextExpiryAt) this.#dropOutdated(now);
    const local = this.#local.get(key);
    const peers = this.#peerTotals.get(key);
    if (local === undefined) return peers ?? NO_LOAD;
    if (peers === undefined) return local;
    return {
      inFlight: local.inFlight + peers.inFlight,
      pendingPromptTokens: local.pendingPromptTokens +
        peers.pendingPromptTokens,
    };
  }

  /** When any process last received an event from the upstream. */
  lastEventAt(key: string): number | undefined {
    const own = this.#local.get(key)?.lastEventAt;
    const peers = this.#peerEventAt.get(key);
    if (own === undefined || peers === undefined) return own ?? peers;
    return Math.max(own, peers);
  }

  /** Whether the upstream has sent events to any process recently. */
  makesProgress(key: string, now: number): boolean {
    const at = this.lastEventAt(key);
    return at !== undefined && now - at <= PROGRESS_MS;
  }

  #addToTotals(loads: readonly LoadStatus[], sign: 1 | -1): void {
    for (const { key, inFlight, pendingPromptTokens } of loads) {
      let total = this.#peerTotals.get(key);
      if (total === undefined) {
        total = { inFlight: 0, pendingPromptTokens: 0 };
        this.#peerTotals.set(key, total);
      }
      total.inFlight += sign * inFlight;
      total.pendingPromptTokens += sign * pendingPromptTokens;
      if (total.inFlight === 0 && total.pendingPromptTokens === 0) {
        this.#peerTotals.delete(key);
      }
    }
  }

  /** Removes reports from the sums that are too old. */
  #dropOutdated(now: number): void {
    this.#nextExpiryAt = Infinity;
    for (const [nodeId, { loads, sentAt }] of this.#peers) {
      const expiryAt = sentAt + PEER_LOAD_TTL_MS;
      if (now <= expiryAt) {
        this.#nextExpiryAt = Math.min(this.#nextExpiryAt, expiryAt);
        continue;
      }
      this.#addToTotals(loads, -1);
      this.#peers.delete(nodeId);
    }
  }

  /**
   * Loads of this process to report to peers, without upstreams that are idle and
   * sent no event recently.
   */
  localLoads(now: number): LoadStatus[] {
    const loads: LoadStatus[] = [];
    for (const [key, load] of this.#local) {
      const silentMs = load.lastEventAt === undefined
        ? -1
        : now - load.lastEventAt;
      if (load.inFlight === 0 && (silentMs < 0 || silentMs > 500)) continue;
      loads.push({
        key,
        inFlight: load.inFlight,
        pendingPromptTokens: load.pendingPromptTokens,
        silentMs,
      });
    }
    return loads;
  }

  /** Drops upstreams that were idle for long, and outdated reports of peers. */
  expire(now: number): void {
    for (const [key, load] of this.#local) {
      // An upstream that has sent no event counts as idle.
      const isIdle = now - (load.lastEventAt ?? now - 60_000) > 30_000;
      if (load.inFlight === 0 && isIdle) this.#local.delete(key);
    }
    this.#dropOutdated(now);
    for (const [key, at] of this.#peerEventAt) {
      if (now - at > EVENT_TTL_MS) this.#peerEventAt.delete(key);
    }
  }
}
