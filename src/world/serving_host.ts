/**
 * Hosts as they announce themselves to nodes: engines and instances of plain
 * services. Gateways and controllers use `host.ts` instead.
 *
 * @module
 */

/** State of a host's membership in a replica group. */
export type MembershipState =
  | "joining"
  | "ready"
  | "open"
  | "closing"
  | "broken";

/** A host's membership in a replica group. */
export interface Membership {
  readonly group: string;
  readonly epoch: number;
  /** 0 is the head, which receives the group's requests. */
  readonly rank: number;
  readonly state: MembershipState;
}

/** A host, as its announcement describes it. */
export interface ServingHost {
  /** Identity of one start; usually new after a restart. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Time until the host is warm, in milliseconds from the announcement. */
  readonly coldLeftMs: number;
  /** Unix time of the start, in milliseconds; 0 when unknown. */
  readonly born: number;
  /** Fabric domain; empty for plain services. */
  readonly domain: string;
  /** Models whose weights are staged on the host. */
  readonly staged: readonly string[];
  /** Models loaded in the engine's memory. */
  readonly models: readonly string[];
  readonly membership: Membership | undefined;
}

/** Report that a host returns on request; newer than its announcement. */
export interface HostReport {
  /** Number of commands accepted since the start. */
  readonly seq: number;
  readonly born: number;
  readonly busy: boolean;
  readonly queued: number;
  readonly active: number;
  readonly staged: readonly string[];
  readonly models: readonly string[];
  readonly membership: Membership | undefined;
}
