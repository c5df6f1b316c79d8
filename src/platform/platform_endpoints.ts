/**
 * HTTP endpoints that the platform calls: readiness, and the directory of
 * addresses for callers.
 *
 * @module
 */
import { Hono } from "hono";

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
 * Creates the app that serves `GET /ready`.
 *
 * @example
 * ```ts
 * serve({ fetch: readinessApp(source).fetch, hostname: ip, port });
 * ```
 */
export function readinessApp(source: EndpointSource): Hono {
  const app = new Hono();
  app.get("/ready", (ctx) => ctx.text("", source.isReady() ? 200 : 503));
  return app;
}

/**
 * Creates the app that serves `GET /resolve`.
 *
 * @example
 * ```ts
 * serve({ fetch: directoryApp(source).fetch, hostname: ip, port });
 * ```
 */
export function directoryApp(source: EndpointSource): Hono {
  const app = new Hono();
  app.get("/resolve", (ctx) => {
    const { addresses, ttlMs } = source.addresses(ctx.req.query("zone"));
    if (addresses.length === 0) return ctx.json({ error: "nobody ready" }, 503);
    return ctx.json({ addresses, ttl_s: ttlMs / 1_000 });
  });
  return app;
}
