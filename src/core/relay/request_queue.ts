/**
 * Queue of requests that wait for an upstream, ordered by priority and arrival.
 *
 * @module
 */
import type { Placement, PlacementQuery } from "./placer.ts";

/** A request that is queued for its first attempt or a retry. */
export interface QueueEntry extends PlacementQuery {
  /** Monotonic time of the request's arrival. */
  readonly arrivedAt: number;
  /** Monotonic time until which the request may be queued. */
  readonly queueDeadline: number;
  /** Scheduling priority; 0 is the highest. */
  readonly priority: number;
  onPlaced(placement: Placement & { kind: "send" }): void;
  onNotPlaced(placement: Placement, retryAfterMs: number): void;
}

/** Maximum length of the queue; beyond it, the last entry is refused. */
const MAX_QUEUED = 512;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 2_000;

/** Places requests at once, or queues them until an upstream is available. */
export class RequestQueue {
  readonly #place: (query: PlacementQuery, now: number) => Placement;
  #requests: QueueEntry[] = [];
  #isDispatching = false;

  constructor(place: (query: PlacementQuery, now: number) => Placement) {
    this.#place = place;
  }

  /** Number of queued requests. */
  get size(): number {
    return this.#requests.length;
  }

  /** Places a request at once if possible, and queues it otherwise. */
  placeOrEnqueue(request: QueueEntry, now: number): void {
    const placement = this.#place(request, now);
    if (placement.kind === "send") return request.onPlaced(placement);
    if (request.queueDeadline <= now) return this.#refuse(request, placement);
    this.#requests.push(request);
    this.#requests.sort(comparePriority);
    if (this.#requests.length > MAX_QUEUED) {
      const last = this.#requests.pop();
      if (last !== undefined) this.#refuse(last, placement);
    }
  }

  /** Removes a request whose caller disconnected or whose deadline passed. */
  remove(request: QueueEntry): void {
    const index = this.#requests.indexOf(request);
    if (index >= 0) this.#requests.splice(index, 1);
  }

  /** Places requests where possible, and refuses those queued for too long. */
  dispatch(now: number): void {
    if (this.#isDispatching || this.#requests.length === 0) return;
    this.#isDispatching = true;
    const withoutReplica = new Set<string>();
    for (const request of [...this.#requests]) {
      // Placing an earlier request may have removed this one.
      if (!this.#requests.includes(request)) continue;
      const destination = `${request.service.name}|${request.model}`;
      const isOverdue = request.queueDeadline <= now;
      if (withoutReplica.has(destination) && !isOverdue) continue;
      const placement = this.#place(request, now);
      if (placement.kind === "send") {
        this.remove(request);
        request.onPlaced(placement);
      } else if (isOverdue) {
        this.remove(request);
        this.#refuse(request, placement);
      } else if (placement.kind === "none") {
        withoutReplica.add(destination);
      }
    }
    this.#isDispatching = false;
  }

  #refuse(request: QueueEntry, placement: Placement): void {
    const excessMs = placement.kind === "full"
      ? placement.expectedMs - request.firstByteLimitMs
      : MIN_RETRY_AFTER_MS * 4;
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, excessMs),
    );
    request.onNotPlaced(placement, retryAfterMs);
  }
}

function comparePriority(a: QueueEntry, b: QueueEntry): number {
  return a.priority - b.priority || a.arrivedAt - b.arrivedAt;
}
