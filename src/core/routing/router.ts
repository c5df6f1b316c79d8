/**
 * Interface for choosing the upstream of a request.
 *
 * @module
 */
import type { UpstreamEntry } from "./upstream_entry.ts";

/** Properties of a request that the choice may depend on. */
export interface RouteQuery {
  /** Key of the prompt's prefix; requests with the same key share a cache. */
  readonly prefixKey: string;
  readonly availabilityZone: string;
  /**
   * Returns whether the request may start on an upstream: always if the upstream
   * is warm, otherwise only within this gateway's share of its budget.
   */
  readonly hasBudget: (entry: UpstreamEntry) => boolean;
}

/** Why an upstream was chosen, or why none was. */
export type RouteReason =
  /** The prompt's prefix maps to it, and it has the lowest cost. */
  | "affinity"
  /** It has the lowest cost, but the prefix doesn't map to it. */
  | "least_loaded"
  /** It is a straggler and gets one request to detect its recovery. */
  | "probation"
  /** No upstream is open. */
  | "no_upstream"
  /** No healthy upstream has capacity and budget for the request. */
  | "no_room";

/** A decision and the ids of the upstreams that were considered. */
export interface RouteDecision {
  readonly entry: UpstreamEntry | undefined;
  readonly reason: RouteReason;
  readonly considered: readonly string[];
}

/** Chooses one of the open upstreams. */
export interface Router {
  choose(
    open: readonly UpstreamEntry[],
    query: RouteQuery,
    now: number,
  ): RouteDecision;
}
