/**
 * Answers to the platform's own questions: readiness and the directory.
 *
 * @module
 */
import { Hono } from "hono";
/**
 * Makes the application that answers `GET /ready`.
 *
 * @example
 * ```ts
 * serve({ fetch: readyDoor(answers).fetch, hostname: ip, port });
 * ```
 */
export function readyDoor(answers) {
    const app = new Hono();
    app.get("/ready", (ctx) => ctx.text("", answers.isReady() ? 200 : 503));
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
export function directoryDoor(answers) {
    const app = new Hono();
    app.get("/resolve", (ctx) => {
        const { addresses, ttlMs } = answers.addresses(ctx.req.query("zone"));
        if (addresses.length === 0)
            return ctx.json({ error: "nobody ready" }, 503);
        return ctx.json({ addresses, ttl_s: ttlMs / 1_000 });
    });
    return app;
}
