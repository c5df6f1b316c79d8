/**
 * How the upstreams of each service number the events of a stream.
 *
 * @module
 */

/** What can be expected of the ids of a stream. */
export type EventNumbering =
  /** From 1, without gaps. */
  | "consecutive"
  /** Each id is higher than the one before; a missing event does not show. */
  | "increasing"
  /** No event has a numeric id. */
  | "opaque"
  /**
   * Events may have no ids. Every attempt begins where it was asked to, so that the
   * number of events is the position.
   */
  | "counted";

/**
 * Remembers the numbering of each service while the process runs; consecutive
 * until a stream shows another one.
 *
 * @example
 * ```ts
 * numberings.learn("pool", "increasing"); // true
 * numberings.of("pool"); // "increasing"
 * ```
 */
export class EventNumberings {
  readonly #numberings = new Map<string, EventNumbering>();

  /** Returns the numbering to expect of a service. */
  of(service: string): EventNumbering {
    return this.#numberings.get(service) ?? "consecutive";
  }

  /** Records what a stream showed. Returns whether that is new. */
  learn(service: string, numbering: EventNumbering): boolean {
    if (this.of(service) === numbering) return false;
    if (numbering === "consecutive") this.#numberings.delete(service);
    else this.#numberings.set(service, numbering);
    return true;
  }
}
