/**
 * Plan of the faults of one soak, drawn from a seed.
 *
 * @module
 */
import type { Random } from "../../src/base/random.ts";

const FAULT_KINDS = [
  "kill",
  "stop_gracefully",
  "freeze",
  "store_reset",
  "store_delay",
  "store_silence",
  "store_one_way",
  "store_refuse",
  "host_dark",
  "host_dark",
  "lose_answer",
  "manifest",
  "revoke",
  "revoke_in_silence",
] as const;

/** A kind of fault that the soak injects. */
export type FaultKind = typeof FAULT_KINDS[number];

/** One planned fault. Times are in milliseconds. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  readonly node: number;
  readonly host: number;
}

/**
 * Draws a sequence of faults, some of which overlap.
 *
 * @example
 * ```ts
 * const plan = planFaults(new Random(7), 30_000, 4);
 * ```
 */
export function planFaults(
  random: Random,
  durationMs: number,
  nodeCount: number,
): Fault[] {
  const faults: Fault[] = [];
  let atMs = 500;
  while (atMs < durationMs) {
    faults.push({
      kind: random.pick(FAULT_KINDS),
      atMs,
      forMs: 500 + random.int(5_000),
      node: random.int(nodeCount),
      host: random.int(9),
    });
    atMs += 300 + random.int(3_500);
  }
  return faults;
}
