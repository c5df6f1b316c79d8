/**
 * Upstreams that requests are routed to: replica groups and plain hosts.
 *
 * @module
 */
import type { MembershipState, ServingHost } from "../../world/serving_host.ts";

/** A replica group as its members announce it. */
export interface ReplicaGroupView {
  /** Group name and epoch; identifies the upstream. */
  readonly key: string;
  readonly name: string;
  readonly epoch: number;
  readonly service: string;
  readonly model: string;
  readonly state: MembershipState;
  readonly head: ServingHost | undefined;
  readonly members: readonly ServingHost[];
  /** Ids of the members whose announcements have ended. */
  readonly unlisted: readonly string[];
}

/** An upstream that a request can be sent to. */
export interface Replica {
  readonly key: string;
  readonly service: string;
  /** Model served; undefined for a plain service. */
  readonly model: string | undefined;
  /** Host that receives the requests; the head of a group. */
  readonly host: ServingHost;
  /** Host ids of the members. */
  readonly members: readonly string[];
  /**
   * Whether the members are in several fabric domains, which slows the group.
   */
  readonly isCrossDomain: boolean;
  /**
   * Whether the announcement of a member other than the head has ended. The member
   * may only have lost the store; events of the group's streams show that it works.
   */
  readonly hasUnlistedMember: boolean;
}

/**
 * Identifies a group at one epoch.
 *
 * @example
 * ```ts
 * groupKey("g-17", 40960); // "g-17@40960"
 * ```
 */
export function groupKey(name: string, epoch: number): string {
  return `${name}@${epoch}`;
}
