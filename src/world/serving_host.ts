/**
 * A host as it announces itself: an engine or an instance of a plain service.
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

/** A host's place in a replica group. */
export interface Membership {
  readonly group: string;
  readonly epoch: number;
  /** 0 is the head, which takes the group's requests. */
  readonly rank: number;
  readonly state: MembershipState;
}

/** What a host says of itself. */
export interface ServingHost {
  /** Identity of one start; mostly new with each. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly draining: boolean;
  /** How much longer the host stays cold, as of the announcement. */
  readonly coldLeftMs: number;
  /** Unix time of the start, in milliseconds; 0 when unknown. */
  readonly born: number;
  /** Fabric domain; empty for plain services. */
  readonly domain: string;
  /** Models whose weights the host keeps. */
  readonly staged: readonly string[];
  /** Models in the engine's memory. */
  readonly models: readonly string[];
  readonly membership: Membership | undefined;
}

/** A host's report on request; newer than what it announced. */
export interface HostReport {
  /** Commands accepted since the start. */
  readonly seq: number;
  readonly born: number;
  readonly busy: boolean;
  readonly queued: number;
  readonly active: number;
  readonly staged: readonly string[];
  readonly models: readonly string[];
  readonly membership: Membership | undefined;
}
