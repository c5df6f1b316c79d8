/**
 * Plan of the faults of one soak, drawn from a seed.
 *
 * @module
 */
import type { Random } from "../../src/base/random.ts";

/** Kinds to draw from, with equal probability for each entry. */
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

/**
 * A kind of fault that the soak injects:
 *
 * - `kill`, `stop_gracefully` and `freeze` act on a node process.
 * - `store_reset`, `store_delay`, `store_silence`, `store_one_way` and
 *   `store_refuse` act on the connections of all nodes to the store.
 * - `host_dark` makes a host unresponsive.
 * - `lose_answer` makes the store apply a write, but lose its response.
 * - `manifest` writes a new version of the manifest with the same keys.
 * - `revoke` revokes an API key; `revoke_in_silence` does so while
 *   nodes cannot reach the store.
 */
export type FaultKind = typeof FAULT_KINDS[number];

/** One planned fault. */
export interface Fault {
  readonly kind: FaultKind;
  /** Milliseconds from the start of the load to the fault. */
  readonly atMs: number;
  /** Milliseconds from the fault to its end, for kinds that have one. */
  readonly forMs: number;
  /** Index of the node; for `host_dark`, odd or even selects the domain. */
  readonly node: number;
  /** Index of the host in its fabric domain, for `host_dark`. */
  readonly host: number;
}

/**
 * Draws the faults of a soak that lasts `durationMs`. They are ordered by start
 * and may overlap.
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
