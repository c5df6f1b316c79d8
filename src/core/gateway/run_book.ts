/**
 * Requests under way at one gateway, by customer and by upstream.
 *
 * @module
 */
import type { AttemptRun } from "./attempt_run.ts";
import type { RequestRun } from "./request_run.ts";

/** Keeps requests that have not ended and their attempts. */
export class RunBook {
  readonly #runs = new Set<RequestRun>();
  readonly #inFlightOf = new Map<string, number>();
  readonly #attemptsOn = new Map<string, Map<AttemptRun, RequestRun>>();

  /** Requests that have not ended. */
  get runs(): ReadonlySet<RequestRun> {
    return this.#runs;
  }

  /** Attempts under way by upstream. */
  get attempts(): ReadonlyMap<string, ReadonlyMap<AttemptRun, RequestRun>> {
    return this.#attemptsOn;
  }

  /** Requests of a customer that have not ended. */
  inFlightOf(customer: string): number {
    return this.#inFlightOf.get(customer) ?? 0;
  }

  /** Requests with an attempt on an upstream. */
  runsOn(upstreamId: string): RequestRun[] {
    return [...(this.#attemptsOn.get(upstreamId)?.values() ?? [])];
  }

  /** Adds a request. */
  began(run: RequestRun): void {
    this.#runs.add(run);
    const count = this.inFlightOf(run.customer) + 1;
    this.#inFlightOf.set(run.customer, count);
  }

  /** Removes a request. */
  ended(run: RequestRun): void {
    this.#runs.delete(run);
    const left = this.inFlightOf(run.customer) - 1;
    if (left > 0) this.#inFlightOf.set(run.customer, left);
    else this.#inFlightOf.delete(run.customer);
  }

  /** Adds an attempt. */
  attemptBegan(run: RequestRun, attempt: AttemptRun): void {
    const { id } = attempt.entry.upstream;
    const attempts = this.#attemptsOn.get(id) ?? new Map();
    attempts.set(attempt, run);
    this.#attemptsOn.set(id, attempts);
  }

  /** Removes an attempt. */
  attemptEnded(attempt: AttemptRun): void {
    this.#attemptsOn.get(attempt.entry.upstream.id)?.delete(attempt);
  }

  /** Forgets upstreams that are gone and have no attempts. */
  keepUpstreams(ids: ReadonlySet<string>): void {
    for (const [id, attempts] of this.#attemptsOn) {
      if (!ids.has(id) && attempts.size === 0) this.#attemptsOn.delete(id);
    }
  }
}
