#!/usr/bin/env node
/**
 * The benchmark binary: runs the product and the naive baseline through the same
 * events in virtual time.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import type { Variant } from "../bench/cluster.ts";
import type { Deployment } from "../bench/deployment.ts";
import { BINDERY, LUCES_CLARAS } from "../bench/deployment.ts";
import type { RunMetrics } from "../bench/run_metrics.ts";
import { runScenario } from "../bench/run_scenario.ts";
import { SCENARIOS } from "../bench/scenarios.ts";
import { runCommandLine } from "./run_process.ts";
import { VERSION } from "./version.ts";

interface BenchOptions {
  readonly deployment: string;
  readonly seed: number;
  readonly json?: string;
  readonly only?: string;
  readonly variant?: Variant;
  readonly breaches?: boolean;
}

interface ScenarioRow {
  readonly name: string;
  naive?: RunMetrics;
  product?: RunMetrics;
}

const DEPLOYMENTS: readonly Deployment[] = [BINDERY, LUCES_CLARAS];

async function runBench(options: BenchOptions): Promise<void> {
  const deployment = DEPLOYMENTS.find((d) => d.name === options.deployment);
  if (deployment === undefined) {
    const names = DEPLOYMENTS.map((d) => d.name).join(" or ");
    process.stderr.write(`--deployment must be ${names}\n`);
    process.exitCode = 2;
    return;
  }
  const seed = Number(options.seed);
  const selected = options.only?.split(",");
  const variants: readonly Variant[] = options.variant
    ? [options.variant]
    : ["naive", "product"];
  const rows: ScenarioRow[] = [];
  let breachCount = 0;
  if (options.json === undefined) process.stdout.write(`${HEADING}\n`);
  for (const scenario of SCENARIOS) {
    if (selected !== undefined && !selected.includes(scenario.name)) continue;
    const row: ScenarioRow = { name: scenario.name };
    for (const variant of variants) {
      const run = await runScenario(scenario, { deployment, variant, seed });
      row[variant] = run.metrics;
      if (variant === "product") breachCount += run.breaches.length;
      if (options.json === undefined) {
        process.stdout.write(`${formatRow(row.name, variant, run.metrics)}\n`);
      }
      if (options.breaches === true) {
        for (const { promise, at, detail } of run.breaches.slice(0, 12)) {
          process.stdout.write(`    promise ${promise} at ${at}: ${detail}\n`);
        }
      }
    }
    rows.push(row);
  }
  if (options.json !== undefined) {
    const report = { deployment: deployment.name, seed, scenarios: rows };
    writeFileSync(options.json, `${JSON.stringify(report, null, 2)}\n`);
  }
  process.exitCode = breachCount === 0 ? 0 : 1;
}

const HEADING = [
  "scenario".padEnd(26),
  "variant".padEnd(8),
  "service".padStart(8),
  "zone".padStart(8),
  "down s/h".padStart(9),
  "stranded".padStart(9),
  "not run".padStart(8),
  "unknown".padStart(8),
  "orders".padStart(12),
  "crashes".padStart(8),
  "r/w per s".padStart(10),
  " breaches",
].join("");

function formatRow(
  name: string,
  variant: string,
  metrics: RunMetrics,
): string {
  const orders =
    `${metrics.ordersRecorded}/${metrics.ordersPlaced}+${metrics.ordersDuplicated}`;
  const storeCalls = `${metrics.storeCalls.reads}/${metrics.storeCalls.writes}`;
  const breaches = Object.entries(metrics.breaches)
    .filter(([, count]) => count > 0)
    .map(([promise, count]) => `P${promise}:${count}`).join(" ");
  return [
    name.padEnd(26),
    variant.padEnd(8),
    percent(metrics.service).padStart(8),
    percent(metrics.zoneChangeService).padStart(8),
    metrics.groupDowntimeS.toFixed(0).padStart(9),
    metrics.strandedAccelerators.toFixed(2).padStart(9),
    String(metrics.notRun).padStart(8),
    String(metrics.unknown).padStart(8),
    orders.padStart(12),
    String(metrics.upstreamCrashes).padStart(8),
    storeCalls.padStart(10),
    ` ${breaches || "none"}`,
  ].join("");
}

function percent(share: number | undefined): string {
  return share === undefined ? "" : `${(share * 100).toFixed(2)}%`;
}

const cli = cac("oleander-bench");
cli.command("", "Compare the product with the baseline")
  .option("--deployment <name>", "bindery or luces-claras", {
    default: "bindery",
  })
  .option("--seed <n>", "Seed of the random number generators", { default: 1 })
  .option(
    "--json <file>",
    "Write the measures to a file instead of printing a table",
  )
  .option("--only <names>", "Scenarios to run, separated by commas")
  .option("--variant <name>", "Run only this variant: naive or product")
  .option("--breaches", "Print the first breaches of each run")
  .action((options: BenchOptions) => runBench(options));
cli.help();
cli.version(VERSION);
runCommandLine(cli);
