/**
 * The HTTP server of the administration API.
 *
 * @module
 */
import type { Server } from "node:http";
import { createServer } from "node:http";
import { getRequestListener } from "@hono/node-server";
import type { Context } from "hono";
import { Hono } from "hono";
import type { Registry } from "prom-client";
import { match, P } from "ts-pattern";
import { z } from "zod";
import { sha256 } from "../base/hash.ts";
import type { Outcome } from "../base/outcome.ts";
import type { AdministrationError } from "../core/configuration/administration.ts";
import type { Action, Change } from "../core/configuration/change.ts";
import { ChangeSchema } from "../core/configuration/change.ts";
import type { Controller } from "../core/controller/controller.ts";
import type { OrderAdminError, OrderId } from "../core/orders/order_admin.ts";
import type { OrderRecord } from "../core/orders/order_record.ts";
import type { TokenSettings } from "../settings/controller_settings.ts";
import type { RecentDecisionLog } from "./recent_decision_log.ts";

/** Longest wait for a change to be in force on all gateways. */
const CHANGE_TIMEOUT_MS = 15_000;

const SettleOrderSchema = z.strictObject({
  state: z.enum(["done", "not_run"]),
});

/** Dependencies of the administration server. */
export interface AdminServerDependencies {
  readonly controller: Controller;
  readonly tokens: Readonly<Record<string, TokenSettings>>;
  readonly decisions: RecentDecisionLog;
  readonly registry: Registry;
}

/** The authenticated sender of a request. */
interface Author {
  readonly name: string;
  readonly token: TokenSettings;
}

/**
 * Creates the HTTP server of the administration API.
 *
 * @example
 * ```ts
 * createAdminServer(deps).listen(7300, "127.0.0.1");
 * ```
 */
export function createAdminServer(deps: AdminServerDependencies): Server {
  const app = createApp(deps);
  return createServer(
    getRequestListener(app.fetch, { overrideGlobalObjects: false }),
  );
}

function createApp(deps: AdminServerDependencies): Hono {
  const app = new Hono();
  app.get("/healthz", (c) => c.json({ active: deps.controller.isLeader }));
  app.get("/metrics", async (c) => c.text(await deps.registry.metrics()));
  app.get("/admin/v1/configuration", (c) => readConfiguration(c, deps));
  app.get("/admin/v1/fleet", (c) => readFleet(c, deps));
  app.get("/admin/v1/decisions", (c) => readDecisions(c, deps));
  const orderPath = "/admin/v1/orders/:customer/:service/:key";
  app.get(orderPath, (c) => readOrder(c, deps));
  app.post(orderPath, (c) => settleOrder(c, deps));
  app.post("/admin/v1/changes", (c) => submitChange(c, deps));
  app.notFound((c) => c.json(problem("not_found", "No such path"), 404));
  return app;
}

async function readConfiguration(
  c: Context,
  deps: AdminServerDependencies,
): Promise<Response> {
  const author = authenticate(c, deps);
  if (author === undefined) return unauthenticatedResponse(c);
  const res = await deps.controller.administration.read();
  if (!res.ok) return errorResponse(c, res.err);
  const { token } = author;
  if (token.role !== "team") return c.json(res.value.cfg);
  return c.json({
    ...res.value.cfg,
    customers: res.value.cfg.customers.filter((x) => x.team === token.team),
  });
}

function readFleet(c: Context, deps: AdminServerDependencies): Response {
  if (authenticate(c, deps) === undefined) return unauthenticatedResponse(c);
  const { controller } = deps;
  return c.json({
    active: controller.isLeader,
    hosts: controller.hosts,
    domains: controller.records,
  });
}

function readDecisions(c: Context, deps: AdminServerDependencies): Response {
  if (authenticate(c, deps) === undefined) return unauthenticatedResponse(c);
  return c.json({ decisions: deps.decisions.recent });
}

function orderId(c: Context): OrderId {
  return {
    customer: c.req.param("customer") ?? "",
    service: c.req.param("service") ?? "",
    idempotencyKey: c.req.param("key") ?? "",
  };
}

async function readOrder(
  c: Context,
  deps: AdminServerDependencies,
): Promise<Response> {
  const author = authenticate(c, deps);
  if (author === undefined) return unauthenticatedResponse(c);
  if (author.token.role === "team") {
    return c.json(problem("forbidden", "Orders are for operators"), 403);
  }
  return orderResponse(c, await deps.controller.orders.show(orderId(c)));
}

