/**
 * Bound on what the bodies of callers' requests take together.
 *
 * @module
 */

/** Time for which a body is held, until some have been released. */
const INITIAL_HOLD_MS = 250;
/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.1;

/** Bytes that are held for one request. */
export interface BodyReservation {
  /** Reserves more bytes; false if they exceed the budget. */
  extend(bytes: number): boolean;
  /** Returns all bytes to the budget. Further calls have no effect. */
  release(): void;
}

/**
 * Reserves memory for the bodies of requests before they are read. A node that is
 * pressed with large bodies refuses some of them instead of exceeding its memory.
 *
 * @example
 * ```ts
 * const reservation = budget.reserve(4_194_304);
 * if (reservation === undefined) refuse(budget.expectedReleaseMs);
 * ```
 */
export class BodyBudget {
  readonly #maxBytes: number;
  readonly #now: () => number;
  #heldBytes = 0;
  #holdMs = INITIAL_HOLD_MS;

  readonly #onRefused: (bytes: number, heldBytes: number) => void;

  /**
   * Creates a budget of `maxBytes`; `now` returns monotonic milliseconds.
   * `onRefused` is called with what was asked for and what was held.
   */
  constructor(
    maxBytes: number,
    now: () => number,
    onRefused: (bytes: number, heldBytes: number) => void = () => {},
  ) {
    this.#maxBytes = maxBytes;
    this.#now = now;
    this.#onRefused = onRefused;
  }

  /** Bytes that are reserved. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Time after which those that are held now have mostly been released. */
  get expectedReleaseMs(): number {
    return this.#holdMs;
  }

  /** Reserves bytes for a request; undefined if they exceed the budget. */
  reserve(bytes: number): BodyReservation | undefined {
    let held = 0;
    const extend = (more: number) => {
      if (this.#heldBytes + more > this.#maxBytes) {
        this.#onRefused(held + more, this.#heldBytes);
        return false;
      }
      this.#heldBytes += more;
      held += more;
      return true;
    };
    if (!extend(bytes)) return undefined;
    const since = this.#now();
    const release = () => {
      if (held > 0) this.#recordHold(this.#now() - since);
      this.#heldBytes -= held;
      held = 0;
    };
    return { extend, release };
  }

  #recordHold(ms: number): void {
    this.#holdMs += SAMPLE_WEIGHT * (ms - this.#holdMs);
  }
}
