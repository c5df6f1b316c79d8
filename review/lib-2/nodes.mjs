// Starts the project's node with the command and the settings template of the
// deploy file, as DEPLOY.md describes them.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const ROOT = new URL("../../", import.meta.url).pathname;

/** A script that takes longer couldn't run; it may take 120 s. */
const MAX_MS = 112000;
/** Processes that run. */
const running = new Set();

// However the script ends, its processes end with it.
process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});
for (const name of ["SIGTERM", "SIGINT", "SIGHUP"]) process.on(name, () => process.exit(2));
setTimeout(() => {
  console.log(`not ended after ${MAX_MS} ms`);
  process.exit(2);
}, MAX_MS).unref();

function deployRole() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const run = /^run = "(.*)"$/m.exec(text)[1].split(" ");
  const template = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(text)[1]), "utf8");
  return { run, template };
}

function render(template, fields) {
  const get = (path) => path.split(".").reduce((v, k) => v?.[k], fields);
  const show = (v) => (v === undefined ? "" : Array.isArray(v) ? v.join(",") : String(v));
  return template
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, inner) =>
      get(path) === undefined ? "" : inner
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => show(get(path)));
}

/** Returns `count` ports that are free on a loopback address. */
export async function freePorts(ip, count) {
  const servers = await Promise.all(
    Array.from({ length: count }, () =>
      new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, ip, () => resolve(server));
      })
    ),
  );
  const ports = servers.map((s) => s.address().port);
  await Promise.all(servers.map((s) => new Promise((r) => s.close(r))));
  return ports;
}

/** A machine with one process of the project. */
export class Machine {
  constructor(index, zone, ip, ports, store, bounds = {}) {
    this.name = `edge-${zone}-${index}`;
    this.ip = ip;
    this.folder = mkdtempSync(join(tmpdir(), "review-node-"));
    const [front, ready, directory, internal, control] = ports;
    this.front = { host: ip, port: front };
    this.readyAddress = { host: ip, port: ready };
    this.directory = { host: ip, port: directory };
    const { run, template } = deployRole();
    this.command = run;
    this.settings = join(this.folder, "node.conf");
    this.log = join(this.folder, "node.log");
    writeFileSync(this.settings, render(template, {
      node: this.name,
      zone,
      region: "valley",
      ip,
      listen: {
        front: `${ip}:${front}`,
        ready: `${ip}:${ready}`,
        directory: `${ip}:${directory}`,
        control: `${ip}:${control}`,
      },
      internal_ports: [internal, internal + 15],
      limits: { link_mbps: "1500.0", cpu_share: "0.675", cores: "2" },
      seeds: bounds.seeds ?? [`${ip}:${control}`],
      platform: { address: store },
      heartbeat_ms: 1200,
      bounds: {
        revoke_ms: 5000,
        config_ms: 2000,
        drain_ms: 2000,
        grace_s: 8,
        stall_ms: 4000,
        retry_budget_ratio: 0.2,
        budget_window_s: 10,
        budget_slack: 136,
        ceiling_window_s: 5,
        ttl_max_s: 5,
      },
    }));
    /** Ends of the process: `{ at, code, signal, asked }`. */
    this.ends = [];
    this.child = undefined;
  }

  start() {
    if (this.isStopped) return;
    const log = createWriteStream(this.log, { flags: "a" });
    this.asked = undefined;
    const child = spawn(this.command[0], this.command.slice(1), {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? "C.UTF-8",
        OLEANDERARCH_SETTINGS: this.settings,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log, { end: false });
    this.child = child;
    running.add(child);
    child.on("exit", (code, signal) => {
      running.delete(child);
      this.ends.push({ at: Date.now(), code, signal, asked: this.asked });
      if (this.child === child) this.child = undefined;
      this.onEnd?.(this.ends.at(-1));
    });
  }

  signal(name, asked = name) {
    this.asked = asked;
    this.child?.kill(name);
  }

  /** Ends the process and waits for it. */
  async stop() {
    this.isStopped = true;
    const child = this.child;
    this.onEnd = undefined;
    if (child !== undefined) {
      const ended = new Promise((r) => child.once("exit", r));
      this.signal("SIGKILL", "end of the case");
      await ended;
    }
    if (process.env.KEEP_LOGS) process.stderr.write(`${this.log}\n`);
    else rmSync(this.folder, { recursive: true, force: true });
  }

  logLines(event) {
    try {
      return readFileSync(this.log, "utf8").split("\n").filter((l) => l.includes(event));
    } catch {
      return [];
    }
  }
}

/** Starts `count` machines on addresses of one loopback subnet. */
export async function startMachines(count, store, zones = ["valley-a", "valley-b", "valley-c"]) {
  const subnet = 1 + process.pid % 250;
  const ips = Array.from({ length: count }, (_, i) => `127.77.${subnet}.${10 + i}`);
  const ports = await freePorts(ips[0], 5);
  const seeds = ips.slice(0, 3).map((ip) => `${ip}:${ports[4]}`);
  const machines = ips.map((ip, i) =>
    new Machine(i + 1, zones[i % zones.length], ip, ports, store, { seeds })
  );
  for (const machine of machines) machine.start();
  return machines;
}
