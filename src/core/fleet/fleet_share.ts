/**
 * Division of whole numbers among the nodes of the fleet.
 *
 * @module
 */

/** This process among the nodes of the fleet. */
export interface FleetPosition {
  /** Number of live nodes, including those that are starting or leaving. */
  readonly size: number;
  /** Index of this process among the nodes in state `serving`, from 0. */
  readonly rank: number;
}

/**
 * Returns this process's share of a number; the shares of all processes add up to
 * the number, rounded down.
 *
 * @example
 * ```ts
 * fleetShare(17, { size: 34, rank: 3 }); // 1: the first 17 of 34 get one each
 * ```
 */
export function fleetShare(total: number, { size, rank }: FleetPosition) {
  const whole = Math.floor(total);
  return Math.floor(whole / size) + (rank < whole % size ? 1 : 0);
}
