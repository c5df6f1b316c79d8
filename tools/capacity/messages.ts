/**
 * Messages between the processes of the capacity measurement.
 *
 * @module
 */

/** Fleet size of one measurement, and its rate of configuration changes. */
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
  /** Peer ports of the gateways to contact first. */
  readonly seedPorts: readonly number[];
}

/** Resource usage of one gateway process since its start. */
export interface GatewayUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
  /** Bytes sent and received on all of its sockets. */
  readonly socketBytes: number;
  /** Revision of the configuration in force. */
  readonly revision: number;
  /** Number of gateways in the configuration. */
  readonly members: number;
  readonly openUpstreams: number;
}

/** Result of one measurement; CPU, memory and traffic are means per gateway. */
export interface SizeResult extends FleetSize {
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly controlKbPerS: number;
  readonly storeReadsPerS: number;
  readonly storeWritesPerS: number;
  /** Seconds until each change was in force on all gateways. */
  readonly inForceS: readonly number[];
}
