/**
 * HTTP endpoints of the platform's store, served from memory.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { Outcome } from "../../base/outcome.ts";
import type {
  CoordinationError,
  CoordinationItem,
  Lease,
} from "../../ports/coordination_store.ts";
import type { MemoryCoordination } from "../fleet/memory_coordination.ts";

interface StoreResponse {
  readonly status: number;
  readonly body?: unknown;
}

interface TransactionBody {
  readonly expected?: { key: string; rev: number }[];
  readonly puts?: { key: string; value: string; lease?: number }[];
  readonly remove?: string[];
}

/**
 * Creates a listener that serves the store's requests.
 *
 * @example
 * ```ts
 * createServer(serveStore(new MemoryCoordination(timers))).listen(port);
 * ```
 */
export function serveStore(state: MemoryCoordination): RequestListener {
  const store = state.client();
  const handlers: Record<
    string,
    (url: URL, body: unknown) => Promise<StoreResponse | "abort">
  > = {
    "/kv-range": async (url) => {
      const res = await store.list(url.searchParams.get("path_prefix") ?? "");
      return toResponse(res, (listing) => ({
        items: listing.items.map(itemBody),
        has_more: false,
        as_of: listing.asOf,
      }));
    },
    "/kv-watch": async (url) => {
      const numberParam = (name: string) => Number(url.searchParams.get(name));
      const prefix = url.searchParams.get("path_prefix") ?? "";
      const res = await store.changes(
        prefix,
        { era: state.era, revision: numberParam("after") },
        numberParam("wait_ms"),
      );
      return toResponse(res, (changes) => ({
        events: changes.events.map(({ key, revision, value }) =>
          value === undefined
            ? { key, rev: revision, tombstone: true }
            : { key, rev: revision, value: base64(value) }
        ),
        as_of: changes.asOf,
      }));
    },
    "/kv-txn": async (_url, body) => {
      const { expected = [], puts = [], remove = [] } = body as TransactionBody;
      const res = await store.write(
        expected.map(({ key, rev }) => ({ key, revision: rev })),
        puts.map(({ key, value, lease }) => ({
          key,
          value: Buffer.from(value, "base64").toString("utf8"),
          lease: toLease(lease),
        })),
        remove,
      );
      if (!res.ok) return toErrorResponse(res.err);
      if (res.value.kind === "lease_ended") return { status: 404 };
      if (res.value.kind === "conflict") {
        return {
          status: 412,
          body: { items: res.value.current.map(itemBody) },
        };
      }
      return { status: 200, body: { rev: res.value.revision } };
    },
    "/kv-lease": async (_url, body) => {
      const { ttl_ms } = body as { ttl_ms: number };
      const res = await store.grantLease(ttl_ms);
      return toResponse(res, ({ id, ttlMs }) => ({ lease: id, ttl_ms: ttlMs }));
    },
    "/kv-keep": async (url) => {
      const res = await store.renewLease(leaseOf(url));
      if (res.ok && !res.value.isRenewed) return { status: 404 };
      return toResponse(res, () => ({}));
    },
    "/kv-lease-end": async (url) =>
      toResponse(await store.endLease(leaseOf(url)), () => ({})),
  };
  return (req, res) => {
    handleRequest(handlers, state, req, res).catch(() => res.destroy());
  };
}

async function handleRequest(
  handlers: Record<
    string,
    (url: URL, body: unknown) => Promise<StoreResponse | "abort">
  >,
  state: MemoryCoordination,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const url = new URL(req.url ?? "/", "http://store");
  // Some requests about a lease have its id as the last part of the path.
  const path = url.pathname.replace(/\/\d+$/, "");
  const body = chunks.length === 0
    ? undefined
    : JSON.parse(Buffer.concat(chunks).toString("utf8"));
  const response = await handlers[path]?.(url, body) ?? { status: 404 };
  if (response === "abort") return void res.destroy();
  res.writeHead(response.status, {
    "content-type": "application/json",
    "store-era": state.era,
  });
  res.end(JSON.stringify(response.body ?? {}));
}

function toResponse<T>(
  res: Outcome<T, CoordinationError>,
  toBody: (value: T) => unknown,
): StoreResponse | "abort" {
  return res.ok
    ? { status: 200, body: toBody(res.value) }
    : toErrorResponse(res.err);
}

/** Returns "abort" if the connection is to be closed without a response. */
function toErrorResponse(err: CoordinationError): StoreResponse | "abort" {
  if (err.kind === "compacted") return { status: 410 };
  return err.kind === "ambiguous" ? "abort" : { status: 503 };
}

function itemBody(item: CoordinationItem) {
  return { key: item.key, value: base64(item.value), rev: item.revision };
}

function base64(value: Uint8Array): string {
  return Buffer.from(value).toString("base64");
}

function leaseOf(url: URL): Lease {
  return toLease(Number(url.pathname.split("/").at(-1)));
}

function toLease(id: number): Lease;
function toLease(id: number | undefined): Lease | undefined;
function toLease(id: number | undefined): Lease | undefined {
  return id === undefined ? undefined : { id, ttlMs: 0, era: 0 };
}
