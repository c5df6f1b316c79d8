/**
 * Value of one more spare host for a model in a fabric domain.
 *
 * @module
 */

/** Expected number of losses, per member, while a replacement loads. */
const LOSSES_PER_HOST = 0.25;
/** Exponent; the larger, the steeper value falls once the demand is met. */
const SATURATION_STEEPNESS = 6;
/** Added to the supply, so that the value of a first group is finite. */
const SHORTAGE_FLOOR = 0.1;

/** Supply of a model in the fleet, and its groups and spares in one domain. */
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
 * Value of one more spare: its share in a further group, plus the value of a
 * group times the probability that losses exceed the other spares.
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

/** Value of a further group if there were `offset` more groups. */
function groupValue({ needed, supply }: SpareInput, offset: number): number {
  return marginalValue(Math.max(0, supply + offset / needed)) / needed;
}

/**
 * Value of further supply: falls as supply grows, steeply once the demand is
 * met.
 */
function marginalValue(supply: number): number {
  return 1 /
    ((SHORTAGE_FLOOR + supply) ** 2 * (1 + supply ** SATURATION_STEEPNESS));
}

/** Poisson probability of more than `count` events if `mean` are expected. */
function poissonTail(count: number, mean: number): number {
  let term = Math.exp(-mean);
  let cumulative = term;
  for (let i = 1; i <= count; i++) {
    term *= mean / i;
    cumulative += term;
  }
  return Math.max(0, 1 - cumulative);
}
