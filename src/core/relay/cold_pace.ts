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
export function coldQuota(
  perSecond: number,
  fleetSize: number,
  rank: number,
): number {
  const total = Math.floor(perSecond);
  const rest = total % fleetSize;
  return Math.floor(total / fleetSize) + (rank < rest ? 1 : 0);
}

/** Spaces requests to cold hosts. */
export class ColdPace {
  readonly #sent = new Map<string, number[]>();

  /** Whether one more may be sent, with a quota for each second. */
  mayStart(hostId: string, quota: number, now: number): boolean {
    return this.#recent(hostId, now).length < quota;
  }

  /** Notes a request that was sent. */
  started(hostId: string, now: number): void {
    const sent = this.#recent(hostId, now);
    sent.push(now);
    this.#sent.set(hostId, sent);
  }

  /** Forgets hosts that got nothing of late. */
  expire(now: number): void {
    for (const [id, sent] of this.#sent) {
      const last = sent.at(-1) ?? 0;
      if (now - last > 60_000) this.#sent.delete(id);
    }
  }

  #recent(hostId: string, now: number): number[] {
    const sent = this.#sent.get(hostId) ?? [];
    // A little longer than a second: requests may arrive closer together.
    const since = now - WINDOW_MS * 1.1;
    while (sent.length > 0 && sent[0] <= since) sent.shift();
    return sent;
  }
}
