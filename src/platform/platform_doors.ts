/**
 * Answers to the platform's own questions: readiness and the directory.
 *
 * @module
 */
import { Hono } from "hono";

/** What the doors tell. */
export interface EndpointSource {
  isReady(): boolean;
  /** Addresses for clients of a zone, and how long to keep them. */
  addresses(zone: string | undefined): {
    readonly addresses: readonly string[];
    readonly ttlMs: number;
  };
}

/**
 * Makes the application that answers `GET /ready`.
 *
 * @example
 * ```ts
 * serve({ fetch: readyDoor(answers).fetch, hostname: ip, port });
 * ```
 */
export function readinessApp(source: EndpointSource): Hono {
  const app = new Hono();
  app.get("/ready", (ctx) => ctx.text("", source.isReady() ? 200 : 503));
  return app;
}

/**
 * Makes the application that answers `GET /resolve`.
 *
 * @example
 * ```ts
 * serve({ fetch: directoryDoor(answers).fetch, hostname: ip, port });
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
