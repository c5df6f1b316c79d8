// Stand-ins for servers of the platform: plain ones, and workers that form groups.
import { createServer } from "node:http";

const sleep = (ms) => new Promise((r) => setTimeout(r, ms));

/** What servers ran, in order: `{ at, id, server, key, path, bytes }`. */
export const runs = [];

class Server {
  constructor(store, id, service, zone, slots) {
    Object.assign(this, { store, id, service, zone, slots });
    this.born = Date.now();
    this.state = "ready";
    this.server = createServer((req, res) => {
      this.handle(req, res).catch((err) => {
        if (process.env.DEBUG) console.error(err);
        res.destroy();
      });
    });
    this.server.keepAliveTimeout = 10000;
  }

  async listen(ip) {
    await new Promise((r) => this.server.listen(0, ip, r));
    this.address = `${ip}:${this.server.address().port}`;
    this.announce();
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  entry() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      seq: 1,
      born: this.born,
    };
  }

  announce() {
    this.store.put(`servers/${this.id}`, this.entry());
  }

  stamp(req) {
    return {
      "oleanderarch-attempt-id": String(req.headers["oleanderarch-attempt-id"]),
      "oleanderarch-server-stamp": `${this.id}.${req.headers["oleanderarch-attempt-id"]}`,
    };
  }

  /** Rejects what is for another server; returns whether it did. */
  rejects(req, res) {
    const expected = req.headers["oleanderarch-expect-instance"];
    if (expected === undefined || expected === this.id) return false;
    res.writeHead(421, {
      "oleanderarch-attempt-id": String(req.headers["oleanderarch-attempt-id"]),
      "oleanderarch-instance-id": this.id,
    }).end();
    return true;
  }

  record(req, bytes) {
    runs.push({
      at: Date.now(),
      id: String(req.headers["oleanderarch-attempt-id"]),
      server: this.id,
      path: req.url,
      bytes,
    });
  }
}

/** A server of a plain service. `respond(req, res, body, server)` writes the answer. */
export class PlainServer extends Server {
  constructor(store, id, service, zone, slots, respond) {
    super(store, id, service, zone, slots);
    this.respond = respond;
  }

  async handle(req, res) {
    if (this.rejects(req, res)) return;
    if (req.url === "/health") {
      res.writeHead(200, { "oleanderarch-instance-id": this.id }).end();
      return;
    }
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    this.record(req, body.length);
    await this.respond(req, res, body, this);
  }
}

/**
 * A worker of an engine. `stream(req, res, worker)` writes the answer of the head of an
 * open group.
 */
export class Worker extends Server {
  constructor(store, id, service, zone, slots, domain, stream) {
    super(store, id, service, zone, slots);
    this.domain = domain;
    this.stream = stream;
    this.seq = 0;
    this.staged = [];
    this.models = [];
    this.group = undefined;
  }

  entry() {
    return {
      ...super.entry(),
      domain: this.domain,
      staged: this.staged,
      models: this.models.map((name) => ({ name, version: 1, adapters: [] })),
      group: this.group && publicGroup(this.group),
    };
  }

  async handle(req, res) {
    if (this.rejects(req, res)) return;
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    if (req.url === "/report") {
      const { models, staged, group, born } = this.entry();
      return json(res, 200, {
        stage: "both", models, staged, group, born, busy: false, seq: this.seq,
        queued: 0, active: 0, kv_used: 0, kv_total: 1590000, handles: 0, pace: 1,
      });
    }
    if (req.url === "/order") {
      const status = this.order(JSON.parse(body.toString()));
      return json(res, status, {});
    }
    if (this.group?.rank !== 0) {
      res.writeHead(421, this.stamp(req)).end();
      return;
    }
    if (this.group.state !== "open") {
      res.writeHead(503, { ...this.stamp(req), "oleanderarch-not-executed": "1" }).end();
      return;
    }
    this.record(req, body.length);
    await this.stream(req, res, this);
  }

