/**
 * HTTP endpoints that the platform calls: readiness, and the directory of
 * addresses for callers.
 *
 * @module
 */
import type { Endpoint } from "./endpoint_server.ts";

/** Provides the state that the endpoints report. */
export interface EndpointSource {
  isReady(): boolean;
  /** Addresses for callers in an availability zone, with their time to live. */
  addresses(zone: string | undefined): {
    readonly addresses: readonly string[];
    readonly ttlMs: number;
  };
}

/**
 * Creates the endpoint for `GET /ready`.
 *
 * @example
 * ```ts
 * new EndpointServer({ "/ready": readinessEndpoint(source) });
 * ```
 */
export function readinessEndpoint(source: EndpointSource): Endpoint {
  return () => ({
    status: source.isReady() ? 200 : 503,
    contentType: "text/plain; charset=UTF-8",
    body: "",
  });
}

/**
 * Creates the endpoint for `GET /resolve`.
 *
 * @example
 * ```ts
 * new EndpointServer({ "/resolve": directoryEndpoint(source) });
 * ```
 */
export function directoryEndpoint(source: EndpointSource): Endpoint {
  return (query) => {
    const zone = query.get("zone") ?? undefined;
    const { addresses, ttlMs } = source.addresses(zone);
    return addresses.length === 0
      ? toJson(503, { error: "nobody ready" })
      : toJson(200, { addresses, ttl_s: ttlMs / 1_000 });
  };
}

function toJson(status: number, body: unknown) {
  return {
    status,
    contentType: "application/json",
    body: JSON.stringify(body),
  };
}
