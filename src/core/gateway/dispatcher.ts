/**
 * Gives waiting requests to upstreams.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { Configuration } from "../../world/configuration.ts";
import type { Waiting } from "../limits/fair_queue.ts";
import { FairQueue } from "../limits/fair_queue.ts";
import type { SlotHolder } from "../limits/slot_holder.ts";
import type { RouteDecision, Router } from "../routing/router.ts";
import type { UpstreamEntry } from "../routing/upstream_entry.ts";
import type { UpstreamTable } from "../routing/upstream_table.ts";

/** Time over which the rate of completions is taken. */
const RATE_WINDOW_MS = 2_000;
/** Completions in the window below which no wait is estimated. */
const MIN_SAMPLES = 4;

/** A request, or the rest of one, that waits for an upstream. */
export interface DispatchItem extends Waiting {
  /** Model or service name. */
  readonly name: string;
  readonly prefixKey: string;
  /** Tells whether an upstream is out of the question for this request. */
  avoids(entry: UpstreamEntry): boolean;
  /** Called once, with the upstream to send to. */
  assigned(entry: UpstreamEntry, decision: RouteDecision): void;
  /** Called once, when no upstream can be had in time. */
  dropped(reason: DropReason, retryAfterMs: number): void;
}

/** Why a waiting request was given up. */
export type DropReason = "queue_full" | "target_out_of_reach" | "deadline";

/** What the dispatcher works with. */
export interface DispatcherParts {
  readonly timers: Timers;
  readonly table: UpstreamTable;
  readonly router: Router;
  readonly holder: SlotHolder;
  readonly availabilityZone: string;
  readonly cfg: () => Configuration;
}

interface Lane {
  readonly queue: FairQueue<DispatchItem>;
  completedAt: number[];
}

/** Holds a queue for each model or service and empties it as room appears. */
export class Dispatcher {
  readonly #parts: DispatcherParts;
  readonly #lanes = new Map<string, Lane>();
  /** Requests running for each customer. */
  readonly #running = new Map<string, number>();

  constructor(parts: DispatcherParts) {
    this.#parts = parts;
  }

  /** Number of requests waiting for all names. */
  get waiting(): number {
    let sum = 0;
    for (const lane of this.#lanes.values()) sum += lane.queue.size;
    return sum;
  }

  /** Number of requests waiting for a name. */
  waitingFor(name: string): number {
    return this.#lanes.get(name)?.queue.size ?? 0;
  }

  /** Adds a request, or drops it at once when its target is out of reach. */
  enqueue(item: DispatchItem): void {
    const lane = this.#lane(item.name);
    const waitMs = this.#expectedWaitMs(lane, item.priority);
    if (this.#parts.timers.now() + waitMs > item.deadline) {
      item.dropped("target_out_of_reach", waitMs);
      return;
    }
    const loser = lane.queue.push(item);
    loser?.dropped("queue_full", Math.max(waitMs, RATE_WINDOW_MS));
    this.#pumpLane(item.name, lane);
  }

  /** Takes a request out: its caller has gone. */
  cancel(item: DispatchItem): void {
    this.#lanes.get(item.name)?.queue.remove(item);
  }

  /** Counts a request that runs for a customer. */
  started(customer: string): void {
    this.#running.set(customer, (this.#running.get(customer) ?? 0) + 1);
  }

  /** Counts a request that has ended, and gives its place to another. */
  finished(customer: string, name: string): void {
    const count = (this.#running.get(customer) ?? 1) - 1;
    if (count > 0) this.#running.set(customer, count);
    else this.#running.delete(customer);
    const lane = this.#lane(name);
    lane.completedAt.push(this.#parts.timers.now());
    if (lane.queue.size > 0) this.#pumpLane(name, lane);
  }

  /** Gives every waiting request a try, and drops those past their deadline. */
  pump(): void {
    const now = this.#parts.timers.now();
    for (const [name, lane] of this.#lanes) {
      for (const item of lane.queue.takeExpired(now)) {
        item.dropped("deadline", this.#expectedWaitMs(lane, item.priority));
      }
      if (lane.queue.size > 0) this.#pumpLane(name, lane);
    }
  }

  #lane(name: string): Lane {
    let lane = this.#lanes.get(name);
    if (lane === undefined) {
      lane = { queue: new FairQueue(), completedAt: [] };
      this.#lanes.set(name, lane);
    }
    return lane;
  }

  #pumpLane(name: string, lane: Lane): void {
    const { open } = this.#parts.table.candidates(name, this.#parts.cfg());
    if (open.length === 0) return;
    for (const item of lane.queue.inOrder(this.#running)) {
      const decision = this.#choose(item, open);
      if (decision.entry !== undefined) {
        lane.queue.remove(item);
        item.assigned(decision.entry, decision);
      } else if (open.every((entry) => !item.avoids(entry))) {
        return;
      }
    }
  }

  #choose(item: DispatchItem, open: readonly UpstreamEntry[]): RouteDecision {
    const now = this.#parts.timers.now();
    const query = {
      prefixKey: item.prefixKey,
      availabilityZone: this.#parts.availabilityZone,
      hasRoom: (entry: UpstreamEntry) =>
        this.#parts.holder.mayStart(entry.upstream.id, now),
    };
    const usable = open.filter((entry) => !item.avoids(entry));
    return this.#parts.router.choose(usable, query, now);
  }

  /** Time until a new request of this priority would be served. */
  #expectedWaitMs(lane: Lane, priority: number): number {
    const now = this.#parts.timers.now();
    const since = now - RATE_WINDOW_MS;
    lane.completedAt = lane.completedAt.filter((at) => at > since);
    const ahead = lane.queue.aheadOf(priority);
    if (ahead === 0 || lane.completedAt.length < MIN_SAMPLES) return 0;
    return ahead * RATE_WINDOW_MS / lane.completedAt.length;
  }
}
