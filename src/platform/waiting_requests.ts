/**
 * Requests that wait for a connection.
 *
 * @module
 */

/** Number of requests that wait for a connection, by origin. */
export class WaitingRequests {
  readonly #counts = new Map<string, number>();

  /** Records that a request to `origin` waits for a connection. */
  add(origin: string): void {
    this.#counts.set(origin, this.of(origin) + 1);
  }

  /** Records that a request was started, or failed before that. */
  remove(origin: string): void {
    const count = this.of(origin) - 1;
    if (count > 0) this.#counts.set(origin, count);
    else this.#counts.delete(origin);
  }

  /** Number of waiting requests to `origin`. */
  of(origin: string): number {
    return this.#counts.get(origin) ?? 0;
  }
}
