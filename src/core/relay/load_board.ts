/**
 * Work on each upstream: this process's own, and its peers' as last told.
 *
 * @module
 */
import type { LoadNews } from "../gossip/messages.ts";

/** Work that peers told of this long ago is not counted any more. */
const PEER_LOAD_TTL_MS = 1_000;

/** Work of one process on one upstream. */
export interface OwnLoad {
  inFlight: number;
  /** Prompt tokens of requests without a first event. */
  reading: number;
  /** Monotonic time of the last event; undefined before the first. */
  lastEventAt: number | undefined;
}

/** Work of all processes on one upstream. */
export interface TotalLoad {
  readonly inFlight: number;
  readonly reading: number;
}

interface PeerLoad {
  readonly news: ReadonlyMap<string, LoadNews>;
  /** When the peer said so. */
  readonly saidAt: number;
  /** Moment that `silentMs` is as of. */
  readonly heardAt: number;
}

/** Adds up work on upstreams. */
export class LoadBoard {
  readonly #own = new Map<string, OwnLoad>();
  readonly #peers = new Map<string, PeerLoad>();

  /** This process's work on an upstream. */
  own(key: string): OwnLoad {
    let load = this.#own.get(key);
    if (load === undefined) {
      load = { inFlight: 0, reading: 0, lastEventAt: undefined };
      this.#own.set(key, load);
    }
    return load;
  }

  /** Takes what a peer said `ageMs` ago. */
  peerSays(
    node: string,
    loads: readonly LoadNews[],
    heardAt: number,
    ageMs: number,
  ): void {
    const news = new Map(loads.map((load) => [load.key, load]));
    this.#peers.set(node, { news, heardAt, saidAt: heardAt - ageMs });
  }

  /** Work of all processes on an upstream. */
  total(key: string, now: number): TotalLoad {
    const own = this.#own.get(key);
    let inFlight = own?.inFlight ?? 0;
    let reading = own?.reading ?? 0;
    for (const peer of this.#peers.values()) {
      if (now - peer.saidAt > PEER_LOAD_TTL_MS) continue;
      const load = peer.news.get(key);
      if (load === undefined) continue;
      inFlight += load.inFlight;
      reading += load.reading;
    }
    return { inFlight, reading };
  }

  /** When any process last saw an event from the upstream. */
  lastEventAt(key: string): number | undefined {
    let newest = this.#own.get(key)?.lastEventAt;
    for (const peer of this.#peers.values()) {
      const load = peer.news.get(key);
      if (load === undefined || load.silentMs < 0) continue;
      const at = peer.heardAt - load.silentMs;
      if (newest === undefined || at > newest) newest = at;
    }
    return newest;
  }

  /** This process's work, for peers. */
  news(now: number): LoadNews[] {
    const news: LoadNews[] = [];
    for (const [key, load] of this.#own) {
      const silentMs = load.lastEventAt === undefined
        ? -1
        : now - load.lastEventAt;
      if (load.inFlight === 0 && (silentMs < 0 || silentMs > 500)) continue;
      news.push({
        key,
        inFlight: load.inFlight,
        reading: load.reading,
        silentMs,
      });
    }
    return news;
  }

  /** Forgets upstreams without work whose last event is long ago. */
  expire(now: number): void {
    for (const [key, load] of this.#own) {
      const idle = now - (load.lastEventAt ?? now - 60_000) > 30_000;
      if (load.inFlight === 0 && idle) this.#own.delete(key);
    }
    for (const [node, peer] of this.#peers) {
      if (now - peer.saidAt > 10_000) this.#peers.delete(node);
    }
  }
}
