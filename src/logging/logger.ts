/**
 * Process logs on standard error, as JSON lines or formatted for terminals.
 *
 * @module
 */
import process from "node:process";
import type { ConsolaInstance, LogObject } from "consola";
import { createConsola, LogLevels } from "consola";
import type { Decision, DecisionLog } from "../core/gateway/decision_log.ts";

/** Options of {@linkcode createLogger}. */
export interface LoggerOptions {
  readonly format: "json" | "pretty";
  readonly level: "error" | "warn" | "info" | "debug";
  /** Process name, written in each line. */
  readonly process: string;
}

/**
 * Creates a logger that writes to standard error.
 *
 * @example
 * ```ts
 * const log = createLogger({ format: "json", level: "info", process: "gw-1" });
 * ```
 */
export function createLogger(options: LoggerOptions): ConsolaInstance {
  const level = LogLevels[options.level];
  if (options.format === "pretty") {
    return createConsola({ level }).withTag(options.process);
  }
  const reporter = {
    log(entry: LogObject) {
      process.stderr.write(`${toJsonLine(entry, options.process)}\n`);
    },
  };
  return createConsola({ level, reporters: [reporter] });
}

function toJsonLine(entry: LogObject, processName: string): string {
  const [first, ...rest] = entry.args;
  const fields =
    typeof first === "object" && first !== null && !(first instanceof Error)
      ? first
      : { message: [first, ...rest].map(String).join(" ") };
  return JSON.stringify({
    time: entry.date.toISOString(),
    level: entry.type,
    process: processName,
    ...fields,
  });
}

/** Logs each decision as one line. */
export class ConsolaDecisionLog implements DecisionLog {
  readonly #log: ConsolaInstance;

  constructor(log: ConsolaInstance) {
    this.#log = log;
  }

  record(decision: Decision): void {
    // `kind` is written as `decision`.
    this.#log.info({ decision: decision.kind, ...decision, kind: undefined });
  }
}
