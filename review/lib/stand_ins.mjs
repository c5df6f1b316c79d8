// Stand-ins for the platform's store, for servers of a plain service and for
// clients, and a runner for the project's own nodes. Loopback addresses only.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => performance.now();

/** Writes what was sent, answered and run, with seconds since the start. */
export class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = now();
    this.lines = [];
    writeFileSync(file, "");
  }
  say(text) {
    this.lines.push(`${((now() - this.startedAt) / 1000).toFixed(3)} ${text}\n`);
    if (this.lines.length >= 50) this.flush();
  }
  flush() {
    appendFileSync(this.file, this.lines.join(""));
    this.lines = [];
  }
}

/** Returns a number of free ports that follow one another, on an address. */
export async function freePorts(ip, count) {
  for (let tries = 0; tries < 200; tries++) {
    const first = 10_000 + Math.floor(Math.random() * 20_000);
    const servers = [];
    try {
      for (let i = 0; i < count; i++) {
        const server = net.createServer();
        await new Promise((resolve, reject) => {
          server.once("error", reject);
          server.listen(first + i, ip, resolve);
        });
        servers.push(server);
      }
      return first;
    } catch { /* another range */ } finally {
      await Promise.all(servers.map((s) => new Promise((r) => s.close(r))));
    }
  }
  throw new Error("no free ports");
}

/** A loopback network of this run: 127.A.B.0. */
export function drawSubnet() {
  const a = 10 + Math.floor(Math.random() * 200);
  const b = 1 + Math.floor(Math.random() * 250);
  return `127.${a}.${b}`;
}

const ANSWER_MS = 4;

/** The platform's store: linearizable, with leases, a history and watches. */
export class Store {
  items = new Map();
  leases = new Map();
  history = [];
  waiters = new Set();
  /** Watches that were asked for, by prefix. */
  watches = [];
  rev = 100;
  nextLease = 1;

  listen(ip) {
    this.server = http.createServer((req, res) => {
      const chunks = [];
      req.on("data", (chunk) => chunks.push(chunk));
      req.on("end", () =>
        setTimeout(() => {
          const text = Buffer.concat(chunks).toString();
          this.#handle(req, res, text === "" ? {} : JSON.parse(text));
        }, ANSWER_MS));
      req.on("error", () => {});
    });
    this.server.keepAliveTimeout = 60_000;
    this.expiry = setInterval(() => this.#expire(), 20);
    return new Promise((resolve) =>
      this.server.listen(0, ip, () =>
        resolve(`${ip}:${this.server.address().port}`)));
  }
  close() {
    clearInterval(this.expiry);
    this.server.close();
    this.server.closeAllConnections();
  }
  /** Writes a key as the operator or a server does; returns the revision. */
  put(key, value, lease = 0) {
    const rev = ++this.rev;
    const known = this.items.get(key);
    const text = Buffer.from(typeof value === "string" ? value : JSON.stringify(value));
    const item = { key, value: text.toString("base64"), rev, created: known?.created ?? rev, lease };
    this.items.set(key, item);
    this.#publish(item);
    return rev;
  }
  remove(key) {
    if (!this.items.delete(key)) return;
    this.#publish({ key, rev: ++this.rev, tombstone: true });
  }
  #publish(event) {
    this.history.push(event);
    for (const wake of [...this.waiters]) wake(false);
  }
  #expire() {
    for (const [id, lease] of this.leases) if (lease.until <= now()) this.#end(id);
  }
  #end(id) {
    this.leases.delete(id);
    for (const item of [...this.items.values()]) if (item.lease === id) this.remove(item.key);
  }
  #handle(req, res, body) {
    const url = new URL(req.url, "http://store");
    const q = url.searchParams;
    const answer = (status, out = {}) => {
      res.writeHead(status, { "content-type": "application/json" });
      res.end(JSON.stringify(out));
    };
    const id = Number(url.pathname.split("/").at(-1));
    this.#expire();
    if (url.pathname === "/kv-key") {
      const item = this.items.get(q.get("key"));
      return item ? answer(200, { ...item, as_of: this.rev }) : answer(404);
    }
    if (url.pathname === "/kv-range") {
      const prefix = q.get("path_prefix") ?? "";
      const after = q.get("after") ?? "";
      const all = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return answer(200, { items: all.slice(0, 500), has_more: all.length > 500, as_of: this.rev });
    }
    if (url.pathname === "/kv-watch") return this.#watch(q, res, answer);
    if (url.pathname === "/kv-txn") return this.#transact(body, answer);
    if (url.pathname === "/kv-lease") {
      const lease = this.nextLease++;
      const ttlMs = Math.max(1_000, body.ttl_ms);
      this.leases.set(lease, { ttlMs, until: now() + ttlMs });
      return answer(200, { lease, ttl_ms: ttlMs });
    }
    if (url.pathname.startsWith("/kv-keep/")) {
      const lease = this.leases.get(id);
      if (lease === undefined) return answer(404);
      lease.until = now() + lease.ttlMs;
      return answer(200, { ttl_ms: lease.ttlMs });
    }
    if (url.pathname.startsWith("/kv-lease-end/")) {
      this.#end(id);
      return answer(200);
    }
    answer(404);
  }
  #watch(q, res, answer) {
    const prefix = q.get("path_prefix") ?? "";
    this.watches.push({ at: now(), prefix, waitMs: Number(q.get("wait_ms")) });
    const after = Number(q.get("after"));
    const until = now() + Math.min(30_000, Number(q.get("wait_ms")));
    const check = (isOver = false) => {
      const events = this.history.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
      if (events.length === 0 && !isOver && now() < until && !res.destroyed) return false;
      this.waiters.delete(check);
      clearTimeout(timer);
      answer(200, { events, as_of: this.rev });
      return true;
    };
    const timer = setTimeout(() => check(true), Math.max(0, until - now()));
    if (!check()) this.waiters.add(check);
    res.on("close", () => {
      this.waiters.delete(check);
      clearTimeout(timer);
    });
  }
  #transact({ expected = [], puts = [], remove = [] }, answer) {
    const isMet = ({ key, rev }) => (this.items.get(key)?.rev ?? 0) === rev;
    if (!expected.every(isMet)) {
      return answer(412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) });
    }
    if (!puts.every(({ lease }) => !lease || this.leases.has(lease))) return answer(404);
    for (const { key, value, lease } of puts) {
      this.put(key, Buffer.from(value, "base64").toString(), lease ?? 0);
    }
    for (const key of remove) this.remove(key);
    answer(200, { rev: this.rev });
  }
}