  order({ operation, expected, group, epoch, model, members }) {
    const isSame = this.group?.name === group && this.group?.epoch === epoch;
    if (operation === "join" && isSame) return 200;
    if (operation === "leave" && !isSame) return 200;
    if (expected !== undefined && expected !== this.seq) return 409;
    switch (operation) {
      case "join": {
        this.seq += 1;
        const current = {
          name: group, epoch, rank: members.indexOf(this.id), state: "joining", members,
        };
        this.group = current;
        this.models = [model];
        const ms = this.staged.includes(model) ? 200 : 500;
        setTimeout(() => {
          if (this.group !== current) return;
          this.staged = [model];
          current.state = "ready";
          this.announce();
        }, ms);
        this.announce();
        return 202;
      }
      case "stage":
        this.seq += 1;
        setTimeout(() => {
          this.staged = [model];
          this.announce();
        }, 500);
        return 202;
      case "open": {
        if (!isSame || this.group.state !== "ready" || this.group.rank !== 0) return 409;
        this.seq += 1;
        const current = this.group;
        setTimeout(() => {
          if (this.group !== current) return;
          current.state = "open";
          this.announce();
        }, 300);
        return 202;
      }
      case "close":
        if (!isSame) return 409;
        this.seq += 1;
        this.group.state = "ready";
        this.announce();
        return 202;
      case "leave":
        this.seq += 1;
        this.group = undefined;
        this.announce();
        return 200;
    }
    return 400;
  }
}

function publicGroup({ name, epoch, rank, state }) {
  return { name, epoch, rank, state };
}

function json(res, status, body) {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}

/** The manifest of a small deployment: a pool of workers and a plain service. */
export function manifest(version, { timeoutMs = 8000, maxBody = 4194304 } = {}) {
  const stream = {
    host: "album.example", kind: "streaming", timeout_ms: timeoutMs, goal_ms: 300,
    gap_target_ms: 300, priority: 1, attempts: 2, public: false, sticky: true,
    resumable: true, service: "pool",
  };
  const plain = {
    host: "album.example", timeout_ms: timeoutMs, goal_ms: 386, priority: 2, public: false,
    service: "counter",
  };
  return {
    version,
    routes: [
      { ...stream, name: "layout-draft", path_prefix: "/draft/" },
      { ...plain, name: "order-place", path_prefix: "/order/", kind: "non_idempotent", attempts: 1 },
      { ...plain, name: "order-look", path_prefix: "/look/", kind: "idempotent", attempts: 2 },
    ],
    services: [
      {
        name: "pool", health: "/health", max_conns: 474, cold_s: 0, cold_per_s: 0,
        engine: {
          slots: 18, kv_tokens: 1100769, stride: 7, step_ms: 5.95, per_seq_ms: 0.0445,
          context_per_k: 0.00813, read_per_s: 50700, pairs_per_m: 0.368, chunk: 2048,
          models: [
            { name: "m0", size: 4, share: 0.57, pace: 1, load_s: 16, warm_s: 1.6 },
            { name: "m1", size: 3, share: 0.43, pace: 0.6, load_s: 12, warm_s: 1.1 },
          ],
          loads_per_s: 4.5, loads_at_once: 6, usual: { prompt: 1000, answer: 175 },
          form_ms: 300, far_x: 2.5, report_lag_ms: 200,
        },
      },
      { name: "counter", health: "/health", max_conns: 110 },
    ],
    limits: {
      max_header_bytes: 16384, max_body_bytes: maxBody, header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [
      { name: "bindery", keys: ["bindery-key"] },
      { name: "desk", keys: ["desk-key"] },
    ],
  };
}

export { sleep };

/** Waits until `count` groups are open, for 25 s at most, and then for half a second. */
export async function untilOpen(workers, count) {
  const open = () => workers.filter((w) => w.group?.state === "open").length;
  for (let i = 0; i < 250 && open() < count; i++) await sleep(100);
  await sleep(500);
  return open() >= count;
}
