/**
 * A bounded queue of requests that wait for an upstream.
 *
 * @module
 */

/** A queued request. */
export interface QueueItem {
  readonly id: string;
  readonly customer: string;
  /** Priority of the request's class; larger values are served first. */
  readonly priority: number;
  /**
   * Monotonic time in milliseconds at which the request is dropped. For a first
   * attempt, its class's target for the first token can't be met any more then.
   */
  readonly deadline: number;
}

/** Largest number of requests that wait for one model or service. */
export const MAX_QUEUE_LENGTH = 512;

/**
 * Orders requests by class priority, then by the number of requests that their
 * customer has running or ahead in the queue, fewest first (max-min fairness),
 * then by deadline.
 */
export class FairQueue<T extends QueueItem> {
  readonly #items: T[] = [];

  /** Number of queued requests. */
  get size(): number {
    return this.#items.length;
  }

  /**
   * Adds a request. If the queue is full, removes and returns a request: among
   * those of the lowest priority, the one with the latest deadline. It may be the
   * new request.
   */
  push(item: T): T | undefined {
    this.#items.push(item);
    if (this.#items.length <= MAX_QUEUE_LENGTH) return undefined;
    let lowest = 0;
    for (let i = 1; i < this.#items.length; i++) {
      if (isEvictedBefore(this.#items[i], this.#items[lowest])) lowest = i;
    }
    return this.#items.splice(lowest, 1)[0];
  }

  /** Returns the queued requests in the order in which to serve them. */
  inOrder(running: ReadonlyMap<string, number>): T[] {
    const nextRanks = new Map<string, number>();
    const byDeadline = [...this.#items].sort((a, b) =>
      b.priority - a.priority || a.deadline - b.deadline
    );
    const ranked = byDeadline.map((item) => {
      const key = `${item.priority}|${item.customer}`;
      const rank = nextRanks.get(key) ?? (running.get(item.customer) ?? 0);
      nextRanks.set(key, rank + 1);
      return { item, rank };
    });
    ranked.sort((a, b) =>
      b.item.priority - a.item.priority || a.rank - b.rank ||
      a.item.deadline - b.item.deadline
    );
    return ranked.map((entry) => entry.item);
  }

  /**
   * Number of queued requests that are served before a new one of this
   * priority.
   */
  countAhead(priority: number): number {
    let count = 0;
    for (const item of this.#items) if (item.priority >= priority) count++;
    return count;
  }

  /** Removes a request that was dispatched or no longer waits. */
  remove(item: T): void {
    const index = this.#items.indexOf(item);
    if (index >= 0) this.#items.splice(index, 1);
  }

  /** Removes and returns requests whose deadline has passed. */
  removeExpired(now: number): T[] {
    const expired = this.#items.filter((item) => item.deadline <= now);
    for (const item of expired) this.remove(item);
    return expired;
  }
}

function isEvictedBefore(a: QueueItem, b: QueueItem): boolean {
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.deadline > b.deadline;
}
