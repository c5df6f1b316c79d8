/**
 * Retry rules and deadline of one request, from its route and its caller.
 *
 * @module
 */
import type { Route } from "../../world/catalog.ts";
import type { RelayRequest } from "./relay_request.ts";

/**
 * Maximum number of attempts that don't count towards the route's limit, as they
 * have not run.
 */
const MAX_UNCOUNTED_ATTEMPTS = 3;
/** A request is retried only if more time than this remains. */
const MIN_REMAINING_MS = 30;

/** Decides whether and for how long one request may be attempted. */
export class RequestContract {
  readonly route: Route;
  /**
   * Monotonic time of the caller's deadline or the route's timeout, whichever
   * is earlier.
   */
  readonly deadline: number;
  /** Attempts that may have run, also on hosts that have left the list since. */
  #countedAttempts = 0;
  #uncountedAttempts = 0;

  constructor(route: Route, request: RelayRequest, arrivedAt: number) {
    this.route = route;
    const timeoutMs = Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);
    this.deadline = arrivedAt + timeoutMs;
  }

  /** Whether the request may be retried after it may have run. */
  get repeatable(): boolean {
    if (this.route.kind === "idempotent") return true;
    return this.route.kind === "streaming" && this.route.resumable;
  }

  /** Records a failed attempt, and whether it counts towards the limit. */
  recordAttempt(isCounted: boolean): void {
    if (isCounted) this.#countedAttempts += 1;
    else this.#uncountedAttempts += 1;
  }

  /** Whether the limit allows another attempt after the one in flight. */
  get allowsAnotherAttempt(): boolean {
    return this.#countedAttempts + 1 < this.route.attempts;
  }

  /** Whether the attempts made and the remaining time allow a retry. */
  mayRetry(now: number): boolean {
    return this.#countedAttempts < this.route.attempts &&
      this.#uncountedAttempts < MAX_UNCOUNTED_ATTEMPTS &&
      this.remainingMs(now) > MIN_REMAINING_MS;
  }

  /** Time until the deadline, in milliseconds. */
  remainingMs(now: number): number {
    return this.deadline - now;
  }
}
