// Stand-in for the platform's store, as PROTOCOL.md describes it: items, ranges,
// watches, transactions and leases, in the memory of one process.
import { createServer } from "node:http";

export class Store {
  #items = new Map();
  #leases = new Map();
  #history = [];
  #waiting = new Set();
  #rev = 1;
  #nextLease = 1;
  #server;

  /** Listens on a free port of a loopback address; returns `IP:PORT`. */
  listen(ip) {
    this.#server = createServer((req, res) => {
      const chunks = [];
      req.on("data", (c) => chunks.push(c));
      req.on("end", () => this.#handle(req, res, Buffer.concat(chunks).toString()));
    });
    return new Promise((resolve) =>
      this.#server.listen(0, ip, () => resolve(`${ip}:${this.#server.address().port}`))
    );
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
  }

  /** A write by the operator or a server. `value` is text or JSON. */
  put(key, value, lease = 0) {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.#putBase64(key, Buffer.from(text).toString("base64"), lease);
    this.#notify();
    return this.#rev;
  }

  remove(key) {
    this.#remove(key);
    this.#notify();
  }

  #putBase64(key, value, lease) {
    this.#rev += 1;
    const created = this.#items.get(key)?.created ?? this.#rev;
    const item = { key, value, rev: this.#rev, created, lease };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #remove(key) {
    if (!this.#items.delete(key)) return;
    this.#rev += 1;
    this.#history.push({ key, rev: this.#rev, tombstone: true });
  }

  #notify() {
    for (const check of [...this.#waiting]) check();
  }

  #handle(req, res, text) {
    const url = new URL(req.url, "http://store");
    const body = text === "" ? {} : JSON.parse(text);
    const send = (status, value) => {
      if (res.destroyed) return;
      res.writeHead(status, { "content-type": "application/json" });
      res.end(JSON.stringify(value ?? {}));
    };
    const prefix = url.searchParams.get("path_prefix") ?? "";
    const [, call, id] = url.pathname.split("/");
    switch (call) {
      case "kv-key": {
        const item = this.#items.get(url.searchParams.get("key"));
        return item ? send(200, { ...item, as_of: this.#rev }) : send(404);
      }
      case "kv-range": {
        const after = url.searchParams.get("after") ?? "";
        const all = [...this.#items.values()]
          .filter((i) => i.key.startsWith(prefix) && i.key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        return send(200, {
          items: all.slice(0, 500),
          has_more: all.length > 500,
          as_of: this.#rev,
        });
      }
      case "kv-watch": {
        const after = Number(url.searchParams.get("after"));
        const waitMs = Math.min(30000, Number(url.searchParams.get("wait_ms")));
        const read = () =>
          this.#history.filter((e) => e.rev > after && e.key.startsWith(prefix));
        const finish = () => {
          clearTimeout(timer);
          this.#waiting.delete(check);
          send(200, { events: read(), as_of: this.#rev });
        };
        const check = () => {
          if (read().length > 0) finish();
        };
        const timer = setTimeout(finish, waitMs);
        this.#waiting.add(check);
        res.on("close", () => {
          clearTimeout(timer);
          this.#waiting.delete(check);
        });
        return check();
      }
      case "kv-txn": {
        const { expected = [], puts = [], remove = [] } = body;
        const holds = expected.every((e) => (this.#items.get(e.key)?.rev ?? 0) === e.rev);
        if (!holds) {
          const items = expected.flatMap((e) => this.#items.get(e.key) ?? []);
          return send(412, { items });
        }
        if (puts.some((p) => p.lease && !this.#leases.has(p.lease))) return send(404);
        for (const p of puts) {
          this.#putBase64(p.key, p.value, p.lease ?? 0);
          if (p.lease) this.#leases.get(p.lease).keys.add(p.key);
        }
        for (const key of remove) this.#remove(key);
        send(200, { rev: this.#rev });
        return this.#notify();
      }
      case "kv-lease": {
        const lease = this.#nextLease++;
        const ttl = Math.max(1000, body.ttl_ms);
        this.#leases.set(lease, { ttl, keys: new Set(), timer: this.#arm(lease, ttl) });
        return send(200, { lease, ttl_ms: ttl });
      }
      case "kv-keep": {
        const lease = this.#leases.get(Number(id));
        if (lease === undefined) return send(404);
        clearTimeout(lease.timer);
        lease.timer = this.#arm(Number(id), lease.ttl);
        return send(200, {});
      }
      case "kv-lease-end":
        this.#endLease(Number(id));
        return send(200, {});
    }
    send(404);
  }

  #arm(lease, ttl) {
    return setTimeout(() => this.#endLease(lease), ttl);
  }

  #endLease(id) {
    const lease = this.#leases.get(id);
    if (lease === undefined) return;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    for (const key of lease.keys) {
      if (this.#items.get(key)?.lease === id) this.#remove(key);
    }
    this.#notify();
  }
}
