/**
 * Plays loads in virtual time against this build's relay, an earlier build's and
 * an oracle.
 *
 * Usage: `node dist/tools/bench_load.js [--before DIST] [--only LOAD] [--seed N]
 * [--start-ms N] [--seconds N] [--nodes N] [--status-ms N] [--json FILE]`. Prints
 * tables in Markdown.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import type { LoadFigures } from "./load/load_figures.ts";
import { computeFigures } from "./load/load_figures.ts";
import { engineBehaviour } from "./load/load_kinds.ts";
import { drawArrivals, LOAD_SCENARIOS } from "./load/load_scenarios.ts";
import type { LoadRow } from "./load/load_table.ts";
import { renderErrorsByLoad, renderTable } from "./load/load_table.ts";
import { runOracle } from "./load/oracle_run.ts";
import { ProductRun } from "./load/product_run.ts";
import { RelayBuild } from "./load/relay_build.ts";

const { values } = parseArgs({
  options: {
    before: { type: "string" },
    only: { type: "string" },
    seed: { type: "string", default: "1" },
    "start-ms": { type: "string", default: "93" },
    seconds: { type: "string", default: "20" },
    nodes: { type: "string", default: "9" },
    "status-ms": { type: "string", default: "150" },
    json: { type: "string" },
  },
});

const seed = Number(values.seed);
const durationMs = Number(values.seconds) * 1_000;
const engine = engineBehaviour(Number(values["start-ms"]));
const nodes = {
  nodeCount: Number(values.nodes),
  statusIntervalMs: Number(values["status-ms"]),
};
const ownDist = join(dirname(fileURLToPath(import.meta.url)), "..");
const builds: [string, RelayBuild][] = [];
if (values.before !== undefined) {
  builds.push(["before", await RelayBuild.load(values.before)]);
}
builds.push(["after", await RelayBuild.load(ownDist)]);

const rows: LoadRow[] = [];
for (const scenario of LOAD_SCENARIOS) {
  if (values.only !== undefined && values.only !== scenario.name) continue;
  const offered = drawArrivals(scenario, engine, durationMs, seed);
  const settings = { scenario, engine, offered, durationMs, seed, ...nodes };
  const runs = new Map<string, LoadFigures>();
  for (const [name, build] of builds) {
    const run = new ProductRun(build, settings);
    runs.set(name, computeFigures(await run.run()));
  }
  runs.set("oracle", computeFigures(await runOracle(settings)));
  rows.push({ load: scenario.name, runs });
}
process.stdout.write(`${renderTable(rows)}\n${renderErrorsByLoad(rows)}`);
if (values.json !== undefined) {
  const loads = rows.map(({ load, runs }) => ({
    load,
    runs: Object.fromEntries(runs),
  }));
  writeFileSync(values.json, JSON.stringify({ settings: values, loads }));
}
