/**
 * Replica groups and the record that holds all groups of one fabric domain.
 *
 * @module
 */

/**
 * Life of a group. Only an `open` group serves; a `releasing` group waits for
 * its engines to confirm that they have left.
 */
export type GroupState = "loading" | "open" | "draining" | "releasing";

/** A host's place in a group, with the boot that joined. */
export interface GroupMember {
  readonly hostId: string;
  readonly bootId: string;
  /** IP number and port of the member's engine. */
  readonly address: string;
}

/** One copy of a model over several hosts. */
export interface ReplicaGroup {
  readonly id: string;
  /** Fencing epoch: unique, increasing, new for each formation. */
  readonly epoch: number;
  readonly model: string;
  readonly version: string;
  readonly members: readonly GroupMember[];
  readonly state: GroupState;
  /** Incarnation of the controller that formed the group. */
  readonly changedBy: string;
}

/** The unit of compare-and-swap: every group of one fabric domain. */
export interface DomainRecord {
  readonly fabricDomain: string;
  readonly availabilityZone: string;
  /** Increases by one with each write. */
  readonly revision: number;
  /** Fencing number of the controller that wrote the record. */
  readonly fence: number;
  readonly groups: readonly ReplicaGroup[];
}

/**
 * Names the upstream that a group is at one epoch.
 *
 * @example
 * ```ts
 * groupUpstreamId(group); // "layout-large-3@17"
 * ```
 */
export function groupUpstreamId(group: ReplicaGroup): string {
  return `${group.id}@${group.epoch}`;
}

/**
 * Makes the record of a domain that has never held a group.
 *
 * @example
 * ```ts
 * const record = emptyDomainRecord("ktm-a-1", "ktm-a");
 * ```
 */
export function emptyDomainRecord(
  fabricDomain: string,
  availabilityZone: string,
): DomainRecord {
  return { fabricDomain, availabilityZone, revision: 0, fence: 0, groups: [] };
}
