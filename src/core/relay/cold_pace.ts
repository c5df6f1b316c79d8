/**
 * Keeps each process to its part of what a cold host bears.
 *
 * @module
 */

const WINDOW_MS = 1_000;

/** Spaces requests to cold hosts. */
export class ColdPace {
  readonly #sent = new Map<string, number[]>();

  /** Whether one more may be sent to a host that bears so many a second. */
  mayStart(hostId: string, perSecond: number, now: number): boolean {
    const sent = this.#recent(hostId, now);
    if (perSecond >= 1) return sent.length < Math.floor(perSecond);
    const last = sent.at(-1);
    return last === undefined || now - last >= WINDOW_MS / perSecond;
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
    const keepMs = 30 * WINDOW_MS;
    while (sent.length > 0 && now - sent[0] >= keepMs) sent.shift();
    const since = now - WINDOW_MS * 1.1;
    const recent = sent.filter((at) => at > since);
    return recent.length > 0 ? recent : sent.slice(-1);
  }
}
