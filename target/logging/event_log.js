import { createConsola, LogLevels } from "consola";
/**
 * Makes an event log that writes JSON lines into a buffer.
 *
 * @example
 * ```ts
 * const log = createEventLog("info", "node-1", new LineBuffer(timers));
 * log.info("start", { version });
 * ```
 */
export function createEventLog(level, node, buffer) {
    const logger = createConsola({
        level: LogLevels[level],
        throttle: 0,
        reporters: [{ log: (entry) => write(entry, node, buffer) }],
    });
    return {
        info: (event, fields) => logger.info({ event, fields }),
        warn: (event, fields) => logger.warn({ event, fields }),
        debug: (event, fields) => logger.debug({ event, fields }),
    };
}
function write(entry, node, buffer) {
    const [{ event, fields }] = entry.args;
    const at = entry.date.toISOString();
    buffer.push(JSON.stringify({ at, level: entry.type, node, event, ...fields }));
}
