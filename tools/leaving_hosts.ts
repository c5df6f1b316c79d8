/**
 * Runs real nodes, and lets hosts leave while the store is silent for some of them.
 *
 * Usage: `node dist/tools/leaving_hosts.js [--seed N] [--nodes N] [--rounds N]`.
 * Writes settings and logs to `reports/leaving-N`; exits with 1 if a node that
 * nothing was done to sent a request to a leaving host too late.
 *
 * @module
 */
import { mkdirSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { Agent, request } from "undici";
import { Random } from "../src/base/random.ts";
import { SystemTimers } from "../src/base/system_timers.ts";
import { sleep } from "../src/base/timers.ts";
import { LEADER_KEY } from "../src/core/fleet/leader_lease.ts";
import {
  PlatformStandin,
  STANDIN_KEYS,
} from "../src/standins/platform/platform_standin.ts";
import { FaultProxy } from "./soak/fault_proxy.ts";
import { NodeRunner } from "./soak/node_runner.ts";

const WARM_UP_MS = 8_000;
/** Time within which requests to a leaving host must end, as in the settings. */
const DRAIN_WITHIN_MS = 2_000;
/** A node is in touch again this long after something was done to it. */
const CONTACT_MS = 4_000;
const SILENCE_MS = 6_000;
const SILENT_SHARE = 0.35;
const FREEZE_MS = 1_200;
/** A host that leaves serves for this long. */
const SERVES_MS = 8_000;
const REQUEST_INTERVAL_MS = 60;
const HOST_COUNT = 6;

interface Options {
  readonly seed: number;
  readonly nodes: number;
  readonly rounds: number;
}

/** A node with its own way to the store. */
interface Member {
  readonly runner: NodeRunner;
  readonly proxy: FaultProxy;
  /** When something done to the node ended. */
  disturbedUntil: number;
}

class LeavingHostsRun {
  readonly #options: Options;
  readonly #timers = new SystemTimers();
  readonly #random: Random;
  readonly #platform = new PlatformStandin(this.#timers);
  readonly #agent = new Agent({ connectTimeout: 1_000 });
  readonly #members: Member[] = [];
  /** When the store acknowledged that a host leaves, by host. */
  readonly #leftAt = new Map<string, number>();
  /** Node that each request was sent to. */
  readonly #memberOf = new Map<string, Member>();
  #hostCount = 0;
  #answered = 0;
  #isStopped = false;

  constructor(options: Options) {
    this.#options = options;
    this.#random = new Random(options.seed);
  }

  /** Returns the late requests, each as a line. */
  async run(): Promise<readonly string[]> {
    await this.#start();
    const callers = this.#members.map((member) => this.#call(member));
    const late: string[] = [];
    for (let round = 0; round < this.#options.rounds; round++) {
      late.push(...await this.#playRound(round));
    }
    this.#isStopped = true;
    await Promise.all(callers);
    const total = this.#memberOf.size;
    process.stdout.write(`${total} requests, ${this.#answered} answered\n`);
    if (this.#answered === 0) late.push("no request was answered");
    return late;
  }

  killNodes(): void {
    for (const { runner } of this.#members) runner.signal("SIGKILL");
  }

  async #start(): Promise<void> {
    const { seed, nodes } = this.#options;
    const folder = `reports/leaving-${seed}`;
    mkdirSync(folder, { recursive: true });
    const storeAddress = await this.#platform.start(1, 1);
    for (let i = 0; i < HOST_COUNT; i++) await this.#addHost();
    for (let i = 0; i < nodes; i++) {
      const proxy = new FaultProxy(this.#timers, storeAddress);
      const address = await proxy.listen();
      const runner = new NodeRunner(folder, i, 1 + seed % 250, address);
      this.#members.push({ runner, proxy, disturbedUntil: -Infinity });
      runner.start();
    }
    await sleep(this.#timers, WARM_UP_MS);
  }

  async #addHost(): Promise<void> {
    await this.#platform.startCounter(`leaver-${this.#hostCount++}`);
  }

  /** Hosts leave shortly before and after the store goes silent for some nodes. */
  async #playRound(round: number): Promise<readonly string[]> {
    await sleep(this.#timers, 1_000 + this.#random.int(3_000));
    const first = await this.#leave();
    await sleep(this.#timers, 150);
    const affected = this.#leaderAndOthers();
    for (const member of affected) this.#silenceStore(member);
    if (round % 2 === 1) this.#freeze(affected[0]);
    await sleep(this.#timers, 50);
    const second = await this.#leave();
    const names = affected.map(({ runner }) => runner.id).join(", ");
    process.stdout.write(`round ${round}: silent for ${names}\n`);
    await sleep(this.#timers, SERVES_MS);
    return [...this.#lateRequests(first), ...this.#lateRequests(second)];
  }

  async #leave(): Promise<string> {
    const ids = Array.from(
      { length: this.#hostCount },
      (_, i) => `leaver-${i}`,
    );
    const id = this.#random.pick(ids.filter((id) => !this.#leftAt.has(id)));
    this.#platform.drainCounter(id);
    this.#leftAt.set(id, this.#timers.now());
    await this.#addHost();
    return id;
  }

  #leaderAndOthers(): readonly Member[] {
    const count = Math.round(this.#members.length * SILENT_SHARE);
    const leaderId = this.#platform.store.readValue(LEADER_KEY);
    const leader = this.#members.filter(({ runner }) => runner.id === leaderId);
    const others = this.#members
      .filter(({ runner }) => runner.id !== leaderId)
      .map((member) => ({ member, order: this.#random.float() }))
      .sort((a, b) => a.order - b.order)
      .map(({ member }) => member);
    return [...leader, ...others].slice(0, count);
  }

  #silenceStore(member: Member): void {
    member.proxy.injectFault("silence", SILENCE_MS);
    member.disturbedUntil = this.#timers.now() + SILENCE_MS;
  }

  #freeze({ runner }: Member): void {
    runner.signal("SIGSTOP");
    this.#timers.after(FREEZE_MS, () => runner.signal("SIGCONT"));
  }

  /** Requests that reached a leaving host too late, from nodes in touch. */
  #lateRequests(hostId: string): readonly string[] {
    const leftAt = this.#leftAt.get(hostId) ?? Infinity;
    return this.#platform.journal.flatMap(({ host, requestId, at }) => {
      const member = this.#memberOf.get(requestId);
      const afterMs = Math.round(at - leftAt);
      const isLate = host === hostId && afterMs > DRAIN_WITHIN_MS;
      if (member === undefined || !isLate) return [];
      if (at - member.disturbedUntil < CONTACT_MS) return [];
      return [
        `${member.runner.id} sent ${hostId} a request after ${afterMs} ms`,
      ];
    });
  }

  async #call(member: Member): Promise<void> {
    const { ip, callerPort, id } = member.runner;
    for (let i = 0; !this.#isStopped; i++) {
      const requestId = `${id}-${i}`;
      this.#memberOf.set(requestId, member);
      const status = await this.#send(`http://${ip}:${callerPort}`, requestId);
      if (status === 200) this.#answered += 1;
      await sleep(this.#timers, REQUEST_INTERVAL_MS);
    }
  }

  /** Returns the status; undefined if there was no response. */
  async #send(url: string, requestId: string): Promise<number | undefined> {
    try {
      const res = await request(`${url}/look/${requestId}`, {
        dispatcher: this.#agent,
        headers: {
          host: "album.example",
          authorization: `Token ${STANDIN_KEYS[0]}`,
          "oleanderarch-attempt-id": requestId,
          "oleanderarch-deadline-ms": "1500",
        },
        signal: AbortSignal.timeout(2_500),
      });
      await res.body.text();
      return res.statusCode;
    } catch {
      return undefined;
    }
  }
}

const cli = cac("leaving_hosts");
cli.command("", "Let hosts leave while the store is silent for some nodes")
  .option("--seed <seed>", "Seed", { default: 1 })
  .option("--nodes <nodes>", "Number of node processes", { default: 12 })
  .option("--rounds <rounds>", "Number of rounds", { default: 3 })
  .action(async (options: Options) => {
    const run = new LeavingHostsRun(options);
    // Node processes must not outlive the run.
    process.on("exit", () => run.killNodes());
    process.on("SIGTERM", () => process.exit(2));
    process.on("SIGINT", () => process.exit(2));
    const late = await run.run();
    for (const line of late.slice(0, 20)) process.stdout.write(`${line}\n`);
    process.stdout.write(`${late.length} late requests\n`);
    process.exit(late.length === 0 ? 0 : 1);
  });
cli.help();
cli.parse();
