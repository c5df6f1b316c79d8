/**
 * What a host said of itself at one moment, on which commands are decided.
 *
 * @module
 */
import type { HostCommand } from "../../ports/host_control.ts";
import type { HostReport, Membership } from "../../world/serving_host.ts";

/**
 * The command count and the membership of a host at one moment of one life. The
 * host rejects a command whose expected count differs from its own, so within that
 * life a command takes effect only while the membership of this observation holds,
 * however late it arrives. That does not apply to a count and a membership that
 * were observed apart.
 */
export interface HostObservation {
  /** Start of the life, in Unix milliseconds; 0 when unknown. */
  readonly born: number;
  /** Number of commands that the host had accepted in this life. */
  readonly seq: number;
  readonly membership: Membership | undefined;
  /** Models loaded in the engine's memory, that of the group first. */
  readonly models: readonly string[];
  /** Whether the host reported it, or it follows from an accepted command. */
  readonly from: "command" | "report";
  /** Monotonic time at which it arrived, in milliseconds. */
  readonly at: number;
}

/**
 * Whether two memberships are of the same group and epoch, or both of none.
 *
 * @example
 * ```ts
 * if (!isSameGroup(observation.membership, host.membership)) requestReport(host);
 * ```
 */
export function isSameGroup(
  a: Membership | undefined,
  b: Membership | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.group === b.group && a.epoch === b.epoch;
}

/**
 * Whether two memberships are of the same group and epoch and in the same state,
 * or both of none.
 *
 * @example
 * ```ts
 * const isConfirmed = isSameMembership(observation.membership, host.membership);
 * ```
 */
export function isSameMembership(
  a: Membership | undefined,
  b: Membership | undefined,
): boolean {
  return isSameGroup(a, b) && a?.state === b?.state;
}

/**
 * Whether an announced membership can only be later than a known one: it shows that
 * the host has joined, which it does once a group. Other states may recur.
 *
 * @example
 * ```ts
 * if (hasJoinedSince(observation.membership, host.membership)) open(host);
 * ```
 */
export function hasJoinedSince(
  known: Membership | undefined,
  announced: Membership | undefined,
): boolean {
  return known?.state === "joining" && announced?.state !== "joining" &&
    isSameGroup(known, announced);
}

/**
 * Creates the observation that a report makes at a monotonic time, `at`.
 *
 * @example
 * ```ts
 * const observation = observationOf(report, timers.now());
 * ```
 */
export function observationOf(report: HostReport, at: number): HostObservation {
  const { born, seq, membership, models } = report;
  return { born, seq, membership, models, from: "report", at };
}

/**
 * Creates the observation that follows at a monotonic time, `at`, from another one
 * if the host accepted a command that was decided on it.
 *
 * @example
 * ```ts
 * const observation = observationAfter(decidedOn, host.id, command, timers.now());
 * ```
 */
export function observationAfter(
  decidedOn: HostObservation,
  hostId: string,
  command: HostCommand,
  at: number,
): HostObservation {
  const { born, models } = decidedOn;
  return {
    born,
    seq: decidedOn.seq + 1,
    membership: membershipAfter(decidedOn.membership, hostId, command),
    models: command.kind === "join" ? [command.model] : models,
    from: "command",
    at,
  };
}

function membershipAfter(
  before: Membership | undefined,
  hostId: string,
  command: HostCommand,
): Membership | undefined {
  switch (command.kind) {
    case "join": {
      const { group, epoch, members } = command;
      return { group, epoch, rank: members.indexOf(hostId), state: "joining" };
    }
    case "open":
      return before && { ...before, state: "open" };
    case "close":
      return before && { ...before, state: "closing" };
    case "leave":
      return undefined;
    case "stage":
      return before;
  }
}