/** Forwards channels to one address; open ones can be made to go silent for good. */
export class ChannelProxy {
  channels = new Set();
  constructor(target) {
    [this.ip, this.port] = target.split(":");
  }
  listen() {
    this.server = net.createServer((near) => {
      const far = net.connect(Number(this.port), this.ip);
      const channel = { near, far, isSilent: now() < (this.silentUntil ?? 0) };
      this.channels.add(channel);
      near.setNoDelay(true);
      far.setNoDelay(true);
      near.on("data", (data) => channel.isSilent || far.write(data));
      far.on("data", (data) => channel.isSilent || near.write(data));
      near.on("close", () => {
        this.channels.delete(channel);
        far.destroy();
      });
      far.on("close", () => channel.isSilent || near.destroy());
      near.on("error", () => {});
      far.on("error", () => {});
    });
    return new Promise((resolve) =>
      this.server.listen(0, this.ip, () => resolve(`${this.ip}:${this.server.address().port}`)));
  }
  /** For some time nothing passes, on open channels and on new ones. */
  turnAway(ms) {
    this.silentUntil = now() + ms;
    this.silenceOpen();
  }
  /** From now on, nothing passes on the channels that are open. */
  silenceOpen() {
    for (const channel of this.channels) channel.isSilent = true;
    return this.channels.size;
  }
  close() {
    this.server.close();
    for (const { near, far } of this.channels) {
      near.destroy();
      far.destroy();
    }
  }
}

export const HEARTBEAT_MS = 1_200;

