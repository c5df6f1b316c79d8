/**
 * The node binary: relay, directory and controller of one host.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import { cac } from "cac";
import { NodeProcess } from "../node/node_process.ts";
import { StartTimeline } from "../node/start_timeline.ts";
import { platformSettingsPath } from "../platform/settings_path.ts";
import { NodeSettingsSchema } from "../settings/node_settings.ts";
import {
  EXIT_INVALID_INPUT,
  formatProblem,
  loadSettings,
} from "../settings/settings_file.ts";
import { VERSION } from "./version.ts";

/** Its time counts from the start of the process. */
const timeline = new StartTimeline(() => performance.now());
timeline.mark("runtimeReady", performance.nodeTiming.bootstrapComplete);
timeline.mark("codeLoaded");

const cli = cac("oleander-node");
cli.command("[settings]", "Run with the settings in an INI file")
  .option("--check", "Check the settings and exit")
  .action((file: string | undefined, options: { check?: boolean }) =>
    run(file ?? platformSettingsPath(), options.check === true)
  );
cli.help();
cli.version(VERSION);
cli.parse();

async function run(
  file: string | undefined,
  checkOnly: boolean,
): Promise<void> {
  if (file === undefined) return fail("no settings file given");
  const settings = loadSettings(file, NodeSettingsSchema);
  if (!settings.ok) return fail(settings.err.map(formatProblem).join("\n"));
  if (checkOnly) {
    process.stdout.write(`${file}: settings are valid\n`);
    return;
  }
  timeline.mark("settingsRead");
  const node = new NodeProcess(settings.value, file, timeline);
  process.on("SIGHUP", () => node.reload());
  process.on("SIGTERM", async () => {
    await node.shutdown("SIGTERM");
    process.exit(0);
  });
  process.on("uncaughtException", (err) => {
    if (node.handleUnexpectedError(err) === "exit") process.exit(1);
  });
  try {
    await node.start();
  } catch (err) {
    // A node without its sockets must not stay listed.
    node.handleUnexpectedError(err as Error);
    process.exit(1);
  }
}

function fail(message: string): void {
  process.stderr.write(`oleander-node: ${message}\n`);
  process.exitCode = EXIT_INVALID_INPUT;
}
