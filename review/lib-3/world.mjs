/**
 * Stand-ins for the platform's store, its servers and its clients, and processes
 * of the project's own program, on loopback and the real clock.
 */
import { spawn } from "node:child_process";
import { createSocket } from "node:dgram";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Processes that were started and have not ended. */
const children = new Set();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const name of ["SIGTERM", "SIGINT", "SIGHUP"]) {
  process.on(name, () => process.exit(2));
}
process.on("uncaughtException", (err) => {
  process.stderr.write(`${err.stack}\n`);
  process.exit(2);
});

/** Collects what was sent, answered and run, and writes it to `record.txt`. */
export class Record {
  #lines = [];
  #startedAt = performance.now();
  constructor(file) {
    this.file = file;
  }
  get ms() {
    return Math.round(performance.now() - this.#startedAt);
  }
  add(text) {
    this.#lines.push(`${String(this.ms).padStart(6)} ms  ${text}`);
  }
  save() {
    writeFileSync(this.file, this.#lines.join("\n") + "\n");
  }
}

/** A port that is free on an address, for TCP and UDP. */
export async function freePort(ip) {
  for (let i = 0; i < 50; i++) {
    const port = await new Promise((done, fail) => {
      const server = createTcpServer();
      server.once("error", fail);
      server.listen(0, ip, () => {
        const { port } = server.address();
        server.close(() => done(port));
      });
    });
    const isFree = await new Promise((done) => {
      const socket = createSocket("udp4");
      socket.once("error", () => done(false));
      socket.bind(port, ip, () => socket.close(() => done(true)));
    });
    if (isFree) return port;
  }
  throw new Error("no free port");
}

/** The platform's store, as PROTOCOL.md describes it. */
export class Store {
  #items = new Map();
  #log = [];
  #rev = 10;
  #watches = new Set();
  #leases = new Map();
  #nextLease = 100;
  #server;
  historyMs = 20_000;
  /** Called with each request before it is handled; true: no answer is given. */
  withhold = () => false;

  async start(ip = "127.0.0.1") {
    this.#server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
    await new Promise((done) => this.#server.listen(0, ip, done));
    this.address = `${ip}:${this.#server.address().port}`;
    return this.address;
  }

  stop() {
    this.#server?.close();
    this.#server?.closeAllConnections();
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
  }

  /** Writes an item as the operator or a server does; returns its revision. */
  put(key, value, lease = 0) {
    const rev = ++this.#rev;
    const created = this.#items.get(key)?.created ?? rev;
    const text = typeof value === "string"
      ? value
      : Buffer.from(JSON.stringify(value)).toString("base64");
    const item = { key, value: text, rev, created, lease };
    this.#items.set(key, item);
    this.#append({ ...item });
    return rev;
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#append({ key, rev: ++this.#rev, tombstone: true });
  }

  get(key) {
    return this.#items.get(key);
  }

  #append(event) {
    const now = Date.now();
    this.#log.push({ event, at: now });
    while (this.#log.length > 0 && now - this.#log[0].at > this.historyMs) {
      this.#log.shift();
    }
    for (const watch of [...this.#watches]) watch();
  }

  async #handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString("utf8");
    const url = new URL(req.url, "http://store");
    if (this.withhold(req, url)) return;
    const body = text === "" ? {} : JSON.parse(text);
    const send = (status, value = {}) => {
      const bytes = Buffer.from(JSON.stringify(value));
      res.writeHead(status, {
        "content-type": "application/json",
        "content-length": bytes.length,
      });
      res.end(bytes);
    };
    await sleep(4);
    const path = url.pathname;
    if (path === "/kv-key") {
      const item = this.#items.get(url.searchParams.get("key"));
      return item === undefined
        ? send(404)
        : send(200, { ...item, as_of: this.#rev });
    }
    if (path === "/kv-range") return this.#range(url, send);
    if (path === "/kv-watch") return this.#watch(url, res, send);
    if (path === "/kv-txn") return this.#txn(body, send);
    if (path === "/kv-lease") {
      const id = this.#nextLease++;
      this.#leases.set(id, { ttl: body.ttl_ms, timer: undefined });
      this.#renew(id);
      return send(200, { lease: id, ttl_ms: body.ttl_ms });
    }
    const [, verb, id] = /^\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(path) ?? [];
    const lease = this.#leases.get(Number(id));
    if (verb === undefined || lease === undefined) return send(404);
    if (verb === "kv-lease-end") this.#endLease(Number(id));
    else this.#renew(Number(id));
    send(200, { ttl_ms: lease.ttl });
  }

  #range(url, send) {
    const prefix = url.searchParams.get("path_prefix") ?? "";
    const after = url.searchParams.get("after") ?? "";
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = items.slice(0, 500);
    send(200, {
      items: page,
      has_more: page.length < items.length,
      as_of: this.#rev,
    });
  }

  #watch(url, res, send) {
    const prefix = url.searchParams.get("path_prefix") ?? "";
    const after = Number(url.searchParams.get("after"));
    const waitMs = Number(url.searchParams.get("wait_ms"));
    const now = Date.now();
    const kept = this.#log.filter(({ at }) => now - at <= this.historyMs);
    const oldest = kept[0]?.event.rev ?? this.#rev + 1;
    if (after < oldest - 1) return send(410);
    const find = () =>
      this.#log.map(({ event }) => event)
        .filter(({ key, rev }) => rev > after && key.startsWith(prefix));
    const finish = () => {
      clearTimeout(timer);
      this.#watches.delete(check);
      send(200, { events: find(), as_of: this.#rev });
    };
    const check = () => {
      if (find().length > 0) finish();
    };
    const timer = setTimeout(finish, waitMs);
    res.once("close", () => {
      clearTimeout(timer);
      this.#watches.delete(check);
    });
    this.#watches.add(check);
    check();
  }

  #txn({ expected = [], puts = [], remove = [] }, send) {
    const holds = expected.every(({ key, rev }) =>
      (this.#items.get(key)?.rev ?? 0) === rev
    );
    if (!holds) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? []);
      return send(412, { items });
    }
    const isUnknown = ({ lease }) => lease && !this.#leases.has(lease);
    if (puts.some(isUnknown)) return send(404);
    for (const { key, value, lease } of puts) this.put(key, value, lease ?? 0);
    for (const key of remove) this.remove(key);
    send(200, { rev: this.#rev });
  }

  #renew(id) {
    const lease = this.#leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#endLease(id), lease.ttl);
  }

  #endLease(id) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    for (const { key, lease } of [...this.#items.values()]) {
      if (lease === id) this.remove(key);
    }
  }
}

/** A server of a plain service; `run` answers what it runs. */
export class PlainServer {
  #server;
  /** How long the server says that it stays cold; a function of the time. */
  coldLeftMs = () => 0;

  constructor(store, { id, service, zone = "zone-a", slots = 6, run }) {
    Object.assign(this, { store, id, service, zone, slots, run });
    this.born = Date.now();
  }

  async start(ip = "127.0.0.1", port = 0) {
    this.#server = createServer((req, res) => this.#handle(req, res));
    this.#server.keepAliveTimeout = 10_000;
    await new Promise((done) => this.#server.listen(port, ip, done));
    this.address = `${ip}:${this.#server.address().port}`;
    this.announce();
    return this.address;
  }

  announce(state = "ready") {
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state,
      cold_left_ms: this.coldLeftMs(),
      seq: 1,
      born: this.born,
    });
  }

  stop() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  async #handle(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return res.destroy();
    }
    const expected = req.headers["oleanderarch-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { "oleanderarch-instance-id": this.id }).end();
      return;
    }
    if (req.url === "/health") {
      const coldMs = this.coldLeftMs();
      res.writeHead(200, {
        "oleanderarch-instance-id": this.id,
        ...(coldMs > 0 ? { "oleanderarch-cold-ms": coldMs } : {}),
      }).end();
      return;
    }
    const attemptId = req.headers["oleanderarch-attempt-id"];
    const headers = {
      "oleanderarch-attempt-id": attemptId,
      "oleanderarch-server-stamp": `stamp.${this.id}.${attemptId}`,
    };
    this.run({ req, res, attemptId, headers, body: Buffer.concat(chunks) });
  }
}

