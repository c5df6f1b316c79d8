/**
 * Measures what a gateway without requests uses in fleets of several sizes: CPU
 * time, memory and control traffic. Runs real gateway processes on loopback and
 * stops them all at the end.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import { totalmem } from "node:os";
import process from "node:process";
import { cac } from "cac";
import { SystemTimers } from "../src/base/system_timers.ts";
import { sleep } from "../src/base/timers.ts";
import type {
  FleetSize,
  GatewayStart,
  GatewayUsage,
  SizeResult,
} from "./capacity/messages.ts";
import { CapacityPlatform, PLATFORM_PORTS } from "./capacity/platform.ts";
import { fitLine } from "./capacity/line_fit.ts";

const FIRST_PORT = 20_000;
const MEASUREMENT_MS = 6_000;
const SETTLE_MS = 4_000;
/** Number of gateways that all gateways contact first. */
const SEED_COUNT = 3;
/**
 * Memory allowed for each gateway process. Together they may use half of the
 * machine's memory; larger sizes are skipped.
 */
const MB_PER_GATEWAY = 130;
const timers = new SystemTimers();

/** Three series: each varies only the gateways, the hosts or the change rate. */
const SIZES: readonly FleetSize[] = [
  { gateways: 5, hosts: 100, changesPerS: 0 },
  { gateways: 15, hosts: 100, changesPerS: 0 },
  { gateways: 30, hosts: 100, changesPerS: 0 },
  { gateways: 60, hosts: 100, changesPerS: 0 },
  { gateways: 10, hosts: 50, changesPerS: 0 },
  { gateways: 10, hosts: 100, changesPerS: 0 },
  { gateways: 10, hosts: 500, changesPerS: 0 },
  { gateways: 10, hosts: 2_000, changesPerS: 0 },
  { gateways: 10, hosts: 100, changesPerS: 1 },
  { gateways: 10, hosts: 100, changesPerS: 3 },
];

function startGateways(count: number): ChildProcess[] {
  const script =
    new URL("./capacity/gateway_role.js", import.meta.url).pathname;
  return Array.from({ length: count }, (_, i) => {
    const child = spawn(process.execPath, ["--max-semi-space-size=2", script], {
      stdio: ["ignore", "inherit", "inherit", "ipc"],
      env: { ...process.env, UV_USE_IO_URING: "0" },
    });
    const seeds = Math.min(SEED_COUNT, count);
    const start: GatewayStart = {
      index: i,
      callerPort: FIRST_PORT + 2 * i,
      peerPort: FIRST_PORT + 2 * i + 1,
      storePort: PLATFORM_PORTS.store,
      hostListPort: PLATFORM_PORTS.hostList,
      seedPorts: Array.from(
        { length: seeds },
        (_, n) => FIRST_PORT + 2 * n + 1,
      ),
    };
    child.send(start);
    return child;
  });
}

function nextMessage<T>(child: ChildProcess): Promise<T> {
  return new Promise((resolve) => child.once("message", resolve));
}

function readUsage(children: readonly ChildProcess[]): Promise<GatewayUsage[]> {
  return Promise.all(children.map((child) => {
    const usage = nextMessage<GatewayUsage>(child);
    child.send("usage");
    return usage;
  }));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, v) => sum + v, 0) / values.length;
}

/**
 * Submits changes at a fixed rate; if the rate is 0, submits them one after
 * another. Returns the seconds until each successful change was in force.
 */
async function submitChanges(
  platform: CapacityPlatform,
  changesPerS: number,
): Promise<number[]> {
  const inForceS: number[] = [];
  const count = Math.max(3, Math.round(changesPerS * MEASUREMENT_MS / 1000));
  const pauseMs = changesPerS === 0 ? 0 : 1000 / changesPerS;
  const submit = async (i: number) => {
    const startedAt = timers.now();
    const value = {
      name: `class-${i % 5}`,
      team: "capacity",
      priority: 1,
      firstTokenMs: 1_000 + i,
      betweenTokensMs: 100,
      reliabilityPercent: 95,
    };
    const changeId = `change-${startedAt}-${i}`;
    const change = {
      changeId,
      author: "capacity",
      action: { kind: "set_class", value } as const,
    };
    const res = await platform.administration.submit(change, 30_000);
    if (res.ok) inForceS.push((timers.now() - startedAt) / 1000);
  };
  const running: Promise<void>[] = [];
  for (let i = 0; i < count; i++) {
    running.push(submit(i));
    if (pauseMs === 0) await running[i];
    else await sleep(timers, pauseMs);
  }
  await Promise.all(running);
  return inForceS;
}

