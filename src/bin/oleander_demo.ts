#!/usr/bin/env node
/**
 * The demo binary: runs the complete system in one process.
 *
 * @module
 */
import process from "node:process";
import { cac } from "cac";
import { SystemTimers } from "../base/system_timers.ts";
import { Demo } from "../demo/demo.ts";
import { runCommandLine } from "./run_process.ts";
import { VERSION } from "./version.ts";

const cli = cac("oleander-demo");
cli.command("", "Run the demonstration")
  .option("--seed <n>", "Varies the requests and the zone that is taken out", {
    default: 1,
  })
  .action(async (options: { seed: number }) => {
    const checks = await new Demo(new SystemTimers(), Number(options.seed))
      .run();
    process.stdout.write("\n");
    for (const { name, passed, detail } of checks) {
      const mark = passed ? "held  " : "BROKEN";
      process.stdout.write(`${mark}  ${name.padEnd(55)} ${detail}\n`);
    }
    process.exit(checks.every((check) => check.passed) ? 0 : 1);
  });
cli.help();
cli.version(VERSION);
runCommandLine(cli);
