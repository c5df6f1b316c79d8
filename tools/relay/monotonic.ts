/**
 * The machine's monotonic clock, the same in all processes.
 *
 * @module
 */
import process from "node:process";

/** Milliseconds since the machine's start. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}
