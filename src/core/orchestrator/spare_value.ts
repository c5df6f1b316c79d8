/**
 * Value of one more spare host for a model in a fabric domain.
 *
 * @module
 */

/** Expected losses per host of a group while a replacement is loaded. */
const LOSSES_PER_HOST = 0.25;
/** How steeply the value of a further group falls once the demand is met. */
const SATURATION_STEEPNESS = 6;
/** Keeps the value of a first group finite. */
const SHORTAGE_FLOOR = 0.1;

/** Supply and spares of a model in one domain. */
export interface SpareInput {
  /** Hosts per group. */
  readonly size: number;
  /** Number of groups in the fleet that the demand fills. */
  readonly needed: number;
  /** Ratio of existing groups to needed ones in the fleet. */
  readonly supply: number;
  readonly groupsInDomain: number;
  /** Other spares of the model in the domain. */
  readonly otherSpares: number;
}

/**
 * Value of one more spare in addition to the others: its share of a further
 * group, and the losses that it would repair at once.
 *
 * @example
 * ```ts
 * const first = spareValue({ size: 4, needed: 5, supply: 1, groupsInDomain: 1, otherSpares: 0 });
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

/** Value of a further group if the supply differed by `offset` groups. */
function groupValue({ needed, supply }: SpareInput, offset: number): number {
  return marginalValue(Math.max(0, supply + offset / needed)) / needed;
}

/**
 * Value of further supply: falls with supply, and steeply once demand is met.
 */
function marginalValue(supply: number): number {
  return 1 /
    ((SHORTAGE_FLOOR + supply) ** 2 * (1 + supply ** SATURATION_STEEPNESS));
}

/** Probability of more than `count` events if `mean` are expected. */
function poissonTail(count: number, mean: number): number {
  let term = Math.exp(-mean);
  let cumulative = term;
  for (let i = 1; i <= count; i++) {
    term *= mean / i;
    cumulative += term;
  }
  return Math.max(0, 1 - cumulative);
}
