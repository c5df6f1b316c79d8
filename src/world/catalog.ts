/**
 * Catalog that operators declare for nodes: routes with their contracts,
 * services and their engines, limits on callers, and customers with their keys.
 * Gateways and controllers use `configuration.ts` instead.
 *
 * @module
 */

/**
 * Retry contract: requests may run more than once, may run at most once, or are
 * streams that may resume after their last event.
 */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** A service that a route sends to, with its weight in the traffic split. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Targets and contract of requests to a host name and path prefix. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may resume on another upstream after its last event. */
  readonly resumable: boolean;
  /** Maximum number of upstreams that one request is sent to. */
  readonly attempts: number;
  /** Timeout of a request, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Target for the time to the response or to the first event, in milliseconds.
   */
  readonly goalMs: number;
  /** Target for the longest gap between events, in milliseconds. */
  readonly gapMs: number;
  /** Lower numbers are served first; 0 is the highest priority. */
  readonly priority: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  readonly targets: readonly RouteTarget[];
}

/** A model that the engines of a service run. */
export interface EngineModel {
  readonly name: string;
  /** Number of hosts in one replica group. */
  readonly size: number;
  /** Estimated share of the load, used until there is traffic. */
  readonly share: number;
  /** Multiplier for the engine's prefill and decode times with this model. */
  readonly pace: number;
  /** Time to load weights from the weight store, in milliseconds. */
  readonly loadMs: number;
  /** Time to load weights that are staged on the host, in milliseconds. */
  readonly warmMs: number;
}

/** Performance model of an engine. Times are milliseconds. */
export interface EngineSpec {
  /** Number of requests that a group runs concurrently. */
  readonly slots: number;
  /** Size of the KV cache, in tokens. */
  readonly kvTokens: number;
  /** Decode steps in one engine pass; a stream gets one event per pass. */
  readonly stride: number;
  readonly models: readonly EngineModel[];
  /** Part of a decode step's time that does not depend on its sequences. */
  readonly stepMs: number;
  /** Time that each sequence adds to a decode step. */
  readonly perSequenceMs: number;
  /** Time that 1,000 tokens of a sequence's context add to a decode step. */
  readonly contextMsPerThousand: number;
  readonly prefillTokensPerSecond: number;
  /** Maximum number of prompt tokens that one decode step prefills. */
  readonly chunkTokens: number;
  /** Limit on model loads that start per second, over all hosts. */
  readonly loadsPerSecond: number;
  /** Limit on model loads in progress, over all hosts. */
  readonly maxConcurrentLoads: number;
  /** Mean token counts of prompts and responses. */
  readonly usual: { readonly prompt: number; readonly answer: number };
  /**
   * Multiplier for the prefill and decode times of a group that spans several
   * fabric domains.
   */
  readonly crossDomainFactor: number;
  /** Time from the `open` command until a group serves, in milliseconds. */
  readonly formationMs: number;
}

/**
 * A service: engines in replica groups, or a plain service without an engine.
 */
export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  readonly maxConnections: number;
  /** Time after its start for which a host is cold, in milliseconds. */
  readonly coldMs: number;
  /** Limit on requests per second to a cold host; 0 means no limit. */
  readonly coldPerSecond: number;
  readonly engine: EngineSpec | undefined;
}

/** Limits on the size and duration of what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer with its valid keys. */
export interface KeyedCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Replaces the route's priority; undefined to keep it. */
  readonly priority: number | undefined;
}

/** One version of everything that operators declare. */
export interface Catalog {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  /** Undefined when requests carry no keys. */
  readonly customers: readonly KeyedCustomer[] | undefined;
}
