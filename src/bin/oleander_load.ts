#!/usr/bin/env node
/**
 * The load generator binary.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { SystemTimers } from "../base/system_timers.ts";
import { LoadRun } from "../load/load_run.ts";
import { parseBenchReport, renderReport } from "../load/report.ts";
import { runCommandLine } from "./run_process.ts";
import { EXIT_INVALID_INPUT } from "../settings/settings_file.ts";
import { VERSION } from "./version.ts";

interface RunOptions {
  readonly addresses: string;
  readonly key: string;
  readonly model: string;
  readonly service?: string;
  readonly rate: number;
  readonly seconds: number;
  readonly callers: number;
  readonly json?: boolean;
}

async function runLoad(options: RunOptions): Promise<void> {
  const summary = await new LoadRun(new SystemTimers(), {
    seeds: options.addresses.split(","),
    key: options.key,
    model: options.model,
    service: options.service,
    requestsPerS: Number(options.rate),
    durationMs: Number(options.seconds) * 1000,
    callerCount: Number(options.callers),
  }, randomUUID().slice(0, 8)).run();
  if (options.json) {
    process.stdout.write(`${JSON.stringify(summary)}\n`);
  } else {
    const { sent, whole, events, firstByteMs, totalMs, byStatus } = summary;
    process.stdout.write(
      `sent ${sent}, whole ${whole}, events ${events}\n` +
        `by status ${JSON.stringify(byStatus)}\n` +
        `first byte ms ${JSON.stringify(firstByteMs)}\n` +
        `whole answer ms ${JSON.stringify(totalMs)}\n`,
    );
  }
  process.exit(summary.whole === summary.sent ? 0 : 1);
}

async function writeReport(
  file: string,
  options: { out: string },
): Promise<void> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (err) {
    process.stderr.write(`${(err as Error).message}\n`);
    process.exitCode = EXIT_INVALID_INPUT;
    return;
  }
  const parsed = parseBenchReport(text);
  if (!parsed.ok) {
    process.stderr.write(`${file}: ${parsed.err}\n`);
    process.exitCode = EXIT_INVALID_INPUT;
    return;
  }
  writeFileSync(options.out, await renderReport(parsed.value));
  process.stdout.write(`${options.out} written\n`);
}

const cli = cac("oleander-load");
cli.command("run", "Send load and check every response")
  .option("--addresses <list>", "Caller addresses of some gateways", {
    default: "127.0.0.1:7001,127.0.0.1:7002",
  })
  .option("--key <key>", "A customer's key", { default: "counter-key" })
  .option("--model <name>", "Model to request", { default: "layout-large" })
  .option(
    "--service <name>",
    "Plain service that receives a tenth of the requests, as orders",
  )
  .option("--rate <n>", "Requests per second", { default: 20 })
  .option("--seconds <n>", "Duration of the load", { default: 10 })
  .option("--callers <n>", "Callers, each with its own list of addresses", {
    default: 10,
  })
  .option("--json", "Print the summary as JSON")
  .action(runLoad);
cli.command("report <file>", "Render a bench report as an HTML page")
  .option("--out <file>", "Output file", { default: "report.html" })
  .action(writeReport);
cli.help();
cli.version(VERSION);
runCommandLine(cli);
