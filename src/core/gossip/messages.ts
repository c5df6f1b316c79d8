/**
 * What processes of the fleet tell each other, often and without confirmation.
 *
 * @module
 */
import type { Membership } from "../../world/serving_host.ts";
import type { DoubtKind } from "../fleet/evidence.ts";

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
export interface DoubtNews {
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
export interface StrikeNews {
  readonly fingerprint: string;
  readonly crashed: readonly string[];
}

/** State of one process at one moment. */
export interface StatusMessage {
  readonly node: string;
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
  readonly doubts: readonly DoubtNews[];
  /** Upstreams that were doubted and found whole, with the age of the finding. */
  readonly trusted: readonly (readonly [key: string, ageMs: number])[];
  readonly strikes: readonly StrikeNews[];
  /** Term in which the process acts for the fleet; 0 when it does not. */
  readonly actingTerm: number;
  readonly hosts: readonly HostNews[];
  /** Engine time asked for per second, by model, in milliseconds. */
  readonly demand: Readonly<Record<string, number>>;
  /** Internal addresses of processes known, for those that start. */
  readonly peers: readonly string[];
}
