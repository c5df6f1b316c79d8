/**
 * Queue of requests that wait for an upstream.
 *
 * @module
 */
import type { FleetPosition } from "../fleet/fleet_share.ts";
import type { ReturnKind, Turn } from "../turns/mod.ts";
import { ReturnSchedule, TurnOrder } from "../turns/mod.ts";
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
  /** Hash that is equal for repetitions of the request by its customer. */
  readonly fingerprint: string;
  readonly contract: {
    readonly route: { readonly goalMs: number };
    /** Monotonic time of the caller's deadline. */
    readonly deadline: number;
  };
  /** Time to the first byte of the response; undefined before it. */
  readonly firstByteMs: number | undefined;
  onPlaced(placement: Placement & { kind: "send" }): void;
  onNotPlaced(placement: Placement, retryAfterMs: number): void;
}

/** What a {@linkcode RequestQueue} needs from the relay. */
export interface RequestQueueDependencies {
  place(query: PlacementQuery, now: number): Placement;
  costOf(query: CostQuery): RequestCost;
  /** Engine time that a destination provides per unit of time. */
  rateOf(query: CostQuery): number;
  position(): FleetPosition;
  /** Called when a caller that returned when it was told is placed or refused. */
  onReturned(result: "placed" | "refused"): void;
}

/** A queued request and its turn. */
interface Waiting extends Turn {
  readonly entry: QueueEntry;
}

/** Maximum length of the queue; beyond it, requests are refused. */
const MAX_QUEUED = 512;
/** Maximum time until room is expected where upstreams are full. */
const MAX_FULL_MS = 2_000;
/** Time until room is expected if no replica is available. */
const NO_REPLICA_MS = 400;
/** Share of the remaining time that a refused caller can wait. */
const USABLE_SHARE = 1 / 3;
const MIN_RETRY_AFTER_MS = 10;

/** Places requests at once, or queues them until an upstream is available. */
export class RequestQueue {
  readonly #deps: RequestQueueDependencies;
  readonly #order = new TurnOrder();
  readonly #returns = new ReturnSchedule();
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
    const turn = this.#toTurn(request, now);
    const queued = this.#destinations.get(turn.destination);
    if (queued !== undefined && !this.#isDispatching) {
      // Those that wait already may have the turn.
      this.#enqueue(turn);
      this.#dispatchAll([queued], now, turn);
    } else {
      const placement = this.#deps.place(request, now);
      if (placement.kind === "send") return this.#send(turn, placement, now);
      if (request.queueDeadline <= now) {
        return this.#refuse(turn, placement, now);
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
    this.#returns.expire(now);
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
        this.#refuse(turn, placement, now);
      }
    }
  }

  #toTurn(entry: QueueEntry, now: number): Waiting {
    const { service, model, contract, arrivedAt } = entry;
    return {
      entry,
      destination: `${service.name}|${model}`,
      customer: entry.customer?.name ?? "",
      priority: entry.priority,
      arrivedAt,
      goalAt: arrivedAt + contract.route.goalMs,
      hasBegun: entry.firstByteMs !== undefined,
      returned: this.#recognize(entry, now),
      ...this.#deps.costOf(entry),
    };
  }

  #recognize(entry: QueueEntry, now: number): ReturnKind {
    if (entry.isRetry) return "new";
    return this.#returns.recognize(entry.fingerprint, now);
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
    else this.#refuse(dropped, placement, now);
  }

  #send(
    turn: Waiting,
    placement: Placement & { kind: "send" },
    now: number,
  ): void {
    this.#order.recordGiven(turn, now);
    if (turn.returned === "on_time") this.#deps.onReturned("placed");
    turn.entry.onPlaced(placement);
  }

  #refuse(turn: Waiting, placement: Placement, now: number): void {
    const { entry, destination, engineMs } = turn;
    if (turn.returned === "on_time") this.#deps.onReturned("refused");
    const { size, rank } = this.#deps.position();
    const remainingMs = Math.max(0, entry.contract.deadline - now);
    const { afterMs } = this.#returns.refuse(
      {
        destination,
        fingerprint: entry.fingerprint,
        engineMs,
        usableMs: remainingMs * USABLE_SHARE,
      },
      {
        rate: this.#deps.rateOf(entry),
        nodes: size,
        rank,
        freeInMs: freeInMs(entry, placement),
      },
      now,
    );
    entry.onNotPlaced(placement, Math.max(MIN_RETRY_AFTER_MS, afterMs));
  }
}

function freeInMs(entry: QueueEntry, placement: Placement): number {
  if (placement.kind !== "full") return NO_REPLICA_MS;
  // The expected time of a full host without an engine is not one.
  if (entry.model === undefined) return 0;
  return Math.min(MAX_FULL_MS, placement.expectedMs - entry.firstByteLimitMs);
}
