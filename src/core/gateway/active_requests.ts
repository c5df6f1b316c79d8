/**
 * Requests in flight at one gateway, by customer and by upstream.
 *
 * @module
 */
import type { AttemptRun } from "./attempt_run.ts";
import type { RequestRun } from "./request_run.ts";

/** Tracks requests that have not ended and their attempts. */
export class ActiveRequests {
  readonly #runs = new Set<RequestRun>();
  readonly #inFlightByCustomer = new Map<string, number>();
  readonly #attempts = new Map<string, Map<AttemptRun, RequestRun>>();

  /** Requests that have not ended. */
  get runs(): ReadonlySet<RequestRun> {
    return this.#runs;
  }

  /** Running attempts and their requests, by id of the upstream. */
  get attempts(): ReadonlyMap<string, ReadonlyMap<AttemptRun, RequestRun>> {
    return this.#attempts;
  }

  /** Number of a customer's requests that have not ended. */
  inFlightFor(customer: string): number {
    return this.#inFlightByCustomer.get(customer) ?? 0;
  }

  /** Requests with an attempt on an upstream. */
  runsOn(upstreamId: string): RequestRun[] {
    return [...(this.#attempts.get(upstreamId)?.values() ?? [])];
  }

  /** Adds a request that was accepted. */
  add(run: RequestRun): void {
    this.#runs.add(run);
    const count = this.inFlightFor(run.customer) + 1;
    this.#inFlightByCustomer.set(run.customer, count);
  }

  /** Removes a request that ended. */
  remove(run: RequestRun): void {
    this.#runs.delete(run);
    const remaining = this.inFlightFor(run.customer) - 1;
    if (remaining > 0) this.#inFlightByCustomer.set(run.customer, remaining);
    else this.#inFlightByCustomer.delete(run.customer);
  }

  /** Adds an attempt that started. */
  addAttempt(run: RequestRun, attempt: AttemptRun): void {
    const { id } = attempt.entry.upstream;
    const attempts = this.#attempts.get(id) ?? new Map();
    attempts.set(attempt, run);
    this.#attempts.set(id, attempts);
  }

  /** Removes an attempt that ended. */
  removeAttempt(attempt: AttemptRun): void {
    this.#attempts.get(attempt.entry.upstream.id)?.delete(attempt);
  }

  /** Drops upstreams that are not in `ids` and have no running attempts. */
  retainUpstreams(ids: ReadonlySet<string>): void {
    for (const [id, attempts] of this.#attempts) {
      if (!ids.has(id) && attempts.size === 0) this.#attempts.delete(id);
    }
  }
}