/** One server of a plain service. `decide` may return how a request ends. */
export class PlainServer {
  constructor({ store, record, id, ip, zone, service, slots = 6, workMs = 86, decide = () => "answer", body }) {
    Object.assign(this, { store, record, id, ip, zone, service, slots, workMs, decide, body });
    this.arrivals = [];
    this.running = new Set();
    this.queue = [];
    this.port = 0;
  }
  async start() {
    this.born = Date.now();
    this.isUp = true;
    this.state = "ready";
    clearTimeout(this.expiry);
    this.sockets = new Set();
    this.server = http.createServer((req, res) => this.#receive(req, res));
    this.server.keepAliveTimeout = 30_000;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(this.port, this.ip, resolve);
    });
    this.port = this.server.address().port;
    this.announce();
  }
  announce() {
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      seq: 1,
      born: this.born,
    });
  }
  /** Reports that it will leave. */
  drain() {
    this.state = "draining";
    this.announce();
  }
  /** Ends at once: its channels are reset, and its port has no listener. */
  crash() {
    this.isUp = false;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.running.clear();
    this.queue = [];
    this.expiry = setTimeout(() => this.store.remove(`servers/${this.id}`), 3 * HEARTBEAT_MS);
  }
  /** Ends after it has drained. */
  leave() {
    this.crash();
    clearTimeout(this.expiry);
    this.store.remove(`servers/${this.id}`);
  }
  close() {
    clearTimeout(this.expiry);
    if (this.isUp) this.crash();
    clearTimeout(this.expiry);
  }
  #receive(req, res) {
    const at = now();
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("error", () => {});
    req.on("end", () => {
      const attemptId = req.headers["oleanderarch-attempt-id"];
      if (req.url === "/health") {
        res.writeHead(this.state === "ready" ? 200 : 503, { "oleanderarch-instance-id": this.id });
        return res.end();
      }
      const expected = req.headers["oleanderarch-expect-instance"];
      const headers = { "oleanderarch-attempt-id": attemptId, "oleanderarch-instance-id": this.id };
      if (expected !== undefined && expected !== this.id) {
        res.writeHead(421, headers);
        return res.end();
      }
      const run = { attemptId, path: req.url, at, wallAt: Date.now(), server: this.id, state: this.state, req, res };
      this.arrivals.push(run);
      this.record.say(`server ${this.id} (${this.state}) receives ${attemptId} ${req.method} ${req.url}`);
      if (this.queue.length >= 4 * this.slots) {
        res.writeHead(503, { ...headers, "oleanderarch-not-executed": "1" });
        return res.end();
      }
      this.queue.push({ run, headers });
      this.#next();
    });
  }
  #next() {
    while (this.running.size < this.slots && this.queue.length > 0) {
      const { run, headers } = this.queue.shift();
      if (run.res.destroyed) continue;
      this.running.add(run);
      this.record.say(`server ${this.id} runs ${run.attemptId}`);
      run.ran = true;
      if (this.decide(run, this) === "crash") {
        this.record.say(`server ${this.id} crashes as it begins ${run.attemptId}`);
        return this.crash();
      }
      const timer = setTimeout(() => this.#finish(run, headers), this.workMs * (0.6 + 0.8 * Math.random()));
      run.res.on("close", () => {
        clearTimeout(timer);
        if (this.running.delete(run)) this.#next();
      });
    }
  }
  #finish(run, headers) {
    if (!this.running.has(run)) return;
    const body = this.body ?? Buffer.alloc(800, "x");
    this.record.say(`server ${this.id} answers ${run.attemptId} 200`);
    run.done = true;
    run.res.writeHead(200, {
      ...headers,
      "oleanderarch-server-stamp": `stamp.${this.id}.${run.attemptId}`,
      "content-length": String(body.length),
    });
    run.res.end(body);
    run.res.once("finish", () => {
      if (this.running.delete(run)) this.#next();
    });
  }
}

/** The bounds of the small installation, as its settings give them. */
export const BOUNDS = {
  contact_ms: 3_000, drain_ms: 2_000, grace_s: 8, loss_slack_ms: 200, config_ms: 2_000, revoke_ms: 5_000,
  retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 136, stall_ms: 4_000, ceiling_window_s: 5, ttl_max_s: 5,
};

const DEPLOY = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
/** The command of the deploy file, split at spaces. */
const COMMAND = /^run = "(.*)"$/m.exec(DEPLOY)[1].split(" ");
const TEMPLATE = readFileSync(join(ROOT, "deploy/node.ini.tmpl"), "utf8");

/** Fills the deploy file's template in, as the platform does. */
function renderSettings(fields) {
  const get = (name) => name.split(".").reduce((value, key) => value?.[key], fields);
  return TEMPLATE
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, name, text) => get(name) === undefined ? "" : text)
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
      const value = get(name);
      return value === undefined ? "" : Array.isArray(value) ? value.join(",") : String(value);
    });
}

