/**
 * Client of the platform's metadata store.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Agent, buildConnector } from "undici";
import * as z from "zod";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";
import { guardConnections } from "../base/status_line_guard.ts";
import type { Timers } from "../base/timers.ts";
import type {
  Condition,
  CoordinationChanges,
  CoordinationError,
  CoordinationItem,
  CoordinationListing,
  CoordinationPut,
  CoordinationStore,
  EraOfAnswer,
  Lease,
  LeaseRenewal,
  StorePosition,
  WriteResult,
} from "../ports/coordination_store.ts";
import {
  MAX_HEAD_BYTES,
  MAX_STORE_BODY_BYTES,
} from "../ports/response_limits.ts";
import type { JsonRequestResult } from "./json_requests.ts";
import { requestJson } from "./json_requests.ts";
import { HEADER } from "./wire_names.ts";

const CONNECT_TIMEOUT_MS = 700;
/** A healthy store responds within this time, not counting a poll's wait for a change. */
const CALL_TIMEOUT_MS = 800;
/** A listing begins anew this often if the store is restored between its pages. */
const MAX_LISTING_ATTEMPTS = 3;

const ItemSchema = z.object({
  key: z.string(),
  value: z.string(),
  rev: z.number(),
});
const ListingSchema = z.object({
  items: z.array(ItemSchema),
  has_more: z.boolean(),
  as_of: z.number(),
});
const ChangeSchema = z.object({
  key: z.string(),
  rev: z.number(),
  value: z.string().optional(),
  tombstone: z.boolean().optional(),
});
const ChangesSchema = z.object({
  events: z.array(ChangeSchema),
  as_of: z.number(),
});
const WrittenSchema = z.object({ rev: z.number() });
const ConflictSchema = z.object({ items: z.array(ItemSchema) });
const LeaseSchema = z.object({ lease: z.number(), ttl_ms: z.number() });
const AnyBodySchema = z.unknown().transform(() => ({}));

type AsyncOutcome<T> = Promise<Outcome<T, CoordinationError>>;

/** {@linkcode CoordinationStore} over the platform's HTTP API. */
export class PlatformStore implements CoordinationStore {
  readonly #timers: Timers;
  readonly #baseUrl: string;
  #agent = createAgent();

  constructor(timers: Timers, address: string) {
    this.#timers = timers;
    this.#baseUrl = `http://${address}`;
  }

  async list(prefix: string): AsyncOutcome<CoordinationListing> {
    for (let attempt = 0; attempt < MAX_LISTING_ATTEMPTS; attempt++) {
      const listing = await this.#listPages(prefix);
      if (listing !== "mixed_eras") return listing;
    }
    return failure({ kind: "unavailable", detail: "pages of several eras" });
  }

