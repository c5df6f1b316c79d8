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

/** Kinds that act on hosts that form groups, and on what nodes know of them. */
const GROUP_FAULT_KINDS = [
  "host_crash",
  "host_crash",
  "host_restart_same_id",
  "host_restart_same_id",
  "entries_late",
  "entries_late",
  "hosts_turned_away",
  "late_command",
  "late_command",
  "compact",
  "outage",
  "outage",
] as const;

/** Lists of kinds to draw from, by name. */
export const FAULT_LISTS = {
  default: FAULT_KINDS,
  groups: [...GROUP_FAULT_KINDS, "kill", "freeze", "store_reset", "host_dark"],
  reordered: [
    ...GROUP_FAULT_KINDS.filter((kind) => kind !== "entries_late"),
    "entries_reordered",
    "entries_reordered",
    "entries_reordered",
    "kill",
    "freeze",
  ],
  restored: [
    ...GROUP_FAULT_KINDS,
    "store_restored",
    "store_restored",
    "store_restored",
    "manifest",
    "revoke",
    "kill",
    "freeze",
  ],
} as const;

/** Name of a list of kinds of faults. */
export type FaultList = keyof typeof FAULT_LISTS;

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
 * - `host_crash` ends one to four hosts, often the head of a group, until long
 *   after their entries expired; `host_restart_same_id` starts them again soon.
 * - `entries_late` makes the store show entries of hosts late, each host's in
 *   order; `entries_reordered` in any order.
 * - `hosts_turned_away` keeps half of the hosts from writing their entries,
 *   while some hosts crash and nodes list several times.
 * - `late_command` delays the next command to some hosts.
 * - `compact` makes all nodes list the store again, several times.
 * - `outage` takes the store away while hosts crash and the leader is killed or
 *   frozen; afterwards, entries are late and nodes list several times.
 * - `store_restored` takes the store away and back from a copy that is some seconds
 *   old; the operator and the hosts write again what they wrote.
 */
export type FaultKind = typeof FAULT_LISTS[FaultList][number];

/** Whether the lists of faults on groups contain a kind, but not the default. */
export function isGroupFault(kind: FaultKind): kind is GroupFaultKind {
  return !FAULT_KINDS.some((other) => other === kind);
}

/** A kind that only the lists of faults on groups contain. */
export type GroupFaultKind = Exclude<FaultKind, typeof FAULT_KINDS[number]>;

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
  /** Seed of the details that are drawn when the fault is injected. */
  readonly seed: number;
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
  list: FaultList = "default",
): Fault[] {
  const faults: Fault[] = [];
  let atMs = 500;
  while (atMs < durationMs) {
    faults.push({
      kind: random.pick<FaultKind>(FAULT_LISTS[list]),
      atMs,
      forMs: 500 + random.int(5_000),
      node: random.int(nodeCount),
      host: random.int(9),
      seed: list === "default" ? 0 : random.int(1_000_000),
    });
    atMs += 300 + random.int(3_500);
  }
  return faults;
}
