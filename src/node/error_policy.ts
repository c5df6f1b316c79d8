/**
 * Decides whether the process goes on after an unexpected error.
 *
 * @module
 */
import { InvariantError } from "../base/outcome.ts";

/** The process ends after more unexpected errors than this within the window. */
const MAX_ERRORS = 20;
const WINDOW_MS = 60_000;

/**
 * An unexpected error ends only the event that it happened in: one request, one
 * message or one call of a timer. A broken invariant ends the process, as its
 * state is wrong, and so do errors that keep coming.
 */
export class ErrorPolicy {
  readonly #now: () => number;
  #times: number[] = [];

  constructor(now: () => number) {
    this.#now = now;
  }

  /** Records an error, and returns whether the process must end. */
  isFatal(err: unknown): boolean {
    if (err instanceof InvariantError) return true;
    const now = this.#now();
    this.#times = this.#times.filter((at) => now - at < WINDOW_MS);
    this.#times.push(now);
    return this.#times.length > MAX_ERRORS;
  }
}
