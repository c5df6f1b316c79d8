/**
 * Hosts as the host list shows them to gateways and controllers. Nodes use
 * `serving_host.ts` instead.
 *
 * @module
 */

/** What a host runs. */
export type HostKind = "engine" | "service";

/** Whether a host is live or has to leave. */
export type HostState = "live" | "leaving";

/** One upstream host. */
export interface Host {
  readonly id: string;
  readonly kind: HostKind;
  /** IP address and port of the engine or service on the host. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly fabricDomain: string;
  /** Number of accelerators; zero on service hosts. */
  readonly accelerators: number;
  /** Identity of one boot; changes with each start of the host's program. */
  readonly bootId: string;
  readonly state: HostState;
  /** Name of the plain service, on service hosts. */
  readonly service?: string;
}