/** A manifest; routes and services as PROTOCOL.md and `fleetbench wire` show. */
export function manifest(version, routes, services, rest = {}) {
  return {
    version,
    routes: routes.map((route) => ({
      host: "album.example",
      timeout_ms: 8_000,
      goal_ms: 400,
      priority: 1,
      attempts: 1,
      public: true,
      sticky: false,
      resumable: false,
      ...route,
    })),
    services: services.map((service) => ({
      health: "/health",
      max_conns: 474,
      protocol: "h1",
      tls: false,
      cold_s: 0,
      cold_per_s: 0,
      ...service,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    ...rest,
  };
}

/** A machine of the deployment, and the process that runs there. */
export class Machine {
  #dir = mkdtempSync(join(tmpdir(), "oleander-review-"));
  #process;
  /** Called when the process has ended by itself. */
  onEnded = () => {};

  constructor({ id, ip, zone, index, record }) {
    Object.assign(this, { id, ip, zone, index, record });
  }

  /** Chooses the machine's ports; `seeds` are the IP addresses of machines. */
  async prepare(internalPort, seeds) {
    const { ip } = this;
    const ports = [];
    while (ports.length < 5) {
      const port = await freePort(ip);
      if (port !== internalPort && !ports.includes(port)) ports.push(port);
    }
    const [front, ready, directory, control, metrics] = ports;
    this.front = { host: ip, port: front };
    this.ready = { host: ip, port: ready };
    this.directory = { host: ip, port: directory };
    const values = {
      node: this.id,
      zone: this.zone,
      region: "valley",
      ip,
      "listen.front": `${ip}:${front}`,
      "listen.ready": `${ip}:${ready}`,
      "listen.directory": `${ip}:${directory}`,
      "internal_ports.0": internalPort,
      "limits.link_mbps": "1500.0",
      "limits.memory_mb": 480,
      "limits.cpu_share": 0.513,
      "limits.cores": 2,
      seeds: seeds.map((seed) => `${seed}:${control}`).join(","),
      "platform.address": this.store,
      heartbeat_ms: 1_200,
      "bounds.revoke_ms": 5_000,
      "bounds.config_ms": 2_000,
      "bounds.drain_ms": 2_000,
      "bounds.grace_s": 8,
      "bounds.stall_ms": 4_000,
      "bounds.retry_budget_ratio": 0.2,
      "bounds.budget_window_s": 10,
      "bounds.budget_slack": 136,
      "bounds.ceiling_window_s": 5,
      "bounds.ttl_max_s": 5,
    };
    const fill = (text) =>
      text.replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
        if (!(name in values)) throw new Error(`no value for ${name}`);
        return String(values[name]);
      });
    const template = readFileSync(join(ROOT, "deploy/node.ini.tmpl"), "utf8")
      .replace(
        /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
        (_, name, inner) => (name in values ? inner : ""),
      )
      .replace(/metrics_port = \d+/, `metrics_port = ${metrics}`);
    this.settings = join(this.#dir, "node.conf");
    writeFileSync(this.settings, fill(template));
  }

  /** Starts the process with the command of the deploy file. */
  start() {
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [, run] = /^run = "(.*)"$/m.exec(deploy);
    const [, ...args] = run.split(" ");
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, OLEANDERARCH_SETTINGS: this.settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#process = child;
    children.add(child);
    child.once("exit", () => children.delete(child));
    this.log = "";
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (bytes) => {
        if (this.log.length < 5_000_000) this.log += bytes;
      });
    }
    this.ended = new Promise((done) => {
      child.once("exit", (code, signal) => {
        this.record?.add(`${this.id} ended: code ${code}, signal ${signal}`);
        if (this.#process === child) this.#process = undefined;
        done({ code, signal });
      });
    });
    this.record?.add(`${this.id} starts as process ${child.pid}`);
  }

  signal(name) {
    this.record?.add(`${this.id} gets ${name}`);
    this.#process?.kill(name);
  }

  /** Waits until `GET /ready` is answered with 200. */
  async untilReady(limitMs = 10_000) {
    const end = performance.now() + limitMs;
    while (performance.now() < end) {
      if (await this.isReady()) return true;
      await sleep(50);
    }
    return false;
  }

  async isReady() {
    const { host, port } = this.ready;
    try {
      const res = await fetch(`http://${host}:${port}/ready`, {
        signal: AbortSignal.timeout(1_000),
      });
      await res.arrayBuffer();
      return res.status === 200;
    } catch {
      return false;
    }
  }

  async end() {
    const ended = this.ended;
    this.#process?.kill("SIGCONT");
    this.#process?.kill("SIGKILL");
    await ended;
    rmSync(this.#dir, { recursive: true, force: true });
  }
}

/**
 * Starts a small deployment of `count` machines; each has an address of its own.
 * `store` is the store's address, or addresses, one for each machine.
 */
export async function startMachines(count, store, record) {
  const storeOf = ({ index }) => Array.isArray(store) ? store[index] : store;
  // Other runs at the same time have other addresses.
  const subnet = `127.${10 + process.pid % 200}.${1 + (process.pid >> 8) % 200}`;
  const ips = Array.from({ length: count }, (_, i) => `${subnet}.${i + 1}`);
  const internalPort = await freePort(ips[0]);
  const machines = ips.map((ip, i) =>
    new Machine({
      id: `edge-${"abc"[i % 3]}-${i}`,
      ip,
      zone: `zone-${"abc"[i % 3]}`,
      index: i,
      record,
    })
  );
  for (const machine of machines) {
    machine.store = storeOf(machine);
    await machine.prepare(internalPort, ips.slice(0, 3));
  }
  for (const machine of machines) machine.start();
  return machines;
}

let nextId = 1;
/** An id for one client attempt. */
export function newAttemptId() {
  return `a${process.pid.toString(16)}${(nextId++).toString(16).padStart(6, "0")}`;
}
