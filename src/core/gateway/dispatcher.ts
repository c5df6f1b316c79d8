/**
 * Assigns queued requests to upstreams.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { Configuration } from "../../world/configuration.ts";
import type { QueueItem } from "../limits/fair_queue.ts";
import { FairQueue } from "../limits/fair_queue.ts";
import type { GatewayShares } from "../limits/gateway_shares.ts";
import type { RouteDecision, Router } from "../routing/router.ts";
import type { UpstreamEntry } from "../routing/upstream_entry.ts";
import type { UpstreamTable } from "../routing/upstream_table.ts";

/** Window over which the rate of ended attempts is measured. */
const RATE_WINDOW_MS = 2_000;
/** Smallest number of ended attempts in the window to estimate a wait from. */
const MIN_SAMPLES = 4;

/**
 * A request, or the remainder of an interrupted one, that waits for an
 * upstream.
 */
export interface QueuedRequest extends QueueItem {
  /** Model or service name. */
  readonly name: string;
  readonly prefixKey: string;
  /** Whether this request must not be sent to an upstream. */
  excludes(entry: UpstreamEntry): boolean;
  /** Called once, with the upstream to send to. */
  onAssigned(entry: UpstreamEntry, decision: RouteDecision): void;
  /** Called once, when no upstream becomes available in time. */
  onDropped(reason: DropReason, retryAfterMs: number): void;
}

/**
 * Why a queued request was dropped: evicted from a full queue, not expected to be
 * dispatched before its deadline, or still queued at its deadline.
 */
export type DropReason = "queue_full" | "target_out_of_reach" | "deadline";

/** Dependencies of a dispatcher. */
export interface DispatcherDependencies {
  readonly timers: Timers;
  readonly table: UpstreamTable;
  readonly router: Router;
  readonly shares: GatewayShares;
  readonly availabilityZone: string;
  readonly cfg: () => Configuration;
}

/** Queue of one model or service, and the times of recently ended attempts. */
interface TargetQueue {
  readonly queue: FairQueue<QueuedRequest>;
  endTimes: number[];
}

/**
 * Keeps a queue for each model or service and dispatches from it as upstreams
 * get free capacity.
 */
export class Dispatcher {
  readonly #deps: DispatcherDependencies;
  readonly #queues = new Map<string, TargetQueue>();
  /** Number of running attempts of each customer. */
  readonly #running = new Map<string, number>();

  constructor(deps: DispatcherDependencies) {
    this.#deps = deps;
  }

  /** Number of requests waiting, over all models and services. */
  get waiting(): number {
    let sum = 0;
    for (const target of this.#queues.values()) sum += target.queue.size;
    return sum;
  }

  /** Number of requests waiting for a model or service. */
  waitingFor(name: string): number {
    return this.#queues.get(name)?.queue.size ?? 0;
  }

  /**
   * Queues a request, or drops it at once when it is not expected to be dispatched
   * before its deadline.
   */
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

  /** Removes a request that no longer waits for an upstream. */
  cancel(item: QueuedRequest): void {
    this.#queues.get(item.name)?.queue.remove(item);
  }

  /** Counts an attempt that started for a customer. */
  recordStart(customer: string): void {
    this.#running.set(customer, (this.#running.get(customer) ?? 0) + 1);
  }

  /** Counts an attempt that ended, and dispatches from its target's queue. */
  recordFinish(customer: string, name: string): void {
    const count = (this.#running.get(customer) ?? 1) - 1;
    if (count > 0) this.#running.set(customer, count);
    else this.#running.delete(customer);
    const target = this.#queueOf(name);
    target.endTimes.push(this.#deps.timers.now());
    if (target.queue.size > 0) this.#dispatchQueue(name, target);
  }

  /** Drops requests past their deadline and dispatches from every queue. */
  dispatchWaiting(): void {
    const now = this.#deps.timers.now();
    for (const [name, target] of this.#queues) {
      for (const item of target.queue.removeExpired(now)) {
        item.onDropped("deadline", this.#expectedWaitMs(target, item.priority));
      }
      if (target.queue.size > 0) this.#dispatchQueue(name, target);
    }
  }

  #queueOf(name: string): TargetQueue {
    let target = this.#queues.get(name);
    if (target === undefined) {
      target = { queue: new FairQueue(), endTimes: [] };
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
        // The request excludes no open upstream, so no upstream has room for the
        // requests after it either.
        return;
      }
    }
  }

  #choose(item: QueuedRequest, open: readonly UpstreamEntry[]): RouteDecision {
    const now = this.#deps.timers.now();
    const query = {
      prefixKey: item.prefixKey,
      availabilityZone: this.#deps.availabilityZone,
      hasBudget: (entry: UpstreamEntry) =>
        this.#deps.shares.mayStart(entry.upstream.id, now),
    };
    const usable = open.filter((entry) => !item.excludes(entry));
    return this.#deps.router.choose(usable, query, now);
  }

  /** Estimated time until a new request of this priority is dispatched. */
  #expectedWaitMs(target: TargetQueue, priority: number): number {
    const now = this.#deps.timers.now();
    const since = now - RATE_WINDOW_MS;
    target.endTimes = target.endTimes.filter((at) => at > since);
    const ahead = target.queue.countAhead(priority);
    if (ahead === 0 || target.endTimes.length < MIN_SAMPLES) return 0;
    return ahead * RATE_WINDOW_MS / target.endTimes.length;
  }
}
