/**
 * What processes of the fleet tell each other, often and without confirmation.
 *
 * @module
 */
import type { Membership } from "../../world/serving_host.ts";
import type { DoubtKind } from "../fleet/evidence.ts";
import type { HostChange } from "../fleet/host_changes.ts";

/** Work of one process on one upstream. */
export interface LoadNews {
  readonly key: string;
  readonly inFlight: number;
  /** Prompt tokens of requests that have no first event yet. */
  readonly reading: number;
  /** Time since the last event from the upstream, in milliseconds; -1 for none. */
  readonly silentMs: number;
}

/** A doubt, with its age. */
export interface DoubtStatus {
  readonly key: string;
  readonly kind: DoubtKind;
  readonly ageMs: number;
}

/** State of a host that the store can't tell at present. */
export interface HostNews {
  readonly id: string;
  readonly model: string;
  readonly membership: Membership | undefined;
}

/** A request that was running when upstreams crashed. */
export interface StrikeStatus {
  readonly fingerprint: string;
  readonly crashed: readonly string[];
}

/** State of one process at one moment. */
export interface StatusMessage {
  readonly node: string;
  /** Time since the process made the message, in milliseconds. */
  readonly ageMs: number;
  /** Identity of one run of the process. */
  readonly incarnation: string;
  readonly internalAddress: string;
  readonly callerAddress: string;
  readonly zone: string;
  readonly state: "starting" | "serving" | "leaving";
  readonly catalogVersion: number;
  /** Age of the catalog's confirmation; -1 for none. */
  readonly confirmedMs: number;
  readonly loads: readonly LoadNews[];
  readonly doubts: readonly DoubtStatus[];
  /** Upstreams that were doubted and found whole, with the age of the finding. */
  readonly trusted: readonly (readonly [key: string, ageMs: number])[];
  readonly strikes: readonly StrikeStatus[];
  /** Whether the process is without the store. */
  readonly isCutOff: boolean;
  /** Term in which the process acts for the fleet; 0 when it does not. */
  readonly actingTerm: number;
  readonly hosts: readonly HostNews[];
  /** Whether the process follows the store's hosts closely and tells them. */
  readonly tellsHosts: boolean;
  readonly hostChanges: readonly HostChange[];
  /** Whether there were more changes than could be told. */
  readonly isCutShort: boolean;
  /** Revision of the newest change of a host that it saw; 0 for none. */
  readonly hostRevision: number;
  /** Revision of the newest operators' document seen. */
  readonly operatorRevision: number;
  /** Engine time asked for per second, by model, in milliseconds. */
  readonly demand: Readonly<Record<string, number>>;
  /** Internal addresses of processes known, for those that start. */
  readonly peers: readonly string[];
}

/** Statuses that one process sends to another. */
export interface StatusBatch {
  /** Whether the sender passes on what others told it. */
  readonly isPassedOn: boolean;
  /** Whether it is to be passed on at once. */
  readonly isUrgent: boolean;
  readonly statuses: readonly StatusMessage[];
}

/**
 * A status with all its ages grown.
 *
 * @example
 * ```ts
 * const now = aged(status, heldMs);
 * ```
 */
export function advanceAges(
  status: StatusMessage,
  elapsedMs: number,
): StatusMessage {
  const advance = (ms: number) => ms < 0 ? ms : ms + elapsedMs;
  return {
    ...status,
    ageMs: status.ageMs + elapsedMs,
    confirmedMs: advance(status.confirmedMs),
    loads: status.loads.map((load) => ({
      ...load,
      silentMs: advance(load.silentMs),
    })),
    doubts: status.doubts.map((doubt) => ({
      ...doubt,
      ageMs: doubt.ageMs + elapsedMs,
    })),
    trusted: status.trusted.map(([key, ageMs]) => [key, ageMs + elapsedMs]),
  };
}
