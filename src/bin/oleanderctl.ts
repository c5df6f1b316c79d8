#!/usr/bin/env node
/**
 * The command line tool for operators.
 *
 * @module
 */
import process from "node:process";
import { cac } from "cac";
import { runCtlCommand } from "../ctl/commands.ts";
import type { CtlOptions } from "../ctl/commands.ts";
import { runCommandLine } from "./run_process.ts";
import { VERSION } from "./version.ts";

const cli = cac("oleanderctl");

function addCommand(usage: string, help: string, name: string): void {
  cli.command(usage, help).action(async (...args: unknown[]) => {
    const options = args.pop() as CtlOptions;
    const positionals = args.map(String);
    process.exitCode = await runCtlCommand({
      name,
      args: positionals,
      options,
    });
  });
}

addCommand("config", "Show the configuration", "config");
addCommand("fleet", "Show hosts and replica groups", "fleet");
addCommand("groups", "Show replica groups, one per line", "groups");
addCommand(
  "decisions",
  "Show the most recent placement decisions",
  "decisions",
);
addCommand("zone-out <zone>", "Take an availability zone out", "zone-out");
addCommand("zone-in <zone>", "Bring an availability zone back", "zone-in");
addCommand("apply <file>", "Apply declarations from a JSON file", "apply");
addCommand(
  "remove <what> <name>",
  "Remove a class, model, service or customer",
  "remove",
);
addCommand(
  "hash-key",
  "Print the digest of a key read from standard input",
  "hash-key",
);
addCommand(
  "order <customer> <service> <key>",
  "Show an order's record",
  "order",
);
addCommand(
  "order-settle <customer> <service> <key> <state>",
  "Settle an unknown order as done or not_run",
  "order-settle",
);
cli.option("--address <ip:port>", "Administration API of any controller", {
  default: process.env.OLEANDER_ADDRESS ?? "127.0.0.1:7300",
});
cli.option("--token <token>", "Token; defaults to OLEANDER_TOKEN", {
  default: process.env.OLEANDER_TOKEN ?? "",
});
cli.option("--team <team>", "Team that owns the object to remove", {
  default: "platform",
});
cli.option(
  "--base-revision <n>",
  "Refuse if the target changed after this revision",
);
cli.option(
  "--change-id <id>",
  "ID of the change; use the same ID to retry",
);
cli.option("--json", "Print the response as JSON");
cli.help();
cli.version(VERSION);
runCommandLine(cli);
