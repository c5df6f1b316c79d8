/**
 * What may be done with one request, by its route and its caller's deadline.
 *
 * @module
 */
import type { Route } from "../../world/catalog.ts";
import type { RelayCall } from "./relay_call.ts";

/** Attempts at upstreams that died or refused don't count, up to this many. */
const MAX_UNCOUNTED_ATTEMPTS = 3;
/** Least time left for which a request is sent again. */
const MIN_REMAINING_MS = 30;

/** The contract of one request. */
export class RequestContract {
  readonly route: Route;
  /** Monotonic time at which the caller gives up or the route's time is up. */
  readonly deadline: number;
  /** Attempts that may have run on an upstream that lives. */
  #countedAttempts = 0;
  #uncountedAttempts = 0;

  constructor(route: Route, call: RelayCall, arrivedAt: number) {
    this.route = route;
    const limitMs = Math.min(call.deadlineMs ?? Infinity, route.timeoutMs);
    this.deadline = arrivedAt + limitMs;
  }

  /** Whether the request may run again after it may have run. */
  get repeatable(): boolean {
    if (this.route.kind === "idempotent") return true;
    return this.route.kind === "streaming" && this.route.resumable;
  }

  /** Notes how an attempt ended that did not give the answer. */
  recordAttempt(isCounted: boolean): void {
    if (isCounted) this.#countedAttempts += 1;
    else this.#uncountedAttempts += 1;
  }

  /** Whether an attempt would be left after the one that is under way. */
  get hasAnotherAttempt(): boolean {
    return this.#countedAttempts + 1 < this.route.attempts;
  }

  /** Whether the request may be sent once more. */
  mayRetry(now: number): boolean {
    return this.#countedAttempts < this.route.attempts &&
      this.#uncountedAttempts < MAX_UNCOUNTED_ATTEMPTS &&
      this.remainingMs(now) > MIN_REMAINING_MS;
  }

  /** Time left, in milliseconds. */
  remainingMs(now: number): number {
    return this.deadline - now;
  }
}
