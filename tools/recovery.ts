/**
 * Measures how real nodes start again after all of them ended at once.
 *
 * Usage: `node dist/tools/recovery.js [--nodes N] [--rounds N] [--bundle FILE]`.
 * Prints the median time of each step of the starts, from the start of the process,
 * and the processor time that the processes had used when all had served a request.
 * With `--bundle`, runs that file with the flags of deploy/system.toml.
 *
 * @module
 */
import { mkdirSync, readFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { Agent, request } from "undici";
import { SystemTimers } from "../src/base/system_timers.ts";
import { sleep } from "../src/base/timers.ts";
import {
  PlatformStandin,
  STANDIN_KEYS,
} from "../src/standins/platform/platform_standin.ts";
import { NodeRunner } from "./soak/node_runner.ts";

const WARM_UP_MS = 6_000;
const DOWN_MS = 700;
const HOST_COUNT = 6;
const REQUEST_INTERVAL_MS = 25;
const START_WITHIN_MS = 20_000;
/** Third octet of the nodes' addresses. */
const SUBNET = 77;

interface Options {
  readonly nodes: number;
  readonly rounds: number;
  readonly bundle?: string;
}

class RecoveryRun {
  readonly #options: Options;
  readonly #timers = new SystemTimers();
  readonly #platform = new PlatformStandin(this.#timers);
  readonly #agent = new Agent({ connectTimeout: 1_000 });
  readonly #runners: NodeRunner[] = [];
  #requestCount = 0;

  constructor(options: Options) {
    this.#options = options;
  }

  async run(): Promise<void> {
    await this.#start();
    for (let round = 0; round < this.#options.rounds; round++) {
      this.killNodes();
      await sleep(this.#timers, DOWN_MS);
      const startedAt = this.#timers.now();
      for (const runner of this.#runners) runner.start();
      const served = await Promise.all(
        this.#runners.map((runner) => this.#awaitService(runner, startedAt)),
      );
      this.#print(round, served);
      await sleep(this.#timers, WARM_UP_MS);
    }
    this.#platform.stop();
    this.#printSteps();
  }

  killNodes(): void {
    for (const runner of this.#runners) runner.signal("SIGKILL");
  }

  async #start(): Promise<void> {
    const { nodes, bundle } = this.#options;
    const folder = "reports/recovery";
    mkdirSync(folder, { recursive: true });
    const store = await this.#platform.start(2, 12);
    for (let i = 0; i < HOST_COUNT; i++) {
      await this.#platform.startCounter(`host-${i}`);
    }
    const command = bundle === undefined
      ? undefined
      : [...flagsOfDeployment(), bundle];
    for (let i = 0; i < nodes; i++) {
      const runner = new NodeRunner(folder, i, SUBNET, store, command);
      this.#runners.push(runner);
      runner.start();
    }
    await sleep(this.#timers, WARM_UP_MS);
  }

  /** Sends requests until one is served; returns the time and processor time. */
  async #awaitService(runner: NodeRunner, startedAt: number) {
    for (;;) {
      const afterMs = this.#timers.now() - startedAt;
      const isServed = await this.#isServed(runner);
      if (isServed || afterMs > START_WITHIN_MS) {
        return { afterMs, processorMs: runner.processorMs };
      }
      await sleep(this.#timers, REQUEST_INTERVAL_MS);
    }
  }

  async #isServed(runner: NodeRunner): Promise<boolean> {
    const id = `recovery-${this.#requestCount++}`;
    try {
      const res = await request(
        `http://${runner.ip}:${runner.callerPort}/look/${id}`,
        {
          dispatcher: this.#agent,
          headers: {
            host: "album.example",
            authorization: `Token ${STANDIN_KEYS[0]}`,
            "oleanderarch-attempt-id": id,
            "oleanderarch-deadline-ms": "2000",
          },
        },
      );
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false;
    }
  }

  #print(
    round: number,
    served: readonly { afterMs: number; processorMs: number }[],
  ): void {
    const after = median(served.map(({ afterMs }) => afterMs));
    const processor = median(served.map(({ processorMs }) => processorMs));
    process.stdout.write(
      `round ${round}: served after ${after} ms, ${processor} ms of processor time (medians)\n`,
    );
  }

  /** Prints the medians of all starts but the first of each node. */
  #printSteps(): void {
    const byStep = new Map<string, number[]>();
    for (const runner of this.#runners) {
      for (const fields of runner.logged("started_serving").slice(1)) {
        for (const [step, ms] of Object.entries(fields)) {
          if (typeof ms !== "number") continue;
          byStep.set(step, [...byStep.get(step) ?? [], ms]);
        }
      }
    }
    for (const [step, times] of byStep) {
      process.stdout.write(`${step.padEnd(18)} ${median(times)}\n`);
    }
  }
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return Math.round(sorted[Math.floor(sorted.length / 2)] ?? NaN);
}

/** Flags of Node.js in the command line of the deployment. */
function flagsOfDeployment(): readonly string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  return /^run = "node ((?:--\S+ )*)/m.exec(text)?.[1].trim().split(" ") ?? [];
}

const cli = cac("recovery");
cli.command("", "Measure how nodes start again after all of them ended")
  .option("--nodes <n>", "Number of nodes", { default: 6 })
  .option("--rounds <n>", "Number of times that all nodes end", { default: 2 })
  .option("--bundle <file>", "Bundle to run instead of the modules")
  .action(async (options: Options) => {
    const run = new RecoveryRun(options);
    // Node processes must not outlive the run.
    process.on("exit", () => run.killNodes());
    process.on("SIGTERM", () => process.exit(2));
    process.on("SIGINT", () => process.exit(2));
    await run.run();
    process.exit(0);
  });
cli.help();
cli.parse();
