/**
 * Measures the overhead of a gateway between client and engine, compared with a
 * plain pipe. Rounds through the gateway and through the pipe alternate. All
 * traffic stays on loopback.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { SystemTimers } from "../src/base/system_timers.ts";
import { sleep } from "../src/base/timers.ts";
import type {
  LatencySummary,
  RelayLoad,
  RelayResult,
} from "./relay/messages.ts";
import { PORTS } from "./relay/messages.ts";

const timers = new SystemTimers();
const CLIENTS = 2;
const STREAMS_PER_CLIENT = 32;
const MAX_PACED_EVENTS_PER_S = 50_000;
/** Streams that are open while memory is measured. */
const MEMORY_STREAMS = 1_000;
const ROUND_MS = 5_000;

const PACED_STREAMS_PER_CLIENT = 100;
/** Numbers of events in one write of an engine, each measured separately. */
const BATCHES = [1, 16];
const ROUTES = ["pipe", "gateway"] as const;

type Route = "pipe" | "gateway";

interface RelayReport {
  /** Events per second, by the number of events in a write. */
  readonly throughput: Record<string, Record<Route, number[]>>;
  /** Throughput of the gateway relative to the pipe, by events in a write. */
  readonly ratio: Record<string, number>;
  readonly pacedEventsPerS: number;
  /** Delay of an event at a fixed rate of `pacedEventsPerS`. */
  readonly paced: Record<Route, LatencySummary>;
  /** Difference of the percentiles in `paced`, gateway minus pipe. */
  readonly added: LatencySummary;
  /** Time to the first event of a response. */
  readonly firstToken: Record<Route, LatencySummary>;
  /** Resident memory that each open stream adds to the pipe or the gateway. */
  readonly kilobytesPerStream: Record<Route, number>;
}

/** Child processes of this run, which are all killed at its end. */
class ChildProcesses {
  readonly #children: ChildProcess[] = [];

  start(role: string, ...args: string[]): ChildProcess {
    const script = new URL("./relay/role.js", import.meta.url).pathname;
    const flags = ["--max-semi-space-size=16", script, role, ...args];
    const child = spawn(process.execPath, flags, {
      stdio: ["ignore", "inherit", "inherit", "ipc"],
    });
    this.#children.push(child);
    return child;
  }

