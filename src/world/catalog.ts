/**
 * What operators declare for serving: routes with their contracts, services
 * and the engines behind them, limits of callers, customers with their keys.
 *
 * @module
 */

/** What may be repeated: nothing, anything, or a stream from its last event. */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** A service that a route may send to, and its share of the requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of a host name and path go, and under which contract. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may go on at another upstream after its last event. */
  readonly resumable: boolean;
  /** Most upstreams that one request may be sent to. */
  readonly attempts: number;
  /** Longest time that a caller is kept, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer or the first event that counts as on time. */
  readonly goalMs: number;
  /** Longest pause between events that counts as on time. */
  readonly gapMs: number;
  /** 0 is served first. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  readonly targets: readonly RouteTarget[];
}

/** A model as the engines of a service run it. */
export interface EngineModel {
  readonly name: string;
  /** Hosts of one replica group. */
  readonly size: number;
  /** Share of the work expected at the start. */
  readonly share: number;
  /** Factor on all times of the engine. */
  readonly pace: number;
  /** Time of a load from the weight store, in milliseconds. */
  readonly loadMs: number;
  /** Time of a load from the host itself, in milliseconds. */
  readonly warmMs: number;
}

/** Performance model of an engine. Times are milliseconds. */
export interface EngineSpec {
  readonly slots: number;
  readonly kvTokens: number;
  /** Steps of one pass; a stream gets one event each pass. */
  readonly stride: number;
  readonly models: readonly EngineModel[];
  readonly stepMs: number;
  readonly perSequenceMs: number;
  readonly contextMsPerThousand: number;
  readonly readTokensPerSecond: number;
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
  /** Mean token counts of prompts and answers. */
  readonly usual: { readonly prompt: number; readonly answer: number };
  /** Factor on all times of a group whose hosts are in several domains. */
  readonly farFactor: number;
  /** Time from the command to open until a group serves. */
  readonly formMs: number;
}

/** A service: engines in replica groups, or a plain application. */
export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  readonly maxConnections: number;
  readonly coldMs: number;
  /** Requests a second that a cold host bears; 0 for no limit. */
  readonly coldPerSecond: number;
  readonly engine: EngineSpec | undefined;
}

/** What callers may send, and how slowly. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer and the keys that it may use now. */
export interface KeyedCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority. */
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
