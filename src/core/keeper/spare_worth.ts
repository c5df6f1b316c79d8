/**
 * What one more spare host of a model is worth in a fabric domain.
 *
 * @module
 */

/** Losses to expect of a host of a group while another one is loaded. */
const LOSSES_PER_HOST = 0.25;
/** How fast a further group loses its worth once the demand is met. */
const SATURATION_STEEPNESS = 6;
/** Keeps the worth of a first group finite. */
const SHORTAGE_FLOOR = 0.1;

/** A model in one domain. */
export interface SpareInput {
  /** Hosts of a group. */
  readonly size: number;
  /** Groups of the whole fleet that the demand fills. */
  readonly needed: number;
  /** Groups of the whole fleet for each that the demand fills. */
  readonly supply: number;
  readonly groupsInDomain: number;
  /** Other spares of the model in the domain. */
  readonly otherSpares: number;
}

/**
 * Worth of one more spare beside those that are ready: its part of a further
 * group, and the losses that it would make good at once.
 *
 * @example
 * ```ts
 * const first = spareWorth({ size: 4, needed: 5, supply: 1, groupsInDomain: 1, ready: 0 });
 * ```
 */
export function spareValue(input: SpareInput): number {
  const { size, otherSpares, groupsInDomain } = input;
  const missing = Math.max(1, size - otherSpares);
  const newGroupValue = groupValue(input, 0) / missing;
  const losses = groupsInDomain * size * LOSSES_PER_HOST;
  const repairValue = groupValue(input, -1) * poissonTail(otherSpares, losses);
  return newGroupValue + repairValue;
}

/** Worth of one group beside those that there are, and `ahead` others. */
function groupValue({ needed, supply }: SpareInput, offset: number): number {
  return marginalValue(Math.max(0, supply + offset / needed)) / needed;
}

/** Worth of further supply: falls with it, and fast once the demand is met. */
function marginalValue(supply: number): number {
  return 1 /
    ((SHORTAGE_FLOOR + supply) ** 2 * (1 + supply ** SATURATION_STEEPNESS));
}

/** Probability of more than `count` events where `mean` are expected. */
function poissonTail(count: number, mean: number): number {
  let term = Math.exp(-mean);
  let cumulative = term;
  for (let i = 1; i <= count; i++) {
    term *= mean / i;
    cumulative += term;
  }
  return Math.max(0, 1 - cumulative);
}
