/**
 * Load on each upstream from this process and, as last reported, from its peers.
 *
 * @module
 */
import type { LoadStatus } from "../gossip/messages.ts";

/** Age from which a peer's reported loads are ignored. */
const PEER_LOAD_TTL_MS = 1_000;

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
  readonly loads: ReadonlyMap<string, LoadStatus>;
  /** When the peer made the report. */
  readonly sentAt: number;
  /** When the report arrived; each load's `silentMs` counts back from here. */
  readonly receivedAt: number;
}

/** Tracks and adds up the load on upstreams. */
export class LoadTracker {
  readonly #local = new Map<string, LocalLoad>();
  readonly #peers = new Map<string, PeerLoads>();

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
    const loadsByKey = new Map(loads.map((load) => [load.key, load]));
    this.#peers.set(nodeId, {
      loads: loadsByKey,
      receivedAt,
      sentAt: receivedAt - ageMs,
    });
  }

  /** Load of all processes on an upstream. */
  totalLoad(key: string, now: number): TotalLoad {
    const local = this.#local.get(key);
    let inFlight = local?.inFlight ?? 0;
    let pendingPromptTokens = local?.pendingPromptTokens ?? 0;
    for (const peer of this.#peers.values()) {
      if (now - peer.sentAt > PEER_LOAD_TTL_MS) continue;
      const load = peer.loads.get(key);
      if (load === undefined) continue;
      inFlight += load.inFlight;
      pendingPromptTokens += load.pendingPromptTokens;
    }
    return { inFlight, pendingPromptTokens };
  }

  /** When any process last received an event from the upstream. */
  lastEventAt(key: string): number | undefined {
    let newest = this.#local.get(key)?.lastEventAt;
    for (const peer of this.#peers.values()) {
      const load = peer.loads.get(key);
      if (load === undefined || load.silentMs < 0) continue;
      const at = peer.receivedAt - load.silentMs;
      if (newest === undefined || at > newest) newest = at;
    }
    return newest;
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

  /** Drops upstreams that were idle for long, and peers without new reports. */
  expire(now: number): void {
    for (const [key, load] of this.#local) {
      // An upstream that has sent no event counts as idle.
      const isIdle = now - (load.lastEventAt ?? now - 60_000) > 30_000;
      if (load.inFlight === 0 && isIdle) this.#local.delete(key);
    }
    for (const [nodeId, peer] of this.#peers) {
      if (now - peer.sentAt > 10_000) this.#peers.delete(nodeId);
    }
  }
}
