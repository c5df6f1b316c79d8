/**
 * Keeps each process to its part of what a cold host bears.
 *
 * @module
 */

const WINDOW_MS = 1_000;

/**
 * Divides what a host bears among processes, in whole requests a second.
 *
 * @example
 * ```ts
 * coldQuota(17, 34, 3); // 1: the first 17 of 34 processes send one each
 * ```
 */
export function coldHostQuota(
  perSecond: number,
  fleetSize: number,
  rank: number,
): number {
  const total = Math.floor(perSecond);
  const remainder = total % fleetSize;
  return Math.floor(total / fleetSize) + (rank < remainder ? 1 : 0);
}

/** Spaces requests to cold hosts. */
export class ColdHostLimiter {
  readonly #startTimes = new Map<string, number[]>();

  /** Whether one more may be startTimes, with a quota for each second. */
  isAllowed(hostId: string, quota: number, now: number): boolean {
    return this.#recentStarts(hostId, now).length < quota;
  }

  /** Notes a request that was startTimes. */
  recordStart(hostId: string, now: number): void {
    const startTimes = this.#recentStarts(hostId, now);
    startTimes.push(now);
    this.#startTimes.set(hostId, startTimes);
  }

  /** Forgets hosts that got nothing of late. */
  expire(now: number): void {
    for (const [id, startTimes] of this.#startTimes) {
      const last = startTimes.at(-1) ?? 0;
      if (now - last > 60_000) this.#startTimes.delete(id);
    }
  }

  #recentStarts(hostId: string, now: number): number[] {
    const startTimes = this.#startTimes.get(hostId) ?? [];
    // A little longer than a second: requests may arrive closer together.
    const since = now - WINDOW_MS * 1.1;
    while (startTimes.length > 0 && startTimes[0] <= since) startTimes.shift();
    return startTimes;
  }
}
