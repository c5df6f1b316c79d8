/**
 * The version of all binaries.
 *
 * @module
 */

/** The version printed by `--version`. */
export const VERSION = "0.1.0";
