/** Work that peers told of this long ago is not counted any more. */
const PEER_LOAD_TTL_MS = 1_000;
/** Adds up work on upstreams. */
export class LoadBoard {
    #own = new Map();
    #peers = new Map();
    /** This process's work on an upstream. */
    own(key) {
        let load = this.#own.get(key);
        if (load === undefined) {
            load = { inFlight: 0, reading: 0, lastEventAt: undefined };
            this.#own.set(key, load);
        }
        return load;
    }
    /** Takes what a peer tells. */
    peerSays(node, loads, at) {
        const news = new Map(loads.map((load) => [load.key, load]));
        this.#peers.set(node, { news, at });
    }
    /** Work of all processes on an upstream. */
    total(key, now) {
        const own = this.#own.get(key);
        let inFlight = own?.inFlight ?? 0;
        let reading = own?.reading ?? 0;
        for (const peer of this.#peers.values()) {
            if (now - peer.at > PEER_LOAD_TTL_MS)
                continue;
            const load = peer.news.get(key);
            if (load === undefined)
                continue;
            inFlight += load.inFlight;
            reading += load.reading;
        }
        return { inFlight, reading };
    }
    /** When any process last saw an event from the upstream. */
    lastEventAt(key) {
        let newest = this.#own.get(key)?.lastEventAt;
        for (const peer of this.#peers.values()) {
            const load = peer.news.get(key);
            if (load === undefined || load.silentMs < 0)
                continue;
            const at = peer.at - load.silentMs;
            if (newest === undefined || at > newest)
                newest = at;
        }
        return newest;
    }
    /** This process's work, for peers. */
    news(now) {
        const news = [];
        for (const [key, load] of this.#own) {
            const silentMs = load.lastEventAt === undefined
                ? -1
                : now - load.lastEventAt;
            if (load.inFlight === 0 && (silentMs < 0 || silentMs > 500))
                continue;
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
    expire(now) {
        for (const [key, load] of this.#own) {
            const idle = now - (load.lastEventAt ?? now - 60_000) > 30_000;
            if (load.inFlight === 0 && idle)
                this.#own.delete(key);
        }
        for (const [node, peer] of this.#peers) {
            if (now - peer.at > 10_000)
                this.#peers.delete(node);
        }
    }
}
