/** Refusals that promise that the request has not run and never will. */
const NOT_RUN = new Set([
    "no_catalog",
    "unconfirmed",
    "overloaded",
    "no_replica",
    "shutting_down",
    "expired",
]);
/**
 * Tells whether a refusal promises that nothing ran.
 *
 * @example
 * ```ts
 * promisesNotRun("overloaded"); // true
 * ```
 */
export function promisesNotRun(kind) {
    return NOT_RUN.has(kind);
}
