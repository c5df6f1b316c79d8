/**
 * Upstreams: everything that requests can be sent to.
 *
 * @module
 */

/** A replica group at one epoch, or one instance of a plain service. */
export interface Upstream {
  /** Unique over time: changes with the epoch or the boot. */
  readonly id: string;
  readonly kind: "group" | "service";
  /** Name of the model or service. */
  readonly serves: string;
  readonly version: string;
  /** IP address and port for requests. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly fabricDomain: string;
  /** Ids of its hosts; the upstream serves only while all are present. */
  readonly hostIds: readonly string[];
  /** Fencing epoch of a group; zero for services. */
  readonly epoch: number;
}

/** Latest load that an engine or service reported. */
export interface LoadReport {
  readonly bootId: string;
  /** Epoch of the group that the engine is in; zero when it is in none. */
  readonly epoch: number;
  readonly running: number;
  /** Maximum number of concurrent requests when the upstream is warm. */
  readonly capacity: number;
  /** Requests completed since the engine joined its group. */
  readonly completed: number;
}
