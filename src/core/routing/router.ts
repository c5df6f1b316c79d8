/**
 * The choice of an upstream for one request.
 *
 * @module
 */
import type { UpstreamEntry } from "./upstream_entry.ts";

/** What the choice may depend on. */
export interface RouteQuery {
  /** Hash key of the prompt's prefix; requests that share it share a cache. */
  readonly prefixKey: string;
  readonly availabilityZone: string;
  /** Tells whether the upstream's budget has room. */
  readonly hasRoom: (entry: UpstreamEntry) => boolean;
}

/** Why the upstream was chosen, or why none was. */
export type RouteReason =
  | "affinity"
  | "least_loaded"
  | "probation"
  | "no_upstream"
  | "no_room";

/** A decision, with what it was made from. */
export interface RouteDecision {
  readonly entry: UpstreamEntry | undefined;
  readonly reason: RouteReason;
  readonly considered: readonly string[];
}

/** Chooses among open upstreams. */
export interface Router {
  choose(
    open: readonly UpstreamEntry[],
    query: RouteQuery,
    now: number,
  ): RouteDecision;
}
