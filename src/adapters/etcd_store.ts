/**
 * Key-value store over etcd's v3 JSON gateway, as published in its API reference.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Agent, request } from "undici";
import { z } from "zod";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";
import type {
  KeyValueStore,
  StoreEntry,
  StoreError,
  StoreLease,
  StorePut,
  StoreWatch,
  TransactionResult,
  WatchListener,
} from "../ports/key_value_store.ts";
import { LineSplitter } from "./line_splitter.ts";

/** Timeout of a request to the store, in milliseconds. */
export const STORE_TIMEOUT_MS = 2_000;

const Int = z.union([z.string(), z.number()]).transform(Number).pipe(z.int());
const Header = z.object({ revision: Int.default(0) });
const KeyValue = z.object({
  key: z.string(),
  value: z.string().default(""),
  mod_revision: Int,
});
const RangeResponse = z.object({ kvs: z.array(KeyValue).default([]) });
const TxnResponse = z.object({
  header: Header,
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: RangeResponse.optional() }))
    .default([]),
});
const GrantResponse = z.object({ ID: z.string(), TTL: Int });
const KeepAliveResponse = z.object({
  result: z.object({ TTL: Int.default(0) }),
});
const WatchResponse = z.object({
  result: z.object({
    events: z.array(z.object({
      type: z.string().default("PUT"),
      kv: KeyValue.partial({ mod_revision: true }),
    })).default([]),
  }),
});

/** Options of {@linkcode EtcdStore}. */
export interface EtcdStoreOptions {
  /** Base URL, for example `http://127.0.0.1:2379`. */
  readonly endpoint: string;
}

/** {@linkcode KeyValueStore} over HTTP and JSON. */
export class EtcdStore implements KeyValueStore {
  readonly #endpoint: string;
  readonly #agent = new Agent({ connections: 16, pipelining: 1 });

  constructor(options: EtcdStoreOptions) {
    this.#endpoint = options.endpoint;
  }

  async read(key: string): Promise<Outcome<StoreEntry, StoreError>> {
    const res = await this.#call("/v3/kv/range", { key: encode(key) });
    if (!res.ok) return readFailure(res.err);
    const parsed = RangeResponse.safeParse(res.value);
    if (!parsed.success) return malformedResponse();
    const [kv] = parsed.data.kvs;
    return success(kv ? toEntry(kv) : absentEntry(key));
  }

  async readPrefix(
    prefix: string,
  ): Promise<Outcome<readonly StoreEntry[], StoreError>> {
    const body = { key: encode(prefix), range_end: encode(prefixEnd(prefix)) };
    const res = await this.#call("/v3/kv/range", body);
    if (!res.ok) return readFailure(res.err);
    const parsed = RangeResponse.safeParse(res.value);
    return parsed.success
      ? success(parsed.data.kvs.map(toEntry))
      : malformedResponse();
  }

