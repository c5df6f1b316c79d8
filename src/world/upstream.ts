/**
 * Upstreams: whatever a request can be sent to.
 *
 * @module
 */

/** A replica group at one epoch, or one instance of a plain service. */
export interface Upstream {
  /** Unique over time: changes with the epoch or the boot. */
  readonly id: string;
  readonly kind: "group" | "service";
  /** Model or service name. */
  readonly serves: string;
  readonly version: string;
  /** IP number and port that takes requests. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly fabricDomain: string;
  /** Hosts that must all be present. */
  readonly hostIds: readonly string[];
  /** Fencing epoch of a group; zero for services. */
  readonly epoch: number;
}

/** What an engine or service last said of its load. */
export interface LoadReport {
  readonly bootId: string;
  /** Epoch of the group that the engine is in; zero when it is in none. */
  readonly epoch: number;
  readonly running: number;
  /** Most requests the upstream runs at once when warm. */
  readonly capacity: number;
  /** Requests completed since the engine joined its group. */
  readonly completed: number;
}
