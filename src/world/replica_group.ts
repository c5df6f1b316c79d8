/**
 * Replica groups and the record that holds all groups of one fabric domain.
 *
 * @module
 */

/**
 * Lifecycle of a group. Only an `open` group serves. A `releasing` group waits
 * for its engines to confirm that they have left.
 */
export type GroupState = "loading" | "open" | "draining" | "releasing";

/** A host in a group, with the boot that joined. */
export interface GroupMember {
  readonly hostId: string;
  readonly bootId: string;
  /** IP address and port of the member's engine. */
  readonly address: string;
}

/** One replica of a model, spread over hosts. */
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

/** All groups of one fabric domain: the unit of compare-and-swap. */
export interface DomainRecord {
  readonly fabricDomain: string;
  readonly availabilityZone: string;
  /** Increases by one with each write. */
  readonly revision: number;
  /** Fencing token of the controller that wrote the record. */
  readonly fence: number;
  readonly groups: readonly ReplicaGroup[];
}

/**
 * Returns the id of the upstream that a group forms at its epoch.
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
 * Creates the record of a domain that has never had a group.
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
