/**
 * Origin of observations.
 *
 * @module
 */

/** Who made an observation: this process or a peer. */
export type Observer = "own" | "peer";
