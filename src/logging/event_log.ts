/**
 * The structured event log of a node, written as JSON lines: decisions, suspicions,
 * and the state of dependencies such as the store.
 *
 * @module
 */
import type { LogObject } from "consola/core";
// The whole package would load terminal code, which a node does not use.
import { createConsola, LogLevels } from "consola/core";
import type { EventFields, EventLog } from "../base/event_log.ts";
import type { LineBuffer } from "./line_buffer.ts";

/**
 * Creates an event log that writes JSON lines to a buffer.
 *
 * @example
 * ```ts
 * const log = createEventLog("info", "node-1", new LineBuffer(timers));
 * log.info("start", { version });
 * ```
 */
export function createEventLog(
  level: "error" | "warn" | "info" | "debug",
  nodeId: string,
  buffer: LineBuffer,
): EventLog {
  const logger = createConsola({
    level: LogLevels[level],
    throttle: 0,
    reporters: [{
      log: (entry: LogObject) => writeEntry(entry, nodeId, buffer),
    }],
  });
  return {
    info: (event, fields) => logger.info({ event, fields }),
    warn: (event, fields) => logger.warn({ event, fields }),
    debug: (event, fields) => logger.debug({ event, fields }),
  };
}

function writeEntry(
  entry: LogObject,
  nodeId: string,
  buffer: LineBuffer,
): void {
  const [{ event, fields }] = entry.args as [
    { event: string; fields: EventFields },
  ];
  const at = entry.date.toISOString();
  buffer.push(
    JSON.stringify({ at, level: entry.type, node: nodeId, event, ...fields }),
  );
}
