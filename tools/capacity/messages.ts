/**
 * What the processes of the capacity measurement tell each other.
 *
 * @module
 */

/** Size of one measurement. */
export interface FleetSize {
  readonly gateways: number;
  readonly hosts: number;
  readonly changesPerS: number;
}

/** Settings of one gateway process. */
export interface GatewayStart {
  readonly index: number;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly storePort: number;
  readonly hostListPort: number;
  readonly seedPorts: readonly number[];
}

/** What one gateway process has used since its start. */
export interface GatewayUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
  /** Bytes on all of its sockets, both ways. */
  readonly socketBytes: number;
  readonly revision: number;
  readonly members: number;
  readonly openUpstreams: number;
}

/** What one measurement brought, for the mean gateway. */
export interface SizeResult extends FleetSize {
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly controlKbPerS: number;
  readonly storeReadsPerS: number;
  readonly storeWritesPerS: number;
  /** Times until changes were in force everywhere, in seconds. */
  readonly inForceS: readonly number[];
}
