/**
 * Soak test: runs real nodes against a simulated platform and injects faults
 * from outside, planned from a seed.
 *
 * Usage: `npm run soak -- [--seed N] [--seconds S] [--processes P]
 * [--faults LIST] [--domains D] [--hosts H] [--callers C]`. Writes settings, logs
 * and the plan to `reports/soak-N`; exits with 1 when a promise is broken.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { Random } from "../src/base/random.ts";
import { SystemTimers } from "../src/base/system_timers.ts";
import { sleep } from "../src/base/timers.ts";
import { RESPONSE_MS } from "../src/standins/platform/host_standin.ts";
import {
  PlatformStandin,
  STANDIN_KEYS,
} from "../src/standins/platform/platform_standin.ts";
import { FaultProxy } from "./soak/fault_proxy.ts";
import { NodeRunner } from "./soak/node_runner.ts";
import type { Fault, FaultList } from "./soak/fault_plan.ts";
import { FAULT_LISTS, isGroupFault, planFaults } from "./soak/fault_plan.ts";
import { GroupFaults } from "./soak/group_faults.ts";
import { checkPromises } from "./soak/promise_checker.ts";
import { SoakCaller } from "./soak/soak_caller.ts";

const WARM_UP_MS = 6_000;
const COOL_DOWN_MS = 8_000;
/** Hosts of a soak with faults on groups report and close as late as real ones. */
const ENGINE_SETTINGS = {
  reportLagMs: 300,
  closeMs: 150,
  excusesLostMembers: true,
};
/** Longer than a node may accept keys without confirming them. */
const STORE_SILENCE_MS = 8_000;

interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly processes: number;
  readonly faults: FaultList;
  readonly domains: number;
  /** Hosts per domain. */
  readonly hosts: number;
  readonly callers: number;
}