/** Runs the project's node as a process, with the command of the deploy file. */
export class NodeProcess {
  constructor({ record, folder, id, ip, zone, storeAddress, ports, seeds, bounds = BOUNDS }) {
    Object.assign(this, { record, id, ip, zone, ports });
    this.file = join(folder, `${id}.ini`);
    this.log = join(folder, `${id}.log`);
    writeFileSync(this.file, renderSettings({
      node: id, zone, region: "valley", ip,
      listen: { front: `${ip}:${ports}`, ready: `${ip}:${ports + 1}`, directory: `${ip}:${ports + 2}` },
      internal_ports: [ports + 3, ports + 8],
      limits: { link_mbps: "1500.0" }, seeds,
      platform: { address: storeAddress }, heartbeat_ms: HEARTBEAT_MS, bounds,
    }));
    this.exits = [];
  }
  start() {
    this.child = spawn(COMMAND[0] === "node" ? process.execPath : COMMAND[0], COMMAND.slice(1), {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, OLEANDERARCH_SETTINGS: this.file },
    });
    const { child } = this;
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (data) => appendFileSync(this.log, data));
    }
    child.on("exit", (code, signal) => {
      this.exits.push({ at: now(), code, signal });
      this.record.say(`node ${this.id} ends, code ${code}, signal ${signal}`);
      if (this.child === child) this.child = undefined;
    });
    this.record.say(`node ${this.id} starts, pid ${child.pid}`);
  }
  /**
   * Makes the process `x` times slower: it stands still for the rest of each tenth of a
   * second, which begins at `phaseMs`. Returns how to end that.
   */
  slowDown(x, phaseMs = 0) {
    this.record.say(`node ${this.id} runs ${x} times slower`);
    const TURN_MS = 100;
    const startedAt = Math.ceil(now() / TURN_MS) * TURN_MS + phaseMs;
    let turns = 0;
    let timer;
    const stop = () => {
      this.child?.kill("SIGSTOP");
      timer = setTimeout(() => {
        this.child?.kill("SIGCONT");
        turns += 1;
        timer = setTimeout(stop, Math.max(1, startedAt + turns * TURN_MS - now()));
      }, Math.max(1, startedAt + (turns + 1 - 1 / x) * TURN_MS - now()));
    };
    timer = setTimeout(stop, startedAt - now());
    return () => {
      clearTimeout(timer);
      this.child?.kill("SIGCONT");
      this.record.say(`node ${this.id} runs as before`);
    };
  }
  signal(name) {
    this.record.say(`${name} to node ${this.id}`);
    this.child?.kill(name);
  }
  /** Whether the platform's readiness probe gets a 200. */
  isReady() {
    return new Promise((resolve) => {
      const req = http.get({ host: this.ip, port: this.ports + 1, path: "/ready", agent: false, timeout: 900 }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => resolve(false));
    });
  }
}

/** Sends one client attempt; resolves to what the client saw. */
export function sendRequest({ record, agent, ip, port, method = "POST", path, host = "counter.example", key, id, deadlineMs = 1_500, body, onData, headers = {} }) {
  const sentAt = now();
  record.say(`client sends ${id} ${method} ${path} to ${ip}:${port}`);
  return new Promise((resolve) => {
    const req = http.request({
      host: ip, port, method, path, agent: agent ?? false,
      headers: {
        host, "oleanderarch-attempt-id": id, "oleanderarch-deadline-ms": String(deadlineMs),
        ...(key === undefined ? {} : { authorization: `Token ${key}` }),
        ...(body === undefined ? {} : { "content-length": String(body.length) }), ...headers,
      },
    });
    const finish = (result) => {
      record.say(`client sees ${id}: ${result.status ?? "no answer"}${result.error ? `, ${result.error}` : ""}, whole ${result.isWhole === true}`);
      resolve({ id, path, sentAt, endedAt: now(), ...result });
    };
    req.on("response", (res) => {
      let bytes = 0;
      res.on("data", (data) => {
        bytes += data.length;
        onData?.(res, data);
      });
      res.on("end", () => finish({ status: res.statusCode, isWhole: res.complete, bytes, retryAfter: res.headers["retry-after"] }));
      res.on("error", (err) => finish({ status: res.statusCode, isWhole: false, bytes, error: err.code ?? err.message }));
    });
    req.on("error", (err) => finish({ isWhole: false, error: err.code ?? err.message }));
    req.end(body);
  });
}