  async #listPages(
    prefix: string,
  ): Promise<Outcome<CoordinationListing, CoordinationError> | "mixed_eras"> {
    const items: CoordinationItem[] = [];
    let asOf: number | undefined;
    let era: number | undefined;
    for (let after = "";;) {
      const query = new URLSearchParams({ path_prefix: prefix });
      if (after !== "") query.set("after", after);
      const res = await this.#call("GET", `/kv-range?${query}`);
      const page = parseResponse(res, 200, ListingSchema);
      if (!page.ok) return page;
      era ??= page.value.era;
      if (page.value.era !== era) return "mixed_eras";
      // The pages are not one snapshot, so changes are followed from the revision
      // of the first page.
      asOf ??= page.value.as_of;
      for (const item of page.value.items) items.push(toItem(item));
      const last = page.value.items.at(-1);
      if (!page.value.has_more || last === undefined) break;
      after = last.key;
    }
    return success({ items, asOf, era });
  }

  async changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
  ): AsyncOutcome<CoordinationChanges> {
    const query = new URLSearchParams({
      path_prefix: prefix,
      after: String(after.revision),
      wait_ms: String(Math.round(waitMs)),
    });
    const path = `/kv-watch?${query}`;
    const res = await this.#call("GET", path, undefined, waitMs);
    if (res.kind === "answer" && res.status === 410) {
      return failure({ kind: "compacted" });
    }
    const changes = parseResponse(res, 200, ChangesSchema);
    if (!changes.ok) return changes;
    return success({
      era: changes.value.era,
      asOf: changes.value.as_of,
      events: changes.value.events.map((event) => ({
        key: event.key,
        revision: event.rev,
        value: event.tombstone || event.value === undefined
          ? undefined
          : Buffer.from(event.value, "base64"),
      })),
    });
  }

  async write(
    conditions: readonly Condition[],
    puts: readonly CoordinationPut[],
    removes: readonly string[],
  ): AsyncOutcome<WriteResult> {
    const res = await this.#call("POST", "/kv-txn", {
      expected: conditions.map((c) => ({ key: c.key, rev: c.revision })),
      puts: puts.map((put) => ({
        key: put.key,
        value: Buffer.from(put.value).toString("base64"),
        ...(put.lease === undefined ? {} : { lease: put.lease.id }),
      })),
      remove: removes,
    });
    if (res.kind === "answer" && res.status === 412) {
      const conflict = parseResponse(res, 412, ConflictSchema);
      if (!conflict.ok) return conflict;
      const { era, items } = conflict.value;
      return success({ kind: "conflict", era, current: items.map(toItem) });
    }
    if (res.kind === "answer" && res.status === 404) {
      return success({ kind: "lease_ended", era: eraOf(res) });
    }
    const written = parseResponse(res, 200, WrittenSchema);
    if (!written.ok) return written;
    const { era, rev } = written.value;
    return success({ kind: "written", era, revision: rev });
  }

  async grantLease(ttlMs: number): AsyncOutcome<Lease> {
    const res = await this.#call("POST", "/kv-lease", { ttl_ms: ttlMs });
    const granted = parseResponse(res, 200, LeaseSchema);
    if (!granted.ok) return granted;
    const { era, lease, ttl_ms } = granted.value;
    return success({ era, id: lease, ttlMs: ttl_ms });
  }

  async renewLease({ id }: Lease): AsyncOutcome<LeaseRenewal> {
    const res = await this.#call("POST", `/kv-keep/${id}`);
    if (res.kind === "answer" && res.status === 404) {
      return success({ isRenewed: false, era: eraOf(res) });
    }
    const renewed = parseResponse(res, 200, AnyBodySchema);
    if (!renewed.ok) return renewed;
    return success({ isRenewed: true, era: renewed.value.era });
  }

  async endLease({ id }: Lease): AsyncOutcome<EraOfAnswer> {
    const res = await this.#call("DELETE", `/kv-lease-end/${id}`);
    const ended = parseResponse(res, undefined, AnyBodySchema);
    return ended.ok ? success({ era: ended.value.era }) : ended;
  }

  async #call(
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: unknown,
    waitMs = 0,
  ): Promise<JsonRequestResult> {
    const timeoutMs = waitMs + CALL_TIMEOUT_MS;
    const url = this.#baseUrl + path;
    const agent = this.#agent;
    const res = await requestJson(
      this.#timers,
      agent,
      method,
      url,
      timeoutMs,
      body,
    );
    if (res.kind === "timed_out") this.#replace(agent);
    return res;
  }

  /**
   * Opens new connections for the calls that follow: if one connection has gone
   * silent, others that were opened before may have, too.
   */
  #replace(agent: Agent): void {
    if (agent !== this.#agent) return;
    this.#agent = createAgent();
    // Calls in progress keep their connections until they end.
    agent.close();
  }
}

function createAgent(): Agent {
  return new Agent({
    connections: 16,
    pipelining: 1,
    maxHeaderSize: MAX_HEAD_BYTES,
    maxResponseSize: MAX_STORE_BODY_BYTES,
    connect: guardConnections(buildConnector({ timeout: CONNECT_TIMEOUT_MS })),
    keepAliveTimeout: 10_000,
  });
}

/**
 * Parses a response with the expected status. Without an expected status, any
 * below 300 is accepted.
 */
function parseResponse<T extends z.ZodType>(
  res: JsonRequestResult,
  status: number | undefined,
  schema: T,
): Outcome<z.infer<T> & EraOfAnswer, CoordinationError> {
  if (res.kind === "not_sent") {
    return failure({ kind: "unavailable", detail: res.detail });
  }
  if (res.kind !== "answer") {
    return failure({ kind: "ambiguous", detail: res.detail });
  }
  const isExpected = status === undefined
    ? res.status < 300
    : res.status === status;
  if (!isExpected) {
    return failure({ kind: "unavailable", detail: `status ${res.status}` });
  }
  const body = schema.safeParse(res.body);
  if (!body.success) {
    return failure({
      kind: "ambiguous",
      detail: "response body does not match the schema",
    });
  }
  const withEra = { ...body.data as object, era: eraOf(res) };
  return success(withEra as z.infer<T> & EraOfAnswer);
}

/** Era of a response; 0 for a store that sends none. */
function eraOf({ headers }: JsonRequestResult & { kind: "answer" }): number {
  const era = Number(headers[HEADER.storeEra]);
  return Number.isSafeInteger(era) && era >= 0 ? era : 0;
}

function toItem(item: z.infer<typeof ItemSchema>): CoordinationItem {
  return {
    key: item.key,
    value: Buffer.from(item.value, "base64"),
    revision: item.rev,
  };
}
