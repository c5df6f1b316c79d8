/**
 * Gives waiting requests to upstreams.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { Configuration } from "../../world/configuration.ts";
import type { QueueItem } from "../limits/fair_queue.ts";
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
export interface QueuedRequest extends QueueItem {
  /** Model or service name. */
  readonly name: string;
  readonly prefixKey: string;
  /** Tells whether an upstream is out of the question for this request. */
  excludes(entry: UpstreamEntry): boolean;
  /** Called once, with the upstream to send to. */
  onAssigned(entry: UpstreamEntry, decision: RouteDecision): void;
  /** Called once, when no upstream can be had in time. */
  onDropped(reason: DropReason, retryAfterMs: number): void;
}

/** Why a waiting request was given up. */
export type DropReason = "queue_full" | "target_out_of_reach" | "deadline";

/** What the dispatcher works with. */
export interface DispatcherDeps {
  readonly timers: Timers;
  readonly table: UpstreamTable;
  readonly router: Router;
  readonly holder: SlotHolder;
  readonly availabilityZone: string;
  readonly cfg: () => Configuration;
}

interface TargetQueue {
  readonly queue: FairQueue<QueuedRequest>;
  completions: number[];
}

/** Holds a queue for each model or service and empties it as room appears. */
export class Dispatcher {
  readonly #deps: DispatcherDeps;
  readonly #queues = new Map<string, TargetQueue>();
  /** Requests running for each customer. */
  readonly #running = new Map<string, number>();

  constructor(deps: DispatcherDeps) {
    this.#deps = deps;
  }

  /** Number of requests waiting for all names. */
  get waiting(): number {
    let sum = 0;
    for (const target of this.#queues.values()) sum += target.queue.size;
    return sum;
  }

  /** Number of requests waiting for a name. */
  waitingFor(name: string): number {
    return this.#queues.get(name)?.queue.size ?? 0;
  }

  /** Adds a request, or drops it at once when its target is out of reach. */
  enqueue(item: QueuedRequest): void {
    const target = this.#queueOf(item.name);
    const waitMs = this.#expectedWaitMs(target, item.priority);
    if (this.#deps.timers.now() + waitMs > item.deadline) {
      item.onDropped("target_out_of_reach", waitMs);
      return;
    }
    const evicted = target.queue.push(item);
    evicted?.onDropped("queue_full", Math.max(waitMs, RATE_WINDOW_MS));
    this.#dispatchQueue(item.name, target);
  }

  /** Takes a request out: its caller has gone. */
  cancel(item: QueuedRequest): void {
    this.#queues.get(item.name)?.queue.remove(item);
  }

  /** Counts a request that runs for a customer. */
  recordStart(customer: string): void {
    this.#running.set(customer, (this.#running.get(customer) ?? 0) + 1);
  }

  /** Counts a request that has ended, and gives its place to another. */
  recordFinish(customer: string, name: string): void {
    const count = (this.#running.get(customer) ?? 1) - 1;
    if (count > 0) this.#running.set(customer, count);
    else this.#running.delete(customer);
    const target = this.#queueOf(name);
    target.completions.push(this.#deps.timers.now());
    if (target.queue.size > 0) this.#dispatchQueue(name, target);
  }

  /** Gives every waiting request a try, and drops those past their deadline. */
  dispatchWaiting(): void {
    const now = this.#deps.timers.now();
    for (const [name, target] of this.#queues) {
      for (const item of target.queue.takeExpired(now)) {
        item.onDropped("deadline", this.#expectedWaitMs(target, item.priority));
      }
      if (target.queue.size > 0) this.#dispatchQueue(name, target);
    }
  }

  #queueOf(name: string): TargetQueue {
    let target = this.#queues.get(name);
    if (target === undefined) {
      target = { queue: new FairQueue(), completions: [] };
      this.#queues.set(name, target);
    }
    return target;
  }

  #dispatchQueue(name: string, target: TargetQueue): void {
    const { open } = this.#deps.table.candidates(name, this.#deps.cfg());
    if (open.length === 0) return;
    for (const item of target.queue.inOrder(this.#running)) {
      const decision = this.#choose(item, open);
      if (decision.entry !== undefined) {
        target.queue.remove(item);
        item.onAssigned(decision.entry, decision);
      } else if (open.every((entry) => !item.excludes(entry))) {
        return;
      }
    }
  }

  #choose(item: QueuedRequest, open: readonly UpstreamEntry[]): RouteDecision {
    const now = this.#deps.timers.now();
    const query = {
      prefixKey: item.prefixKey,
      availabilityZone: this.#deps.availabilityZone,
      hasRoom: (entry: UpstreamEntry) =>
        this.#deps.holder.mayStart(entry.upstream.id, now),
    };
    const usable = open.filter((entry) => !item.excludes(entry));
    return this.#deps.router.choose(usable, query, now);
  }

  /** Time until a new request of this priority would be served. */
  #expectedWaitMs(target: TargetQueue, priority: number): number {
    const now = this.#deps.timers.now();
    const since = now - RATE_WINDOW_MS;
    target.completions = target.completions.filter((at) => at > since);
    const ahead = target.queue.aheadOf(priority);
    if (ahead === 0 || target.completions.length < MIN_SAMPLES) return 0;
    return ahead * RATE_WINDOW_MS / target.completions.length;
  }
}
