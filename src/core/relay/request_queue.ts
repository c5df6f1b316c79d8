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
  /** Whether an attempt was made already, so that some replicas may be excluded. */
  readonly isRetry: boolean;
  onPlaced(placement: Placement & { kind: "send" }): void;
  onNotPlaced(placement: Placement, retryAfterMs: number): void;
}

/** Maximum length of the queue; beyond it, the last entry is refused. */
const MAX_QUEUED = 512;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 2_000;
/** Covers every request. */
const NOTHING_FITS: Rejected = {
  promptTokens: 0,
  firstByteLimitMs: Infinity,
};

/**
 * A request for which no replica had room in this round. A later one for the
 * same destination that is as large and as urgent has none either.
 */
interface Rejected {
  readonly promptTokens: number;
  readonly firstByteLimitMs: number;
}

/** Places requests at once, or queues them until an upstream is available. */
export class RequestQueue {
  readonly #place: (query: PlacementQuery, now: number) => Placement;
  /** In order of priority and arrival. */
  readonly #requests: QueueEntry[] = [];
  readonly #members = new Set<QueueEntry>();
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
    this.#insert(request);
    if (this.#requests.length > MAX_QUEUED) {
      const last = this.#requests[this.#requests.length - 1];
      this.remove(last);
      this.#refuse(last, placement);
    }
  }

  /** Removes a request whose caller disconnected or whose deadline passed. */
  remove(request: QueueEntry): void {
    if (!this.#members.delete(request)) return;
    this.#requests.splice(this.#requests.indexOf(request), 1);
  }

  /** Places requests where possible, and refuses those queued for too long. */
  dispatch(now: number): void {
    if (this.#isDispatching || this.#requests.length === 0) return;
    this.#isDispatching = true;
    const rejected = new Map<string, Rejected>();
    for (const request of [...this.#requests]) {
      // Placing an earlier request may have removed this one.
      if (!this.#members.has(request)) continue;
      const destination = `${request.service.name}|${request.model}`;
      const isOverdue = request.queueDeadline <= now;
      if (!isOverdue && isCovered(request, rejected.get(destination))) continue;
      const placement = this.#place(request, now);
      if (placement.kind === "send") {
        this.remove(request);
        request.onPlaced(placement);
      } else if (isOverdue) {
        this.remove(request);
        this.#refuse(request, placement);
      } else if (!request.isRetry) {
        // Other replicas may be excluded for a retry.
        recordRejected(rejected, destination, request, placement);
      }
    }
    this.#isDispatching = false;
  }

  /** Inserts a request behind those that go before it or are equal. */
  #insert(request: QueueEntry): void {
    this.#members.add(request);
    let low = 0;
    let high = this.#requests.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (comparePriority(this.#requests[middle], request) <= 0) {
        low = middle + 1;
      } else high = middle;
    }
    this.#requests.splice(low, 0, request);
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

function recordRejected(
  rejected: Map<string, Rejected>,
  destination: string,
  { promptTokens, firstByteLimitMs }: QueueEntry,
  placement: Placement,
): void {
  if (placement.kind === "none") rejected.set(destination, NOTHING_FITS);
  else if (!rejected.has(destination)) {
    rejected.set(destination, { promptTokens, firstByteLimitMs });
  }
}

/** Whether a request can't be placed where `rejected` could not. */
function isCovered(
  request: QueueEntry,
  rejected: Rejected | undefined,
): boolean {
  return rejected !== undefined &&
    request.promptTokens >= rejected.promptTokens &&
    request.firstByteLimitMs <= rejected.firstByteLimitMs;
}

function comparePriority(a: QueueEntry, b: QueueEntry): number {
  return a.priority - b.priority || a.arrivedAt - b.arrivedAt;
}
