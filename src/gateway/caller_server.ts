/**
 * The HTTP server for callers.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { getRequestListener } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Context } from "hono";
import { Hono } from "hono";
import type { Outcome } from "../base/outcome.ts";
import type { CallerRequest } from "../core/gateway/caller_request.ts";
import type { Gateway } from "../core/gateway/gateway.ts";
import type { AuthenticatedRequest, RequestError } from "./request_parser.ts";
import {
  authenticate,
  parseModelRequest,
  parseServiceRequest,
  readBody,
} from "./request_parser.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { HttpResponseWriter } from "./http_response_writer.ts";
import { problemBody, problemStatus } from "./problem_details.ts";

/** Timeout for receiving the headers of a request. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Timeout for receiving an entire request. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Dependencies of the caller server. */
export interface CallerServerDependencies {
  readonly gateway: Gateway;
  readonly metrics: GatewayMetrics;
  readonly maxBodyBytes: number;
}

interface Env {
  Bindings: { incoming: IncomingMessage; outgoing: ServerResponse };
}
type CallerContext = Context<Env>;
type RequestParser = (
  request: AuthenticatedRequest,
) => Outcome<CallerRequest, RequestError>;

/**
 * Creates the HTTP server for callers.
 *
 * @example
 * ```ts
 * createCallerServer({ gateway, metrics, maxBodyBytes }).listen(7001);
 * ```
 */
export function createCallerServer(deps: CallerServerDependencies): Server {
  const app = createApp(deps);
  const listener = getRequestListener(app.fetch as never, {
    overrideGlobalObjects: false,
  });
  return createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
  }, listener);
}

function createApp(deps: CallerServerDependencies): Hono<Env> {
  const app = new Hono<Env>();
  const { gateway, metrics } = deps;
  app.get("/healthz", (c) => c.json({ lifecycle: gateway.lifecycle }));
  app.get("/readyz", (c) => {
    const reason = gateway.notReadyReason;
    return c.json({ ready: reason === undefined, reason }, reason ? 503 : 200);
  });
  app.get("/metrics", async (c) => {
    const text = await metrics.registry.metrics();
    return c.text(text, 200, { "content-type": metrics.registry.contentType });
  });
  app.get("/v1/addresses", (c) => listAddresses(c, deps));
  app.get("/v1/models", (c) => listModels(c, deps));
  app.post(
    "/v1/chat/completions",
    (c) => handleRequest(c, deps, parseModelRequest),
  );
  app.post("/v1/completions", (c) => handleRequest(c, deps, parseModelRequest));
  app.all("/services/:name/*", (c) => {
    const name = c.req.param("name");
    return handleRequest(
      c,
      deps,
      (request) => parseServiceRequest(request, name),
    );
  });
  const notFound = { kind: "not_found", detail: "No such path" } as const;
  app.notFound(() => problemResponse(notFound, randomUUID()));
  return app;
}

/**
 * Lists gateway addresses. Requires no authentication, so that callers can
 * bootstrap, even before any customer is configured.
 */
function listAddresses(
  c: CallerContext,
  deps: CallerServerDependencies,
): Response {
  const caller = c.req.header("x-caller-id") ??
    c.env.incoming.socket.remoteAddress ?? "";
  const zone = c.req.query("zone");
  const list = deps.gateway.addresses(caller, zone);
  return c.json({ addresses: list.addresses, ttl_ms: list.ttlMs });
}

function listModels(
  c: CallerContext,
  deps: CallerServerDependencies,
): Response {
  const customer = authenticate(c.env.incoming, deps.gateway.cfg);
  if (!customer.ok) return problemResponse(customer.err, randomUUID());
  const data = deps.gateway.cfg.models.map((model) => ({
    id: model.name,
    object: "model",
    owned_by: model.team,
  }));
  return c.json({ object: "list", data });
}

async function handleRequest(
  c: CallerContext,
  deps: CallerServerDependencies,
  parse: RequestParser,
): Promise<Response> {
  const id = randomUUID();
  const { incoming, outgoing } = c.env;
  const { gateway } = deps;
  const customer = authenticate(incoming, gateway.cfg);
  if (!customer.ok) return problemResponse(customer.err, id);
  const body = await readBody(incoming, deps.maxBodyBytes);
  if (!body.ok) return problemResponse(body.err, id);
  const request = parse({
    id,
    req: incoming,
    path: upstreamPath(incoming.url ?? "/"),
    customer: customer.value,
    body: body.value,
    cfg: gateway.cfg,
  });
  if (!request.ok) return problemResponse(request.err, id);
  const run = gateway.handle(
    request.value,
    new HttpResponseWriter(outgoing, id),
  );
  outgoing.on("close", () => run?.onCallerDisconnected());
  return RESPONSE_ALREADY_SENT;
}

function problemResponse(err: RequestError, id: string): Response {
  const problem = { ...err, notRun: true, log: [] };
  return new Response(JSON.stringify(problemBody(problem, id)), {
    status: problemStatus(err.kind),
    headers: {
      "content-type": "application/problem+json",
      "x-request-id": id,
      ...(err.kind === "body_too_large" ? { connection: "close" } : {}),
    },
  });
}

/** Removes the `/services/NAME` prefix: services receive their own paths. */
function upstreamPath(url: string): string {
  const [, servicePath] = /^\/services\/[^/]+(\/.*)$/.exec(url) ?? [];
  return servicePath ?? url;
}
