/**
 * Limits each process to its share of a cold host's request rate. A host is cold
 * for a time after its start, during which its service may limit the requests
 * per second that the host gets (`coldMs` and `coldPerSecond` in the catalog).
 *
 * @module
 */
import { fleetShare } from "../fleet/fleet_share.ts";

const WINDOW_MS = 1_000;

/**
 * Divides a host's request rate among processes, in whole requests per second.
 *
 * @example
 * ```ts
 * coldHostQuota(17, 34, 3); // 1: the first 17 of 34 processes send one each
 * ```
 */
export function coldHostQuota(
  perSecond: number,
  fleetSize: number,
  rank: number,
): number {
  return fleetShare(perSecond, { size: fleetSize, rank });
}

/** Rate limiter for requests to cold hosts. */
export class ColdHostLimiter {
  readonly #startTimes = new Map<string, number[]>();

  /** Returns whether a quota of requests per second allows one more. */
  isAllowed(hostId: string, quota: number, now: number): boolean {
    return this.#recentStarts(hostId, now).length < quota;
  }

  /** Records that a request was sent. */
  recordStart(hostId: string, now: number): void {
    const startTimes = this.#recentStarts(hostId, now);
    startTimes.push(now);
    this.#startTimes.set(hostId, startTimes);
  }

  /** Drops hosts without recent requests. */
  expire(now: number): void {
    for (const [id, startTimes] of this.#startTimes) {
      const last = startTimes.at(-1) ?? 0;
      if (now - last > 60_000) this.#startTimes.delete(id);
    }
  }

  #recentStarts(hostId: string, now: number): number[] {
    const startTimes = this.#startTimes.get(hostId) ?? [];
    // Slightly longer than a second: requests may arrive closer together at the
    // host than they were sent.
    const since = now - WINDOW_MS * 1.1;
    while (startTimes.length > 0 && startTimes[0] <= since) startTimes.shift();
    return startTimes;
  }
}
