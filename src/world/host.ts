/**
 * Hosts, fabric domains and availability zones, as the host list shows them.
 *
 * @module
 */

/** What a host was set up to run. */
export type HostKind = "engine" | "service";

/** Whether a host is staying or has been told to leave. */
export type HostState = "live" | "leaving";

/** One upstream host. */
export interface Host {
  readonly id: string;
  readonly kind: HostKind;
  /** IP number and port of the engine or service on the host. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly fabricDomain: string;
  /** Number of accelerators; zero on service hosts. */
  readonly accelerators: number;
  /** Changes each time the host's program starts. */
  readonly bootId: string;
  readonly state: HostState;
  /** Name of the plain service, on service hosts. */
  readonly service?: string;
}
