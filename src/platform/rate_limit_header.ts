/**
 * Header with which a host names its rate limit.
 *
 * @module
 */
import type { StatedRateLimit } from "../ports/relay_client.ts";

const DECIMAL = /^\s*\d{1,9}(\.\d{1,9})?\s*$/;

/**
 * Parses the header of one response; undefined if it is absent.
 *
 * @example
 * ```ts
 * parseRateLimit("4.5"); // { kind: "limited", perSecond: 4.5 }
 * ```
 */
export function parseRateLimit(
  value: string | string[] | undefined,
): StatedRateLimit {
  if (value === undefined) return { kind: "unlimited" };
  if (typeof value !== "string" || !DECIMAL.test(value)) {
    return { kind: "malformed", text: String(value) };
  }
  return { kind: "limited", perSecond: Number(value) };
}