  async transact(
    puts: readonly StorePut[],
  ): Promise<Outcome<TransactionResult, StoreError>> {
    const res = await this.#call("/v3/kv/txn", {
      compare: puts.map((put) => ({
        key: encode(put.key),
        target: "MOD",
        result: "EQUAL",
        mod_revision: String(put.expectRevision),
      })),
      success: puts.map((put) => ({
        request_put: {
          key: encode(put.key),
          value: encode(put.value),
          lease: put.leaseId,
        },
      })),
      failure: puts.map((put) => ({
        request_range: { key: encode(put.key) },
      })),
    });
    if (!res.ok) return res;
    const parsed = TxnResponse.safeParse(res.value);
    if (!parsed.success) {
      return failure({ kind: "ambiguous", detail: "Malformed answer" });
    }
    const { succeeded, header, responses } = parsed.data;
    if (succeeded) return success({ applied: true, revision: header.revision });
    const current = puts.map((put, i) => {
      const [kv] = responses[i]?.response_range?.kvs ?? [];
      return kv ? toEntry(kv) : absentEntry(put.key);
    });
    return success({ applied: false, current });
  }

  async grantLease(ttlMs: number): Promise<Outcome<StoreLease, StoreError>> {
    const body = { TTL: String(Math.ceil(ttlMs / 1000)) };
    const res = await this.#call("/v3/lease/grant", body);
    if (!res.ok) return res;
    const parsed = GrantResponse.safeParse(res.value);
    if (!parsed.success) return malformedResponse();
    const { ID: id, TTL } = parsed.data;
    return success({ id, ttlMs: TTL * 1000 });
  }

  async renewLease(lease: StoreLease): Promise<Outcome<boolean, StoreError>> {
    const res = await this.#call("/v3/lease/keepalive", { ID: lease.id });
    if (!res.ok) return res;
    const parsed = KeepAliveResponse.safeParse(res.value);
    return parsed.success
      ? success(parsed.data.result.TTL > 0)
      : malformedResponse();
  }

  watchPrefix(prefix: string, listener: WatchListener): StoreWatch {
    const abort = new AbortController();
    this.#watch(prefix, listener, abort.signal);
    return { cancel: () => abort.abort() };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #watch(
    prefix: string,
    listener: WatchListener,
    signal: AbortSignal,
  ): Promise<void> {
    try {
      const res = await request(`${this.#endpoint}/v3/watch`, {
        method: "POST",
        dispatcher: this.#agent,
        signal,
        bodyTimeout: 0,
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          create_request: {
            key: encode(prefix),
            range_end: encode(prefixEnd(prefix)),
          },
        }),
      });
      const lines = new LineSplitter();
      for await (const chunk of res.body) {
        for (const line of lines.push(chunk)) deliverEvents(line, listener);
      }
    } catch {
      // `onClosed` below reports that the watch ended; the cause doesn't matter.
    }
    if (!signal.aborted) listener.onClosed();
  }

  async #call(
    path: string,
    body: unknown,
  ): Promise<Outcome<unknown, StoreError>> {
    try {
      const res = await request(`${this.#endpoint}${path}`, {
        method: "POST",
        dispatcher: this.#agent,
        headersTimeout: STORE_TIMEOUT_MS,
        bodyTimeout: STORE_TIMEOUT_MS,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
      });
      const text = await res.body.text();
      if (res.statusCode !== 200) {
        const detail = `The store answered ${res.statusCode}`;
        const isNotExecuted = res.statusCode === 429;
        return failure({
          kind: isNotExecuted ? "unavailable" : "ambiguous",
          detail,
        });
      }
      return success(JSON.parse(text));
    } catch (err) {
      return failure(toStoreError(err));
    }
  }
}

/**
 * Classifies an error of a request. Without a connection nothing was sent; after
 * any other error the store may have executed the request.
 */
function toStoreError(err: unknown): StoreError {
  const code = (err as { code?: string }).code ?? "";
  const detail = err instanceof Error ? err.message : String(err);
  const isNotSent = code === "ECONNREFUSED" ||
    code === "UND_ERR_CONNECT_TIMEOUT";
  return { kind: isNotSent ? "unavailable" : "ambiguous", detail };
}

/** A read has no effect, so its failure is never ambiguous. */
function readFailure(
  err: StoreError,
): { readonly ok: false; readonly err: StoreError } {
  return failure({ kind: "unavailable", detail: err.detail });
}

function malformedResponse(): { readonly ok: false; readonly err: StoreError } {
  return failure({ kind: "unavailable", detail: "Malformed answer" });
}

function deliverEvents(line: string, listener: WatchListener): void {
  const parsed = WatchResponse.safeParse(JSON.parse(line));
  if (!parsed.success) return;
  for (const { type, kv } of parsed.data.result.events) {
    const key = decode(kv.key);
    const value = type === "DELETE" ? "" : decode(kv.value);
    listener.onEntry({ key, value, modRevision: kv.mod_revision ?? 0 });
  }
}

function toEntry(kv: z.infer<typeof KeyValue>): StoreEntry {
  return {
    key: decode(kv.key),
    value: decode(kv.value),
    modRevision: kv.mod_revision,
  };
}

function absentEntry(key: string): StoreEntry {
  return { key, value: "", modRevision: 0 };
}

function encode(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

function decode(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}

/** Returns the first key after all keys with the prefix. */
function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
