/**
 * Queue of requests that wait for an upstream.
 *
 * @module
 */
import type { Turn } from "../turns/mod.ts";
import { TurnOrder } from "../turns/mod.ts";
import { DispatchRound } from "./dispatch_round.ts";
import type { Placement, PlacementQuery } from "./placer.ts";
import type { CostQuery, RequestCost } from "./request_costs.ts";

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
  readonly customer: { readonly name: string } | undefined;
  readonly contract: { readonly route: { readonly goalMs: number } };
  /** Time to the first byte of the response; undefined before it. */
  readonly firstByteMs: number | undefined;
  onPlaced(placement: Placement & { kind: "send" }): void;
  onNotPlaced(placement: Placement, retryAfterMs: number): void;
}

/** What a {@linkcode RequestQueue} needs from the relay. */
export interface RequestQueueDependencies {
  place(query: PlacementQuery, now: number): Placement;
  costOf(query: CostQuery): RequestCost;
}

/** A queued request and its turn. */
interface Waiting extends Turn {
  readonly entry: QueueEntry;
}

/** Maximum length of the queue; beyond it, requests are refused. */
const MAX_QUEUED = 512;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 2_000;

/** Places requests at once, or queues them until an upstream is available. */
export class RequestQueue {
  readonly #deps: RequestQueueDependencies;
  readonly #order = new TurnOrder();
  readonly #waiting = new Map<QueueEntry, Waiting>();
  readonly #destinations = new Map<string, Set<Waiting>>();
  #isDispatching = false;

  constructor(deps: RequestQueueDependencies) {
    this.#deps = deps;
  }

  /** Number of queued requests. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Number of queued requests of each priority. */
  get sizeByPriority(): ReadonlyMap<number, number> {
    const sizes = new Map<number, number>();
    for (const { priority } of this.#waiting.values()) {
      sizes.set(priority, (sizes.get(priority) ?? 0) + 1);
    }
    return sizes;
  }

  /** Places a request at once if possible, and queues it otherwise. */
  placeOrEnqueue(request: QueueEntry, now: number): void {
    const turn = this.#toTurn(request);
    const queued = this.#destinations.get(turn.destination);
    if (queued !== undefined && !this.#isDispatching) {
      // Those that wait already may have the turn.
      this.#enqueue(turn);
      this.#dispatchAll([queued], now, turn);
    } else {
      const placement = this.#deps.place(request, now);
      if (placement.kind === "send") return this.#send(turn, placement, now);
      if (request.queueDeadline <= now) {
        return this.#refuse(turn.entry, placement);
      }
      this.#enqueue(turn);
    }
    if (this.#waiting.size > MAX_QUEUED) this.#drop(now);
  }

  /** Removes a request whose caller disconnected or whose deadline passed. */
  remove(request: QueueEntry): void {
    const turn = this.#waiting.get(request);
    if (turn === undefined) return;
    this.#waiting.delete(request);
    const queued = this.#destinations.get(turn.destination);
    queued?.delete(turn);
    if (queued?.size === 0) this.#destinations.delete(turn.destination);
  }

  /** Places requests where possible, and refuses those queued for too long. */
  dispatch(now: number): void {
    if (this.#isDispatching || this.#waiting.size === 0) return;
    this.#dispatchAll([...this.#destinations.values()], now);
  }

  /** Drops outdated state. */
  expire(now: number): void {
    this.#order.expire(now);
  }

  /** Places requests; refuses overdue ones, or only `newcomer` if it is given. */
  #dispatchAll(
    destinations: readonly ReadonlySet<Waiting>[],
    now: number,
    newcomer?: Waiting,
  ): void {
    this.#isDispatching = true;
    try {
      for (const queued of destinations) {
        this.#dispatchOne(queued, now, newcomer);
      }
    } finally {
      this.#isDispatching = false;
    }
  }

  #dispatchOne(
    queued: ReadonlySet<Waiting>,
    now: number,
    newcomer: Waiting | undefined,
  ): void {
    const round = new DispatchRound(
      (entry) => this.#deps.place(entry, now),
      now,
    );
    for (const turn of this.#order.inOrder(queued, now)) {
      const { entry } = turn;
      // Placing an earlier request may have removed this one.
      if (this.#waiting.get(entry) !== turn) continue;
      const isOverdue = entry.queueDeadline <= now &&
        (newcomer ?? turn) === turn;
      const placement = round.place(entry, turn.leastMs, isOverdue);
      if (placement?.kind === "send") {
        this.remove(entry);
        this.#send(turn, placement, now);
      } else if (isOverdue && placement !== undefined) {
        this.remove(entry);
        this.#refuse(turn.entry, placement);
      }
    }
  }

  #toTurn(entry: QueueEntry): Waiting {
    const { service, model, contract, arrivedAt } = entry;
    return {
      entry,
      destination: `${service.name}|${model}`,
      customer: entry.customer?.name ?? "",
      priority: entry.priority,
      arrivedAt,
      goalAt: arrivedAt + contract.route.goalMs,
      hasBegun: entry.firstByteMs !== undefined,
      ...this.#deps.costOf(entry),
    };
  }

  #enqueue(turn: Waiting): void {
    this.#waiting.set(turn.entry, turn);
    const queued = this.#destinations.get(turn.destination);
    if (queued !== undefined) queued.add(turn);
    else this.#destinations.set(turn.destination, new Set([turn]));
  }

  #drop(now: number): void {
    const dropped = this.#order.toDrop(this.#waiting.values(), now);
    if (dropped === undefined) return;
    this.remove(dropped.entry);
    const placement = this.#deps.place(dropped.entry, now);
    if (placement.kind === "send") this.#send(dropped, placement, now);
    else this.#refuse(dropped.entry, placement);
  }

  #send(
    turn: Waiting,
    placement: Placement & { kind: "send" },
    now: number,
  ): void {
    this.#order.recordGiven(turn, now);
    turn.entry.onPlaced(placement);
  }

  #refuse(entry: QueueEntry, placement: Placement): void {
    const excessMs = placement.kind === "full"
      ? placement.expectedMs - entry.firstByteLimitMs
      : MIN_RETRY_AFTER_MS * 4;
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, excessMs),
    );
    entry.onNotPlaced(placement, retryAfterMs);
  }
}
