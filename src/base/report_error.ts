/**
 * Reporting of errors that must not end the work of others.
 *
 * @module
 */

/** Receives an unexpected error. */
export type ErrorReporter = (err: unknown) => void;

/**
 * Throws an error after the current event, so that only the process's handler of
 * uncaught errors receives it.
 *
 * @example
 * ```ts
 * reportError(err);
 * ```
 */
export function reportError(err: unknown): void {
  queueMicrotask(() => {
    throw err;
  });
}
