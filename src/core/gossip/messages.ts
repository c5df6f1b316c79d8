/**
 * Statuses that the nodes of the fleet send each other. They are sent at short
 * intervals and not acknowledged.
 *
 * @module
 */
import type { Membership } from "../../world/serving_host.ts";
import type { SuspicionKind } from "../fleet/suspicion_tracker.ts";
import type { HostChange } from "../fleet/host_changes.ts";
import type { HostRead } from "../fleet/host_update.ts";
import type { ResidualStatus } from "../outlook/first_event_calibration.ts";
import type { EntryStatus } from "../entry/mod.ts";
import type { ClockTime } from "./node_clock.ts";

/** Load that one node puts on one upstream. */
export interface LoadStatus {
  /** Key of the upstream. */
  readonly key: string;
  readonly inFlight: number;
  /** Prompt tokens of requests that have no first event yet. */
  readonly pendingPromptTokens: number;
  /**
   * Time since the last event from the upstream, in milliseconds; -1 if there
   * was none.
   */
  readonly silentMs: number;
}

/** A suspicion about an upstream, with its age. */
export interface SuspicionStatus {
  /** Key of the upstream. */
  readonly key: string;
  readonly kind: SuspicionKind;
  readonly ageMs: number;
}

/**
 * State of a host as the leader observes it, for use while the store is
 * unreachable.
 */
export interface HostStatus {
  readonly id: string;
  readonly model: string;
  readonly membership: Membership | undefined;
}

/** A request during which upstreams crashed. */
export interface StrikeStatus {
  /** Fingerprint of the request. */
  readonly fingerprint: string;
  /** Ids of the runs of upstreams that crashed. */
  readonly crashed: readonly string[];
}

/** A crash of an upstream, with its age. */
export interface PartCrashStatus {
  /** Key of the upstream. */
  readonly upstream: string;
  readonly ageMs: number;
}

/** A prompt part that was in flight at crashes; see `SuspectPart`. */
export interface SuspectPartStatus {
  readonly part: string;
  readonly model: string;
  readonly companions: readonly string[];
  readonly crashes: readonly PartCrashStatus[];
  readonly isQuarantined: boolean;
}

/** The rate limit that a host named in a response, with the age of the response. */
export interface HostLimitStatus {
  readonly id: string;
  /** When the host started, as it announces it. */
  readonly born: number;
  /** Requests per second; undefined if it named none. */
  readonly perSecond: number | undefined;
  readonly ageMs: number;
}

/** State of a node when it created the status. */
export interface StatusMessage {
  readonly node: string;
  /**
   * Time since the node created the status, in milliseconds, without the time on
   * its way and the time for which it waited to be read.
   */
  readonly ageMs: number;
  /**
   * When the node created the status, on its own clock; undefined from nodes of
   * earlier versions.
   */
  readonly createdAt: ClockTime | undefined;
  /**
   * By how much the node's clock was ahead of peers' statuses on arrival, by the
   * peer's clock; see `PeerClocks`. Empty from nodes whose reads others don't use.
   */
  readonly clockLags: readonly (readonly [clock: number, lagMs: number])[];
  /** Identity of one run of the node. */
  readonly incarnation: string;
  readonly internalAddress: string;
  readonly callerAddress: string;
  readonly zone: string;
  readonly state: "starting" | "serving" | "leaving";
  readonly catalogVersion: number;
  /**
   * Age of the node's own confirmation of the catalog by the store, in
   * milliseconds; -1 if it is too old or there is none.
   */
  readonly confirmedMs: number;
  readonly loads: readonly LoadStatus[];
  readonly suspicions: readonly SuspicionStatus[];
  /** Upstreams cleared of suspicion, with the time since then. */
  readonly cleared: readonly (readonly [key: string, ageMs: number])[];
  readonly strikes: readonly StrikeStatus[];
  readonly suspectParts: readonly SuspectPartStatus[];
  /** Parts to which a response began after crashes, with the time since then. */
  readonly soundParts: readonly (readonly [part: string, ageMs: number])[];
  /** Rate limits that hosts named in responses to the node. */
  readonly hostLimits: readonly HostLimitStatus[];
  /** Whether the node can't reach the store. */
  readonly isStoreUnreachable: boolean;
  /** Term in which the node is the leader; 0 when it is not. */
  readonly leaderTerm: number;
  readonly hosts: readonly HostStatus[];
  /**
   * Newest era of the store that the node knows of, to which all revisions in the
   * status belong; 0 before its first answer.
   */
  readonly storeEra: number;
  /**
   * Whether the node polls the hosts in the store at short intervals and
   * publishes their changes.
   */
  readonly publishesHosts: boolean;
  readonly hostChanges: readonly HostChange[];
  /** Whether there were more changes than fit into `hostChanges`. */
  readonly isTruncated: boolean;
  /** Revision of the newest host change that the node saw; 0 for none. */
  readonly hostRevision: number;
  /**
   * The node's last read of the hosts from the store; undefined if it is too old
   * to be of use to peers.
   */
  readonly hostRead: HostRead | undefined;
  /** Revision of the newest operators' document that the node saw. */
  readonly operatorRevision: number;
  /** Engine time that requests need, in milliseconds per second, by model. */
  readonly demand: Readonly<Record<string, number>>;
  /**
   * What the node has learnt of the times to first events; empty from nodes whose
   * estimates others don't use.
   */
  readonly residuals: readonly ResidualStatus[];
  /** Internal addresses of other nodes, so that starting nodes find peers. */
  readonly peers: readonly string[];
  /**
   * Capacity and load for the choice of addresses; undefined from nodes of
   * earlier versions and from those without a capacity in their settings.
   */
  readonly entry: EntryStatus | undefined;
  /** Whether the node decodes compressed batches. */
  readonly acceptsCompressed: boolean;
}

/** Statuses that are sent in one datagram. */
export interface StatusBatch {
  /** Whether the sender is a hub that forwards statuses of other nodes. */
  readonly isForwarded: boolean;
  /** Whether a hub that receives the batch forwards it before its next round. */
  readonly isUrgent: boolean;
  readonly statuses: readonly StatusMessage[];
}

/**
 * Returns a status with `elapsedMs` added to all its ages.
 *
 * @example
 * ```ts
 * const current = advanceAges(status, storedMs);
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
    hostRead: status.hostRead && {
      ...status.hostRead,
      ageMs: status.hostRead.ageMs + elapsedMs,
    },
    loads: status.loads.map((load) => ({
      ...load,
      silentMs: advance(load.silentMs),
    })),
    suspicions: status.suspicions.map((suspicion) => ({
      ...suspicion,
      ageMs: suspicion.ageMs + elapsedMs,
    })),
    cleared: status.cleared.map(([key, ageMs]) => [key, ageMs + elapsedMs]),
    suspectParts: status.suspectParts.map((suspect) => ({
      ...suspect,
      crashes: suspect.crashes.map(({ upstream, ageMs }) => ({
        upstream,
        ageMs: ageMs + elapsedMs,
      })),
    })),
    hostLimits: status.hostLimits.map((limit) => ({
      ...limit,
      ageMs: limit.ageMs + elapsedMs,
    })),
    soundParts: status.soundParts.map(([part, ageMs]) => [
      part,
      ageMs + elapsedMs,
    ]),
  };
}
