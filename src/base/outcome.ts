/**
 * Results of operations that can fail, as values instead of exceptions.
 *
 * @module
 */

/** A value, or a typed error. */
export type Outcome<T, E> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly err: E };

/**
 * Makes a successful outcome.
 *
 * @example
 * ```ts
 * return success(42);
 * ```
 */
export function success<T>(value: T): { readonly ok: true; readonly value: T } {
  return { ok: true, value };
}

/**
 * Makes a failed outcome.
 *
 * @example
 * ```ts
 * return failure({ kind: "conflict" });
 * ```
 */
export function failure<E>(err: E): { readonly ok: false; readonly err: E } {
  return { ok: false, err };
}

/** A broken invariant: the state of the process is wrong. */
export class InvariantError extends Error {
  constructor(message: string) {
    super(`Invariant violated: ${message}`);
  }
}

/**
 * Throws when an invariant does not hold.
 *
 * @example
 * ```ts
 * invariant(count >= 0, "Count is negative");
 * ```
 */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(message);
}