  stopAll(): void {
    for (const child of this.#children) child.kill("SIGKILL");
  }
}

function nextMessage<T>(child: ChildProcess): Promise<T> {
  return new Promise((resolve) => child.once("message", resolve));
}

/** Sends one load to every client and collects the results. */
async function runLoad(
  clients: readonly ChildProcess[],
  load: RelayLoad,
): Promise<RelayResult[]> {
  const results = clients.map((client) => nextMessage<RelayResult>(client));
  for (const client of clients) client.send(load);
  return await Promise.all(results);
}

function eventsPerSecond(results: readonly RelayResult[]): number {
  return results.reduce((sum, r) => sum + r.eventsPerS, 0);
}

/** Returns the highest value of each percentile among the clients. */
function worstPercentiles(
  results: readonly RelayResult[],
  select: (r: RelayResult) => LatencySummary,
): LatencySummary {
  const summaries = results.map(select);
  return {
    p50: Math.max(...summaries.map((s) => s.p50)),
    p95: Math.max(...summaries.map((s) => s.p95)),
    p99: Math.max(...summaries.map((s) => s.p99)),
  };
}

function residentKilobytes(child: ChildProcess): number {
  const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
}

function portOf(route: Route): number {
  return route === "pipe" ? PORTS.pipe : PORTS.gatewayCaller;
}

async function measure(rounds: number): Promise<RelayReport> {
  const processes = new ChildProcesses();
  try {
    const engines = [0, 1].map((i) => processes.start("engine", String(i)));
    const platform = processes.start("platform");
    const relays = {
      pipe: processes.start("pipe"),
      gateway: processes.start("gateway"),
    };
    await Promise.all(
      [...engines, platform, relays.pipe, relays.gateway].map(nextMessage),
    );
    const clients = Array.from(
      { length: CLIENTS },
      () => processes.start("client"),
    );
    await Promise.all(clients.map(nextMessage));
    await warmUp(clients);
    return await measureAll(clients, relays, rounds);
  } finally {
    processes.stopAll();
  }
}

/** Runs short requests, so that the gateway treats the engines as warm. */
async function warmUp(clients: readonly ChildProcess[]): Promise<void> {
  for (const route of ["pipe", "gateway"] as const) {
    await runLoad(clients, {
      port: portOf(route),
      streams: 2,
      durationMs: 4_000,
      eventsPerStreamPerS: 0,
      eventsPerResponse: 50,
      batch: 1,
    });
  }
}

async function measureAll(
  clients: readonly ChildProcess[],
  relays: Record<Route, ChildProcess>,
  rounds: number,
): Promise<RelayReport> {
  // Memory is measured first, while the heaps are small and stable.
  const kilobytesPerStream = await measureMemory(clients, relays);
  const firstToken = await measureFirstToken(clients);
  const throughput: RelayReport["throughput"] = {};
  const ratio: Record<string, number> = {};
  for (const batch of BATCHES) {
    const rates = await measureThroughput(clients, batch, rounds);
    throughput[batch] = rates;
    ratio[batch] = median(rates.gateway) / median(rates.pipe);
  }
  const halfGatewayRate = median(throughput[BATCHES[0]].gateway) / 2;
  const pacedEventsPerS = Math.round(
    Math.min(MAX_PACED_EVENTS_PER_S, halfGatewayRate),
  );
  const paced = await measurePaced(clients, pacedEventsPerS, rounds);
  return {
    throughput,
    ratio,
    pacedEventsPerS,
    paced,
    added: {
      p50: paced.gateway.p50 - paced.pipe.p50,
      p95: paced.gateway.p95 - paced.pipe.p95,
      p99: paced.gateway.p99 - paced.pipe.p99,
    },
    firstToken,
    kilobytesPerStream,
  };
}

async function measureThroughput(
  clients: readonly ChildProcess[],
  batch: number,
  rounds: number,
): Promise<Record<Route, number[]>> {
  const rates: Record<Route, number[]> = { pipe: [], gateway: [] };
  for (let round = 0; round < rounds; round++) {
    for (const route of ROUTES) {
      const results = await runLoad(clients, {
        port: portOf(route),
        streams: STREAMS_PER_CLIENT,
        durationMs: ROUND_MS,
        eventsPerStreamPerS: 0,
        eventsPerResponse: 0,
        batch,
      });
      rates[route].push(Math.round(eventsPerSecond(results)));
    }
  }
  return rates;
}

/** Returns, for each route, the summary of the round with the median p99. */
async function measurePaced(
  clients: readonly ChildProcess[],
  eventsPerS: number,
  rounds: number,
): Promise<Record<Route, LatencySummary>> {
  const summaries: Record<Route, LatencySummary[]> = { pipe: [], gateway: [] };
  for (let round = 0; round < rounds; round++) {
    for (const route of ROUTES) {
      const results = await runLoad(clients, {
        port: portOf(route),
        streams: PACED_STREAMS_PER_CLIENT,
        durationMs: ROUND_MS,
        eventsPerStreamPerS: eventsPerS / CLIENTS / PACED_STREAMS_PER_CLIENT,
        eventsPerResponse: 0,
        batch: 1,
      });
      summaries[route].push(worstPercentiles(results, (r) => r.delayMs));
    }
  }
  const medianByP99 = (list: LatencySummary[]) =>
    [...list].sort((a, b) => a.p99 - b.p99)[Math.floor(list.length / 2)];
  return {
    pipe: medianByP99(summaries.pipe),
    gateway: medianByP99(summaries.gateway),
  };
}

async function measureFirstToken(
  clients: readonly ChildProcess[],
): Promise<Record<Route, LatencySummary>> {
  const firstToken = {} as Record<Route, LatencySummary>;
  for (const route of ROUTES) {
    const results = await runLoad(clients, {
      port: portOf(route),
      streams: 4,
      durationMs: ROUND_MS,
      eventsPerStreamPerS: 0,
      eventsPerResponse: 40,
      batch: 1,
    });
    firstToken[route] = worstPercentiles(results, (r) => r.firstEventMs);
  }
  return firstToken;
}

async function measureMemory(
  clients: readonly ChildProcess[],
  relays: Record<Route, ChildProcess>,
): Promise<Record<Route, number>> {
  const kilobytes = {} as Record<Route, number>;
  for (const route of ROUTES) {
    const before = residentKilobytes(relays[route]);
    const load = runLoad(clients, {
      port: portOf(route),
      streams: MEMORY_STREAMS / CLIENTS,
      durationMs: ROUND_MS,
      eventsPerStreamPerS: 2,
      eventsPerResponse: 0,
      batch: 1,
    });
    await sleep(timers, ROUND_MS - 500);
    kilobytes[route] = (residentKilobytes(relays[route]) - before) /
      MEMORY_STREAMS;
    await load;
  }
  return kilobytes;
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

function printReport(report: RelayReport): void {
  const formatLatency = (s: LatencySummary) =>
    `p50 ${s.p50.toFixed(2)} p95 ${s.p95.toFixed(2)} p99 ${
      s.p99.toFixed(2)
    } ms`;
  const { throughput, ratio, paced, firstToken, kilobytesPerStream } = report;
  const lines = BATCHES.map((batch) =>
    `events/s, ${batch} per write: pipe ${
      throughput[batch].pipe.join(", ")
    }; ` +
    `gateway ${throughput[batch].gateway.join(", ")}; ` +
    `ratio ${ratio[batch].toFixed(2)}`
  );
  lines.push(
    `delay at ${report.pacedEventsPerS} events/s: pipe ${
      formatLatency(paced.pipe)
    }`,
    `delay at ${report.pacedEventsPerS} events/s: gateway ${
      formatLatency(paced.gateway)
    }`,
    `added: ${formatLatency(report.added)}`,
    `first event: pipe ${formatLatency(firstToken.pipe)}`,
    `first event: gateway ${formatLatency(firstToken.gateway)}`,
    `KB per open stream: pipe ${kilobytesPerStream.pipe.toFixed(1)}, ` +
      `gateway ${kilobytesPerStream.gateway.toFixed(1)}`,
  );
  process.stdout.write(`${lines.join("\n")}\n`);
}

const cli = cac("bench-relay");
cli.command("", "Measure the overhead of the request path")
  .option("--json <file>", "Also write the results to this file")
  .option("--rounds <n>", "Number of alternating rounds", { default: 3 })
  .action(async (options: { json?: string; rounds: number }) => {
    const report = await measure(Number(options.rounds));
    printReport(report);
    if (options.json !== undefined) {
      writeFileSync(options.json, `${JSON.stringify(report, null, 2)}\n`);
    }
    process.exit(0);
  });
cli.help();
cli.parse();
