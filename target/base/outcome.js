/**
 * Outcomes as values: the result of anything that can fail.
 *
 * @module
 */
/**
 * Makes a successful outcome.
 *
 * @example
 * ```ts
 * return success(42);
 * ```
 */
export function success(value) {
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
export function failure(err) {
    return { ok: false, err };
}
/**
 * Stops the process's current work when an invariant does not hold.
 *
 * @example
 * ```ts
 * invariant(count >= 0, "Count is negative");
 * ```
 */
export function invariant(condition, message) {
    if (!condition)
        throw new Error(`Invariant broken: ${message}`);
}
