#!/usr/bin/env node
/**
 * The operators' command line.
 *
 * @module
 */
import process from "node:process";
import { cac } from "cac";
import { runCtlCommand } from "../ctl/commands.ts";
import type { CtlOptions } from "../ctl/commands.ts";
import { parseOrExit } from "./run_process.ts";
import { VERSION } from "./version.ts";

const cli = cac("oleanderctl");

function add(usage: string, help: string, name: string): void {
  cli.command(usage, help).action(async (...args: unknown[]) => {
    const options = args.pop() as CtlOptions;
    const words = args.map(String);
    process.exitCode = await runCtlCommand({ name, words, options });
  });
}

add("config", "Show the configuration", "config");
add("fleet", "Show hosts and replica groups", "fleet");
add("groups", "Show replica groups, a line each", "groups");
add("decisions", "Show the newest placement decisions", "decisions");
add("zone-out <zone>", "Take an availability zone out", "zone-out");
add("zone-in <zone>", "Bring an availability zone back", "zone-in");
add("apply <file>", "Apply declarations from a JSON file", "apply");
add(
  "remove <what> <name>",
  "Remove a class, model, service or customer",
  "remove",
);
add(
  "hash-key",
  "Print the digest of a key read from standard input",
  "hash-key",
);
add("order <customer> <service> <key>", "Show an order's record", "order");
add(
  "order-settle <customer> <service> <key> <state>",
  "Settle an unknown order as done or not_run",
  "order-settle",
);
cli.option("--address <ip:port>", "Administration API of any controller", {
  default: process.env.OLEANDER_ADDRESS ?? "127.0.0.1:7300",
});
cli.option("--token <token>", "Token; also read from OLEANDER_TOKEN", {
  default: process.env.OLEANDER_TOKEN ?? "",
});
cli.option("--team <team>", "Team of what is removed", { default: "platform" });
cli.option(
  "--base-revision <n>",
  "Refuse if the target changed after this revision",
);
cli.option(
  "--change-id <id>",
  "Id of the change; give the same one to try again",
);
cli.option("--json", "Print the answer as JSON");
cli.help();
cli.version(VERSION);
parseOrExit(cli);
