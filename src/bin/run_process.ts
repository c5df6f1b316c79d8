/**
 * Command line parsing of all binaries; settings and signal handling of the
 * long-running ones.
 *
 * @module
 */
import process from "node:process";
import type { ConsolaInstance } from "consola";
import { cac } from "cac";
import type { z } from "zod";
import { createLogger } from "../logging/logger.ts";
import {
  EXIT_INVALID_INPUT,
  formatProblem,
  loadSettings,
} from "../settings/settings_file.ts";
import type { LogSettings } from "../settings/gateway_settings.ts";
import { VERSION } from "./version.ts";

/** A process with a graceful shutdown. */
export interface RunnableProcess {
  start(): Promise<void>;
  shutdown(): Promise<void>;
}

/** A long-running binary: its name, settings and process. */
export interface ProcessDefinition<T extends z.ZodType> {
  readonly name: string;
  readonly schema: T;
  readonly logSettings: (settings: z.infer<T>) => LogSettings;
  readonly create: (
    settings: z.infer<T>,
    log: ConsolaInstance,
  ) => RunnableProcess;
}

/**
 * Runs a binary until SIGTERM or SIGINT.
 *
 * @example
 * ```ts
 * runProcess({ name: "oleander-gateway", schema, logSettings, create });
 * ```
 */
export function runProcess<T extends z.ZodType>(
  definition: ProcessDefinition<T>,
): void {
  const cli = cac(definition.name);
  cli.command("<settings>", "Run with the settings in an INI file")
    .option("--check", "Check the settings and exit")
    .action((file: string, options: { check?: boolean }) =>
      runWithSettings(definition, file, options.check === true)
    );
  cli.help();
  cli.version(VERSION);
  runCommandLine(cli);
}

/**
 * Parses the command line and runs its command. For an invalid command line, prints
 * the error, or the help if no command matches, and sets exit code 2.
 *
 * @example
 * ```ts
 * runCommandLine(cli);
 * ```
 */
export function runCommandLine(cli: ReturnType<typeof cac>): void {
  try {
    cli.parse(process.argv, { run: false });
    const isHelpOrVersion = cli.options.help === true ||
      cli.options.version === true;
    if (cli.matchedCommand === undefined && !isHelpOrVersion) {
      cli.outputHelp();
      process.exitCode = EXIT_INVALID_INPUT;
      return;
    }
    cli.runMatchedCommand();
  } catch (err) {
    process.stderr.write(`${cli.name}: ${(err as Error).message}\n`);
    process.exitCode = EXIT_INVALID_INPUT;
  }
}

async function runWithSettings<T extends z.ZodType>(
  definition: ProcessDefinition<T>,
  file: string,
  checkOnly: boolean,
): Promise<void> {
  const settings = loadSettings(file, definition.schema);
  if (!settings.ok) {
    for (const problem of settings.err) {
      process.stderr.write(`${formatProblem(problem)}\n`);
    }
    process.exitCode = EXIT_INVALID_INPUT;
    return;
  }
  if (checkOnly) {
    process.stdout.write(`${file}: settings are valid\n`);
    return;
  }
  const log = createLogger({
    ...definition.logSettings(settings.value),
    process: definition.name,
  });
  const runnable = definition.create(settings.value, log);
  shutDownOnSignal(runnable, log);
  try {
    await runnable.start();
    log.info({ message: "Started", settings: file });
  } catch (err) {
    log.error({ message: (err as Error).message });
    process.exit(1);
  }
}

function shutDownOnSignal(
  runnable: RunnableProcess,
  log: ConsolaInstance,
): void {
  let isShuttingDown = false;
  const shutDown = async (signal: string) => {
    if (isShuttingDown) return;
    isShuttingDown = true;
    log.info({ message: `Shutting down after ${signal}` });
    await runnable.shutdown();
    log.info({ message: "Stopped" });
    process.exit(0);
  };
  process.on("SIGTERM", () => shutDown("SIGTERM"));
  process.on("SIGINT", () => shutDown("SIGINT"));
}