async function measure(size: FleetSize): Promise<SizeResult> {
  const platform = new CapacityPlatform();
  const children: ChildProcess[] = [];
  try {
    await platform.start(size.hosts);
    children.push(...startGateways(size.gateways));
    await Promise.all(children.map(nextMessage));
    await platform.admitGateways(size.gateways);
    await sleep(timers, SETTLE_MS);
    const before = await readUsage(children);
    const { reads, writes } = platform.store.requestCounts;
    const startedAt = timers.now();
    const inForceDuringMeasurementS = size.changesPerS > 0
      ? await submitChanges(platform, size.changesPerS)
      : [];
    const remainingMs = MEASUREMENT_MS - (timers.now() - startedAt);
    if (remainingMs > 0) await sleep(timers, remainingMs);
    const seconds = (timers.now() - startedAt) / 1000;
    const after = await readUsage(children);
    const requestCounts = { ...platform.store.requestCounts };
    const inForceS = inForceDuringMeasurementS.length > 0
      ? inForceDuringMeasurementS
      : await submitChanges(platform, 0);
    const perGateway = (select: (u: GatewayUsage) => number) =>
      mean(after.map((u, i) => select(u) - select(before[i]))) / seconds;
    return {
      ...size,
      // 10 ms of CPU time per second are 1%.
      cpuPercent: perGateway((u) => u.cpuMs) / 10,
      residentMb: mean(after.map((u) => u.residentBytes)) / 1_048_576,
      controlKbPerS: perGateway((u) => u.socketBytes) / 1024,
      storeReadsPerS: (requestCounts.reads - reads) / seconds,
      storeWritesPerS: (requestCounts.writes - writes) / seconds,
      inForceS,
    };
  } finally {
    for (const child of children) child.kill("SIGKILL");
    await platform.stop();
  }
}

function formatResult(r: SizeResult): string {
  const slowest = Math.max(...r.inForceS);
  return [
    String(r.gateways).padStart(8),
    String(r.hosts).padStart(7),
    String(r.changesPerS).padStart(10),
    r.cpuPercent.toFixed(2).padStart(8),
    r.residentMb.toFixed(1).padStart(8),
    r.controlKbPerS.toFixed(1).padStart(9),
    `${r.storeReadsPerS.toFixed(1)}/${r.storeWritesPerS.toFixed(1)}`.padStart(
      12,
    ),
    slowest.toFixed(2).padStart(10),
  ].join("");
}

/** Fits a line to each metric as a function of each series' variable. */
function fitSlopes(results: readonly SizeResult[]) {
  const byGateways = results.filter((r) =>
    r.hosts === 100 && r.changesPerS === 0
  );
  const byHosts = results.filter((r) =>
    r.gateways === 10 && r.changesPerS === 0
  );
  const byChanges = results.filter((r) => r.gateways === 10 && r.hosts === 100);
  const fitSeries = (
    list: readonly SizeResult[],
    x: (r: SizeResult) => number,
    y: (r: SizeResult) => number,
  ) => fitLine(list.map((r) => ({ x: x(r), y: y(r) })));
  const fitAll = (
    list: readonly SizeResult[],
    x: (r: SizeResult) => number,
  ) => ({
    cpuPercent: fitSeries(list, x, (r) => r.cpuPercent),
    residentMb: fitSeries(list, x, (r) => r.residentMb),
    controlKbPerS: fitSeries(list, x, (r) => r.controlKbPerS),
    storeReadsPerS: fitSeries(list, x, (r) => r.storeReadsPerS),
    storeWritesPerS: fitSeries(list, x, (r) => r.storeWritesPerS),
    inForceS: fitSeries(list, x, (r) => Math.max(...r.inForceS)),
  });
  return {
    perGateway: fitAll(byGateways, (r) => r.gateways),
    perHost: fitAll(byHosts, (r) => r.hosts),
    perChangePerS: fitAll(byChanges, (r) => r.changesPerS),
  };
}

async function main(
  options: { json?: string; most: number },
): Promise<void> {
  const maxGatewaysByMemory = totalmem() / 2 / 1_048_576 / MB_PER_GATEWAY;
  const maxGateways = Math.min(
    Number(options.most),
    Math.floor(maxGatewaysByMemory),
  );
  const results: SizeResult[] = [];
  process.stdout.write(
    "gateways  hosts changes/s   cpu %   RSS MB    KB/s  reads/writes in force s\n",
  );
  for (const size of SIZES) {
    if (size.gateways > maxGateways) continue;
    const result = await measure(size);
    results.push(result);
    process.stdout.write(`${formatResult(result)}\n`);
  }
  const slopes = fitSlopes(results);
  for (const [variable, lines] of Object.entries(slopes)) {
    for (
      const [metric, { slope, intercept, residual }] of Object.entries(lines)
    ) {
      const line =
        `${variable} ${metric}: ${intercept.toFixed(4)} + ${
          slope.toFixed(5)
        } x, ` +
        `largest residual ${residual.toFixed(3)}`;
      process.stdout.write(`${line}\n`);
    }
  }
  if (options.json !== undefined) {
    writeFileSync(
      options.json,
      `${JSON.stringify({ results, slopes }, null, 2)}\n`,
    );
  }
  process.exit(0);
}

const cli = cac("capacity");
cli.command("", "Measure how the control overhead grows with the fleet")
  .option("--json <file>", "Also write the results to this file")
  .option("--most <n>", "Maximum number of gateway processes", { default: 60 })
  .action(main);
cli.help();
cli.parse();
