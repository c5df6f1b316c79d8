/**
 * The controller's view of hosts, joined from the host list and engine
 * statuses.
 *
 * @module
 */
import type { EngineStatus } from "../../ports/engine_control.ts";
import type { Host } from "../../world/host.ts";
import type { GroupMember, ReplicaGroup } from "../../world/replica_group.ts";

/** Age of the newest status after which a host is treated as missing. */
export const HOST_SILENT_MS = 1_500;

/** An engine host as the controller sees it. */
export interface HostView {
  readonly host: Host;
  /** The newest status; undefined if none was ever received. */
  readonly status: EngineStatus | undefined;
  /**
   * Time since the newest status was requested, in milliseconds; infinite if
   * there is none.
   */
  readonly silentMs: number;
}

/** Whether a member's host still runs, is leaving or is missing. */
export type MemberHealth = "present" | "leaving" | "missing";

/** All engine hosts by id. */
export type HostViews = ReadonlyMap<string, HostView>;

/**
 * Derives a member's health from the newest host list and engine status.
 *
 * @example
 * ```ts
 * if (memberHealth(member, views) === "missing") release(group);
 * ```
 */
export function memberHealth(
  member: GroupMember,
  views: HostViews,
): MemberHealth {
  const view = views.get(member.hostId);
  if (view === undefined) return "missing";
  if (view.status !== undefined && view.status.bootId !== member.bootId) {
    return "missing";
  }
  if (view.silentMs > HOST_SILENT_MS) return "missing";
  return view.host.state === "leaving" ? "leaving" : "present";
}

/** Whether a member's engine is ready in the group, at the group's epoch. */
export function memberReady(
  member: GroupMember,
  group: ReplicaGroup,
  views: HostViews,
): boolean {
  const status = views.get(member.hostId)?.status;
  return status !== undefined && status.bootId === member.bootId &&
    status.epoch === group.epoch && status.groupId === group.id &&
    status.phase === "ready";
}

/**
 * Whether a member's engine has certainly left the group: it reports so itself,
 * or the host has another boot id now, so the engine has restarted.
 */
export function memberReleased(
  member: GroupMember,
  group: ReplicaGroup,
  views: HostViews,
): boolean {
  const view = views.get(member.hostId);
  const status = view?.status;
  if (view === undefined || status === undefined) return false;
  if (status.bootId !== member.bootId) return true;
  if (view.silentMs > HOST_SILENT_MS) return false;
  return status.groupId !== group.id || status.epoch !== group.epoch;
}