async function settleOrder(
  c: Context,
  deps: AdminServerDependencies,
): Promise<Response> {
  const author = authenticate(c, deps);
  if (author === undefined) return unauthenticatedResponse(c);
  if (author.token.role !== "operator") {
    return c.json(problem("forbidden", "Orders are for operators"), 403);
  }
  const body = await c.req.json().catch(() => undefined);
  const parsed = SettleOrderSchema.safeParse(body);
  if (!parsed.success) {
    return c.json(problem("invalid", 'state must be "done" or "not_run"'), 400);
  }
  const { administration, orders } = deps.controller;
  const stored = await administration.read();
  if (!stored.ok) return errorResponse(c, stored.err);
  const { cfg } = stored.value;
  const { state } = parsed.data;
  return orderResponse(c, await orders.settle(orderId(c), state, cfg));
}

function orderResponse(
  c: Context,
  res: Outcome<OrderRecord, OrderAdminError>,
): Response {
  if (res.ok) return c.json(res.value);
  const { kind, detail } = res.err;
  return match(kind)
    .with("unknown_order", () => c.json(problem(kind, detail), 404))
    .with("store_unavailable", () => c.json(problem(kind, detail), 503))
    .with(
      "already_settled",
      "still_running",
      "conflict",
      () => c.json(problem(kind, detail), 409),
    )
    .exhaustive();
}

async function submitChange(
  c: Context,
  deps: AdminServerDependencies,
): Promise<Response> {
  const author = authenticate(c, deps);
  if (author === undefined) return unauthenticatedResponse(c);
  const body = await c.req.json().catch(() => undefined);
  const parsed = ChangeSchema.omit({ author: true }).safeParse(body);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const path = issue.path.join(".") || "body";
    return c.json(problem("invalid", `${path}: ${issue.message}`), 400);
  }
  const change: Change = { ...parsed.data, author: author.name };
  if (!isAllowed(author.token, change.action)) {
    const detail = `Token "${author.name}" may not do this`;
    return c.json(problem("forbidden", detail), 403);
  }
  const { administration } = deps.controller;
  const res = await administration.submit(change, CHANGE_TIMEOUT_MS);
  if (!res.ok) return errorResponse(c, res.err);
  return c.json({ accepted: true, ...res.value.change });
}

/**
 * Checks whether a token permits an action. Operators may do everything except add
 * gateways to the configuration or remove them, which only the controller does.
 * Teams may change only what they own; viewers may change nothing.
 */
function isAllowed(token: TokenSettings, action: Action): boolean {
  return match([token.role, action] as const)
    .with(
      [P._, { kind: P.union("gateway_join", "gateway_leave") }],
      () => false,
    )
    .with(["operator", P._], () => true)
    .with(["viewer", P._], () => false)
    .with(["team", { kind: "set_zone" }], () => false)
    .with(["team", { kind: "remove" }], ([, a]) => a.team === token.team)
    .with(["team", { value: P._ }], ([, a]) => a.value.team === token.team)
    .exhaustive();
}

function authenticate(
  c: Context,
  deps: AdminServerDependencies,
): Author | undefined {
  const header = c.req.header("authorization") ?? "";
  const [, secret] = /^Bearer (\S+)$/.exec(header) ?? [];
  if (secret === undefined) return undefined;
  const digest = sha256(secret);
  const entry = Object.entries(deps.tokens)
    .find(([, token]) => token.hash === digest);
  return entry && { name: entry[0], token: entry[1] };
}

function unauthenticatedResponse(c: Context): Response {
  return c.json(problem("not_authenticated", "The token is not known"), 401);
}

function errorResponse(c: Context, err: AdministrationError): Response {
  return match(err)
    .with({ kind: "conflict" }, (e) => {
      const detail = `"${e.target}" was changed by ${e.other.author}`;
      return c.json({ ...problem("conflict", detail), other: e.other }, 409);
    })
    .with({ kind: "invalid" }, (e) => c.json(problem(e.kind, e.detail), 422))
    .with(
      { kind: "store_unavailable" },
      (e) => c.json(problem(e.kind, e.detail), 503),
    )
    .with(
      { kind: "unconfirmed" },
      (e) => c.json(problem(e.kind, e.detail), 504),
    )
    .exhaustive();
}

function problem(outcome: string, detail: string) {
  const type = `urn:oleander:problem:${outcome}`;
  return { type, title: outcome.replaceAll("_", " "), detail, outcome };
}