/** The operator's manifest for one plain service with two routes. */
export function manifest(version, { service = "counter-app", keys = ["key-desk-1"], timeoutMs = 800, routes = {} } = {}) {
  const plain = {
    host: "counter.example", timeout_ms: timeoutMs, goal_ms: 386, priority: 2, public: false, resumable: false, sticky: false, service,
  };
  return {
    version,
    routes: [
      { ...plain, name: "order-place", path_prefix: "/place/", kind: "non_idempotent", attempts: 1, ...routes.place },
      { ...plain, name: "order-look", path_prefix: "/look/", kind: "idempotent", attempts: 2, ...routes.look },
    ],
    services: [{ name: service, health: "/health", max_conns: 110, cold_s: 0, cold_per_s: 0 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "desk", keys }],
  };
}

/** A small deployment: a store, nodes and servers. `stop` ends all of it. */
export class Deployment {
  constructor(recordFile) {
    this.record = new Record(recordFile);
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.subnet = drawSubnet();
    this.servers = [];
    this.nodes = [];
    this.store = new Store();
  }
  async start({ nodeCount = 3, serverCount = 3, proxied = false, manifestOptions, server = {}, bounds = {} } = {}) {
    const storeAddress = await this.store.listen(`${this.subnet}.1`);
    /** Number of nodes, the first ones, that reach the store through the proxy. */
    const proxiedCount = proxied === true ? nodeCount : Number(proxied);
    this.proxy = proxiedCount > 0 ? new ChannelProxy(storeAddress) : undefined;
    const address = this.proxy === undefined ? storeAddress : await this.proxy.listen();
    this.store.put("op/config", manifest(3, manifestOptions));
    for (let i = 0; i < serverCount; i++) {
      const plain = new PlainServer({
        store: this.store, record: this.record, id: `i-${i}${Math.random().toString(16).slice(2, 8)}`,
        ip: `${this.subnet}.${20 + i}`, zone: `valley-${"abc"[i % 3]}`, service: "counter-app", ...server,
      });
      await plain.start();
      this.servers.push(plain);
    }
    this.ports = await freePorts(`${this.subnet}.10`, 9);
    const ips = Array.from({ length: nodeCount }, (_, i) => `${this.subnet}.${10 + i}`);
    const seeds = ips.slice(0, 3).map((ip) => `${ip}:${this.ports + 4}`);
    ips.forEach((ip, i) => {
      const node = new NodeProcess({
        record: this.record, folder: this.folder, id: `edge-valley-${"abc"[i % 3]}-${i + 1}`, ip,
        zone: `valley-${"abc"[i % 3]}`, storeAddress: i < proxiedCount ? address : storeAddress, ports: this.ports, seeds, bounds: { ...BOUNDS, ...bounds },
      });
      node.start();
      this.nodes.push(node);
    });
    const until = now() + 12_000;
    for (const node of this.nodes) {
      while (!(await node.isReady())) {
        if (now() > until || node.child === undefined) throw new Error(`${node.id} isn't ready`);
        await sleep(100);
      }
    }
    this.record.say("all nodes are ready");
    await sleep(2_000);
  }
  async stop({ keepLogs = false } = {}) {
    for (const node of this.nodes) node.child?.kill("SIGCONT");
    for (const node of this.nodes) node.child?.kill("SIGKILL");
    for (const server of this.servers) server.close();
    this.proxy?.close();
    this.store.close();
    for (let i = 0; i < 40 && this.nodes.some(({ child }) => child !== undefined); i++) await sleep(50);
    this.record.flush();
    if (!keepLogs) rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
export async function runCase(recordFile, body) {
  const deployment = new Deployment(recordFile);
  let code = 2;
  const guard = setTimeout(() => {
    deployment.record.say("the case took too long");
    deployment.stop().finally(() => process.exit(2));
  }, 110_000);
  const giveUp = (err) => {
    deployment.record.say(`the case couldn't run: ${err?.stack ?? err}`);
    deployment.stop().finally(() => process.exit(2));
  };
  process.on("uncaughtException", giveUp);
  for (const name of ["SIGINT", "SIGTERM"]) process.on(name, () => giveUp(name));
  try {
    code = await body(deployment) ? 1 : 0;
  } catch (err) {
    deployment.record.say(`the case couldn't run: ${err.stack}`);
    process.stderr.write(`${err.stack}\n`);
  }
  clearTimeout(guard);
  await deployment.stop({ keepLogs: process.env.KEEP_LOGS === "1" });
  if (process.env.KEEP_LOGS === "1") process.stdout.write(`logs: ${deployment.folder}\n`);
  process.exit(code);
}
