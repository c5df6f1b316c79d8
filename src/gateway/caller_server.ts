/**
 * The HTTP interface for callers.
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
import type { Call } from "../core/gateway/call.ts";
import type { Gateway } from "../core/gateway/gateway.ts";
import type { CallSource, ReadError } from "./call_reader.ts";
import {
  authenticate,
  readBody,
  readModelCall,
  readServiceCall,
} from "./call_reader.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { NodeReply } from "./node_reply.ts";
import { problemBody, problemStatus } from "./problem_details.ts";

/** Longest time for a caller to send its headers. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Longest time for a caller to send its whole request. */
const REQUEST_TIMEOUT_MS = 60_000;

/** What the server works with. */
export interface CallerServerParts {
  readonly gateway: Gateway;
  readonly metrics: GatewayMetrics;
  readonly maxBodyBytes: number;
}

interface Env {
  Bindings: { incoming: IncomingMessage; outgoing: ServerResponse };
}
type Ctx = Context<Env>;
type CallMaker = (source: CallSource) => Outcome<Call, ReadError>;

/**
 * Makes the HTTP server for callers.
 *
 * @example
 * ```ts
 * createCallerServer({ gateway, metrics, maxBodyBytes }).listen(7001);
 * ```
 */
export function createCallerServer(parts: CallerServerParts): Server {
  const app = createApp(parts);
  const listener = getRequestListener(app.fetch as never, {
    overrideGlobalObjects: false,
  });
  return createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
  }, listener);
}

function createApp(parts: CallerServerParts): Hono<Env> {
  const app = new Hono<Env>();
  const { gateway, metrics } = parts;
  app.get("/healthz", (c) => c.json({ lifecycle: gateway.lifecycle }));
  app.get("/readyz", (c) => {
    const reason = gateway.notReadyReason;
    return c.json({ ready: reason === undefined, reason }, reason ? 503 : 200);
  });
  app.get("/metrics", async (c) => {
    const text = await metrics.registry.metrics();
    return c.text(text, 200, { "content-type": metrics.registry.contentType });
  });
  app.get("/v1/addresses", (c) => answerAddresses(c, parts));
  app.get("/v1/models", (c) => answerModels(c, parts));
  app.post("/v1/chat/completions", (c) => answerCall(c, parts, readModelCall));
  app.post("/v1/completions", (c) => answerCall(c, parts, readModelCall));
  app.all("/services/:name/*", (c) => {
    const name = c.req.param("name");
    return answerCall(c, parts, (source) => readServiceCall(source, name));
  });
  const notFound = { kind: "not_found", detail: "No such path" } as const;
  app.notFound(() => refuse(notFound, randomUUID()));
  return app;
}

/** The address API works before a customer is known, so that callers can start. */
function answerAddresses(c: Ctx, parts: CallerServerParts): Response {
  const caller = c.req.header("x-caller-id") ??
    c.env.incoming.socket.remoteAddress ?? "";
  const zone = c.req.query("zone");
  const answer = parts.gateway.addresses(caller, zone);
  return c.json({ addresses: answer.addresses, ttl_ms: answer.ttlMs });
}

function answerModels(c: Ctx, parts: CallerServerParts): Response {
  const customer = authenticate(c.env.incoming, parts.gateway.cfg);
  if (!customer.ok) return refuse(customer.err, randomUUID());
  const data = parts.gateway.cfg.models.map((model) => ({
    id: model.name,
    object: "model",
    owned_by: model.team,
  }));
  return c.json({ object: "list", data });
}

async function answerCall(
  c: Ctx,
  parts: CallerServerParts,
  makeCall: CallMaker,
): Promise<Response> {
  const id = randomUUID();
  const { incoming, outgoing } = c.env;
  const { gateway } = parts;
  const customer = authenticate(incoming, gateway.cfg);
  if (!customer.ok) return refuse(customer.err, id);
  const body = await readBody(incoming, parts.maxBodyBytes);
  if (!body.ok) return refuse(body.err, id);
  const call = makeCall({
    id,
    req: incoming,
    path: upstreamPath(incoming.url ?? "/"),
    customer: customer.value,
    body: body.value,
    cfg: gateway.cfg,
  });
  if (!call.ok) return refuse(call.err, id);
  const run = gateway.handle(call.value, new NodeReply(outgoing, id));
  outgoing.on("close", () => run?.onCallerDisconnected());
  return RESPONSE_ALREADY_SENT;
}

function refuse(err: ReadError, id: string): Response {
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

/** Services see their own path, without the prefix that names them. */
function upstreamPath(url: string): string {
  const [, rest] = /^\/services\/[^/]+(\/.*)$/.exec(url) ?? [];
  return rest ?? url;
}
