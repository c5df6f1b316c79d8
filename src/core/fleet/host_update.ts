/**
 * What nodes send each other of their reads of the hosts.
 *
 * @module
 */
import type { HostChange } from "./host_changes.ts";

/** A process's last read of the hosts from the store. */
export interface HostRead {
  /** Time since the process requested it, in milliseconds. */
  readonly ageMs: number;
  /** Every change up to this revision of the store was read. */
  readonly revision: number;
  /**
   * The newest of these changes is not newer than this. A peer that has every
   * change up to it has all that were made before the read was requested.
   */
  readonly changeRevision: number;
}

/** How a process learned that a host leaves or has left. */
export interface HostDeparture {
  readonly hostId: string;
  /**
   * Whether the host announces that it leaves, or its announcement is gone; after
   * an outage this may merely have lapsed, and the host is kept for a while.
   */
  readonly how: "draining" | "removed" | "lapsed";
  /** What showed it: a response of the store, or the peer that sent the change. */
  readonly from: "poll" | "listing" | `peer ${string}`;
  /** Age of the list of hosts before that, in milliseconds. */
  readonly listAgeMs: number;
}

/** What one process read of the hosts, for its peers. */
export interface HostUpdate {
  /** Era of the store to which all revisions belong. */
  readonly storeEra: number;
  /** Whether the process polls host changes often, and publishes them. */
  readonly publishesHosts: boolean;
  readonly hostChanges: readonly HostChange[];
  /** Whether older changes were left out, so that peers must poll the store. */
  readonly isTruncated: boolean;
  /** Revision of the newest host change from the feed or a peer; 0 for none. */
  readonly hostRevision: number;
  /** Undefined if the last read is too old to be of use to peers. */
  readonly hostRead: HostRead | undefined;
}
