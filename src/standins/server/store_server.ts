/**
 * Stand-in for the key-value store: the part of etcd's v3 JSON gateway that the
 * system uses.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Timers } from "../../base/timers.ts";
import { sleep } from "../../base/timers.ts";
import type { StoreEntry, StorePut } from "../../ports/key_value_store.ts";
import type { MemoryKeyValue } from "../sim/memory_key_value.ts";
import { readJson, sendJson } from "./http_helpers.ts";

/** Faults to inject into the key-value store. */
export interface StoreFaults {
  down: boolean;
  latencyMs: number;
  /**
   * Number of responses to transactions still to be dropped: the transaction is
   * applied, but its connection is aborted.
   */
  loseAnswers: number;
}

/** Number of requests served, by kind. */
export interface StoreRequestCounts {
  reads: number;
  writes: number;
}

/** Serves a {@linkcode MemoryKeyValue} over HTTP. */
export class StoreServer {
  readonly server: Server;
  readonly faults: StoreFaults = { down: false, latencyMs: 0, loseAnswers: 0 };
  readonly requestCounts: StoreRequestCounts = { reads: 0, writes: 0 };
  readonly #state: MemoryKeyValue;
  readonly #timers: Timers;

  constructor(timers: Timers, state: MemoryKeyValue) {
    this.#timers = timers;
    this.#state = state;
    this.server = createServer((req, res) => {
      this.#handle(req, res);
    });
  }

  /** Closes all connections, so that watches end as they do in an outage. */
  closeConnections(): void {
    this.server.closeAllConnections();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readJson(req);
    await sleep(this.#timers, this.faults.latencyMs);
    if (this.faults.down) {
      req.socket.destroy();
      return;
    }
    switch (req.url) {
      case "/v3/kv/range":
        this.requestCounts.reads += 1;
        return sendJson(res, 200, this.#range(body));
      case "/v3/kv/txn":
        this.requestCounts.writes += 1;
        return this.#transact(body, req, res);
      case "/v3/lease/grant":
        this.requestCounts.writes += 1;
        return this.#grantLease(body, res);
      case "/v3/lease/keepalive":
        this.requestCounts.writes += 1;
        return this.#renewLease(body, res);
      case "/v3/watch":
        this.requestCounts.reads += 1;
        return this.#watch(body, res);
      default:
        return sendJson(res, 404, { error: "No such method" });
    }
  }

  #range(body: Record<string, unknown>): unknown {
    const key = decodeBase64(body.key);
    const isPrefixRead = typeof body.range_end === "string" &&
      body.range_end !== "";
    const found = isPrefixRead
      ? this.#state.readPrefix(key)
      : [this.#state.read(key)].filter((entry) => entry.modRevision > 0);
    return { kvs: found.map(toWire), count: String(found.length) };
  }

  #transact(
    body: Record<string, unknown>,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    const result = this.#state.transact(readPuts(body));
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      req.socket.destroy();
      return;
    }
    const header = { revision: String(this.#state.revision) };
    if (result.applied) return sendJson(res, 200, { header, succeeded: true });
    const responses = result.current.map((entry) => ({
      response_range: { kvs: entry.modRevision > 0 ? [toWire(entry)] : [] },
    }));
    sendJson(res, 200, { header, succeeded: false, responses });
  }

  #grantLease(body: Record<string, unknown>, res: ServerResponse): void {
    const ttl = Number(body.TTL);
    if (!(ttl > 0)) {
      return sendJson(res, 400, { error: "TTL must be positive" });
    }
    const id = this.#state.grantLease(ttl * 1000);
    sendJson(res, 200, { ID: id, TTL: String(ttl) });
  }

  #renewLease(body: Record<string, unknown>, res: ServerResponse): void {
    const isRenewed = this.#state.renewLease(String(body.ID));
    sendJson(res, 200, { result: { ID: body.ID, TTL: isRenewed ? "1" : "0" } });
  }

  #watch(body: Record<string, unknown>, res: ServerResponse): void {
    const create = (body.create_request ?? {}) as Record<string, unknown>;
    const watch = {
      prefix: decodeBase64(create.key),
      onEntry: (entry: StoreEntry) => {
        const type = entry.modRevision === 0 ? "DELETE" : "PUT";
        const events = [{ type, kv: toWire(entry) }];
        res.write(`${JSON.stringify({ result: { events } })}\n`);
      },
    };
    this.#state.watch(watch);
    res.on("close", () => this.#state.unwatch(watch));
    res.writeHead(200, { "content-type": "application/json" });
    res.write(`${JSON.stringify({ result: { created: true } })}\n`);
  }
}

function readPuts(body: Record<string, unknown>): StorePut[] {
  const compare = (body.compare ?? []) as Array<{ mod_revision: string }>;
  const writes = (body.success ?? []) as Array<
    { request_put: { key: string; value: string; lease?: string } }
  >;
  return writes.map(({ request_put: put }, i) => ({
    key: decodeBase64(put.key),
    value: decodeBase64(put.value),
    leaseId: put.lease,
    expectRevision: Number(compare[i]?.mod_revision ?? 0),
  }));
}

function toWire(entry: StoreEntry) {
  return {
    key: Buffer.from(entry.key).toString("base64"),
    value: Buffer.from(entry.value).toString("base64"),
    mod_revision: String(entry.modRevision),
  };
}

function decodeBase64(text: unknown): string {
  return Buffer.from(String(text ?? ""), "base64").toString("utf8");
}
