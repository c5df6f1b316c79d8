/**
 * The bounded queue of requests that wait for an upstream.
 *
 * @module
 */

/** A request that waits. */
export interface Waiting {
  readonly id: string;
  readonly customer: string;
  /** Priority of the request's class; larger goes first. */
  readonly priority: number;
  /** Monotonic time after which the class target can't be met any more. */
  readonly deadline: number;
}

/** Most requests that wait for one model or service. */
export const MAX_WAITING = 512;

/**
 * Orders waiting requests by class priority, then by how few requests their
 * customer has running or been given (max-min fairness), then by deadline.
 */
export class FairQueue<T extends Waiting> {
  readonly #waiting: T[] = [];

  /** Number of requests that wait. */
  get size(): number {
    return this.#waiting.length;
  }

  /**
   * Adds a request. When the queue is full the request of the lowest priority
   * gives way and is returned; it may be the new one.
   */
  push(item: T): T | undefined {
    this.#waiting.push(item);
    if (this.#waiting.length <= MAX_WAITING) return undefined;
    let worst = 0;
    for (let i = 1; i < this.#waiting.length; i++) {
      if (worseThan(this.#waiting[i], this.#waiting[worst])) worst = i;
    }
    return this.#waiting.splice(worst, 1)[0];
  }

  /** Returns waiting requests, the one to serve first foremost. */
  inOrder(running: ReadonlyMap<string, number>): T[] {
    const turn = new Map<string, number>();
    const byDeadline = [...this.#waiting].sort((a, b) =>
      b.priority - a.priority || a.deadline - b.deadline
    );
    const ranked = byDeadline.map((item) => {
      const key = `${item.priority}|${item.customer}`;
      const nth = turn.get(key) ?? (running.get(item.customer) ?? 0);
      turn.set(key, nth + 1);
      return { item, nth };
    });
    ranked.sort((a, b) =>
      b.item.priority - a.item.priority || a.nth - b.nth ||
      a.item.deadline - b.item.deadline
    );
    return ranked.map((entry) => entry.item);
  }

  /** Number of waiting requests that go before one of this priority. */
  aheadOf(priority: number): number {
    let count = 0;
    for (const item of this.#waiting) if (item.priority >= priority) count++;
    return count;
  }

  /** Removes a request that is served or has gone. */
  remove(item: T): void {
    const at = this.#waiting.indexOf(item);
    if (at >= 0) this.#waiting.splice(at, 1);
  }

  /** Removes and returns requests whose deadline has passed. */
  takeExpired(now: number): T[] {
    const expired = this.#waiting.filter((item) => item.deadline <= now);
    for (const item of expired) this.remove(item);
    return expired;
  }
}

function worseThan(a: Waiting, b: Waiting): boolean {
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.deadline > b.deadline;
}