/** One soak with one seed. */
class Soak {
  readonly #options: SoakOptions;
  readonly #timers = new SystemTimers();
  readonly #random: Random;
  readonly #platform: PlatformStandin;
  readonly #nodes: NodeRunner[] = [];
  readonly #callers: SoakCaller[] = [];
  readonly #reportFolder: string;
  #proxy: FaultProxy | undefined;
  #groupFaults: GroupFaults | undefined;
  #revokedAt: number | undefined;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#platform = new PlatformStandin(
      this.#timers,
      RESPONSE_MS,
      options.faults === "default" ? {} : ENGINE_SETTINGS,
    );
    this.#reportFolder = `reports/soak-${options.seed}`;
    mkdirSync(this.#reportFolder, { recursive: true });
  }

  /** Runs the soak; returns whether all promises held. */
  async run(): Promise<boolean> {
    const { seed, seconds, processes, faults } = this.#options;
    const { domains, hosts } = this.#options;
    const storeAddress = await this.#platform.start(domains, hosts);
    this.#proxy = new FaultProxy(this.#timers, storeAddress);
    const proxyAddress = await this.#proxy.listen();
    // The seed selects the loopback addresses of the nodes.
    const subnet = 1 + seed % 250;
    for (let i = 0; i < processes; i++) {
      const node = new NodeRunner(this.#reportFolder, i, subnet, proxyAddress);
      this.#nodes.push(node);
      node.start();
    }
    this.#groupFaults = new GroupFaults(
      this.#timers,
      this.#platform,
      this.#proxy,
      this.#nodes,
      {
        domains,
        hosts,
        modeAfterOutage: faults === "reordered" ? "reordered" : "late",
      },
    );
    await sleep(this.#timers, WARM_UP_MS);
    const durationMs = seconds * 1_000;
    const plan = planFaults(this.#random, durationMs, processes, faults);
    for (const fault of plan) process.stdout.write(`${formatFault(fault)}\n`);
    const callerRuns = this.#startCallers();
    for (const fault of plan) {
      this.#timers.after(fault.atMs, () => this.#inject(fault));
    }
    await sleep(this.#timers, seconds * 1_000 + COOL_DOWN_MS);
    for (const caller of this.#callers) caller.stop();
    await Promise.all(callerRuns);
    return this.#checkAndStop(plan);
  }

  /** Kills all nodes immediately. */
  killNodes(): void {
    for (const node of this.#nodes) node.signal("SIGKILL");
  }

  #startCallers(): Promise<void>[] {
    const urls = this.#nodes.map((node) => node.directoryUrl);
    for (let i = 0; i < this.#options.callers; i++) {
      const random = new Random(this.#options.seed * 1_000 + i);
      this.#callers.push(
        new SoakCaller(`c${i}`, this.#timers, random, urls, () => STANDIN_KEYS),
      );
    }
    return this.#callers.map((caller) => caller.run());
  }

  #inject(fault: Fault): void {
    const { timers, node } = {
      timers: this.#timers,
      node: this.#nodes[fault.node],
    };
    const whenFaultEnds = (action: () => void) =>
      timers.after(fault.forMs, action);
    const proxy = this.#proxy;
    const { kind } = fault;
    if (isGroupFault(kind)) return this.#groupFaults?.inject(kind, fault);
    switch (kind) {
      case "kill":
        node.signal("SIGKILL");
        whenFaultEnds(() => node.start());
        return;
      case "stop_gracefully":
        node.signal("SIGTERM");
        // Longer than the `shutdown_within` of the node's settings.
        timers.after(9_000, () => node.start());
        return;
      case "freeze":
        node.signal("SIGSTOP");
        whenFaultEnds(() => node.signal("SIGCONT"));
        return;
      case "store_reset":
        proxy?.resetConnections();
        return;
      case "store_delay":
      case "store_silence":
      case "store_one_way":
      case "store_refuse":
        proxy?.injectFault(PROXY_MODES[kind], fault.forMs);
        return;
      case "host_dark":
        this.#platform.engines.stopResponding(
          `i-${fault.node % 2}-${fault.host}`,
        );
        whenFaultEnds(() =>
          this.#platform.engines.restore(`i-${fault.node % 2}-${fault.host}`)
        );
        return;
      case "lose_answer":
        this.#platform.store.faults.dropNextWriteResponse = true;
        return;
      case "manifest":
        this.#platform.writeManifest();
        return;
      case "revoke":
        this.#revoke();
        return;
      case "revoke_in_silence":
        proxy?.injectFault("silence", STORE_SILENCE_MS);
        this.#revoke();
        return;
    }
  }

  /** Revokes the second customer's key; callers continue to use it. */
  #revoke(): void {
    if (this.#revokedAt !== undefined) return;
    this.#platform.writeManifest([STANDIN_KEYS[0]]);
    this.#revokedAt = this.#timers.now();
  }

  /**
   * Checks the promises, stops nodes and platform, and writes the report. Returns
   * whether all promises held.
   */
  #checkAndStop(plan: readonly Fault[]): boolean {
    const results = this.#callers.flatMap((caller) => caller.results);
    const problems = checkPromises({
      results,
      journal: this.#platform.journal,
      breaches: this.#platform.engines.breaches,
      revokedKeyOwner: "customer-1",
      revokedKey: STANDIN_KEYS[1],
      revokedAt: this.#revokedAt,
      storeFaultPeriods: this.#proxy?.faultPeriods ?? [],
      unexpectedExits: this.#nodes.reduce(
        (n, node) => n + node.unexpectedExits,
        0,
      ),
      clockOffsetMs: Date.now() - this.#timers.now(),
    });
    this.killNodes();
    this.#proxy?.close();
    this.#platform.stop();
    const completeCount = results.filter((result) => result.isComplete).length;
    process.stdout.write(
      `${results.length} requests, ${completeCount} complete responses, ` +
        `${this.#platform.journal.length} runs on hosts, ` +
        `${this.#platform.engines.joinCount} joins\n`,
    );
    for (const problem of problems.slice(0, 20)) {
      process.stdout.write(`promise broken: ${problem}\n`);
    }
    writeFileSync(
      `${this.#reportFolder}/plan.json`,
      JSON.stringify({ options: this.#options, plan, problems }, null, 2),
    );
    return problems.length === 0;
  }
}

const PROXY_MODES = {
  store_delay: "delay",
  store_silence: "silence",
  store_one_way: "one_way",
  store_refuse: "refuse",
} as const;

function formatFault(fault: Fault): string {
  const { kind, atMs, forMs, node } = fault;
  return `${(atMs / 1_000).toFixed(1)} s ${kind} node-${node} ${forMs} ms`;
}

const cli = cac("soak");
cli.command("", "Run the soak test")
  .option("--seed <seed>", "Seed of the fault plan", {
    default: Date.now() % 100_000,
  })
  .option("--seconds <seconds>", "Duration of the load in seconds", {
    default: 30,
  })
  .option("--processes <processes>", "Number of node processes", { default: 4 })
  .option("--faults <list>", `One of ${Object.keys(FAULT_LISTS).join(", ")}`, {
    default: "default",
  })
  .option("--domains <domains>", "Number of fabric domains", { default: 2 })
  .option("--hosts <hosts>", "Hosts per fabric domain", { default: 9 })
  .option("--callers <callers>", "Number of callers", { default: 24 })
  .action(async (options: SoakOptions) => {
    const { seed, seconds, processes, faults } = options;
    if (!Object.hasOwn(FAULT_LISTS, faults)) {
      throw new Error(`Unknown list of faults: ${faults}`);
    }
    process.stdout.write(`seed ${seed}, ${seconds} s, ${processes} nodes\n`);
    const soak = new Soak(options);
    // Node processes must not outlive a soak that is stopped.
    process.on("exit", () => soak.killNodes());
    process.on("SIGTERM", () => process.exit(2));
    process.on("SIGINT", () => process.exit(2));
    const passed = await soak.run();
    process.stdout.write(passed ? "all promises held\n" : "promises broken\n");
    process.exit(passed ? 0 : 1);
  });
cli.help();
cli.parse();
