/**
 * HTTP server of one of the platform's hosts: commands, reports, streams and
 * plain requests.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { Timers } from "../../base/timers.ts";
import { sleep } from "../../base/timers.ts";
import type { HostCommand } from "../../ports/host_control.ts";
import type { EngineHosts } from "../fleet/engine_hosts.ts";

const EVENT_INTERVAL_MS = 15;
/** Time until a plain service responds, by default. */
export const RESPONSE_MS = 20;
const STATUS_BY_REPLY = {
  begun: 202,
  done: 200,
  conflict: 409,
  stale: 412,
  wrong_host: 421,
  unknown: 400,
} as const;

/** A request that a host started to run; `at` is in milliseconds. */
export interface RunRecord {
  /** Value of the request's `oleanderarch-attempt-id` header. */
  readonly requestId: string;
  readonly path: string;
  readonly host: string;
  readonly customer: string | undefined;
  readonly at: number;
}

/** All requests that hosts started to run, in order. */
export type RunJournal = RunRecord[];

/**
 * Returns the number of events of a stream, derived from the number at the end
 * of the path.
 */
export function eventCount(path: string): number {
  const [, number = "0"] = /(\d+)$/.exec(path) ?? [];
  return 5 + Number(number) % 12;
}

/**
 * Serves one host: an engine host if `engines` is defined, otherwise an instance
 * of a plain service.
 */
export class HostStandin {
  readonly id: string;
  readonly #timers: Timers;
  readonly #engines: EngineHosts | undefined;
  readonly #journal: RunJournal;
  readonly #server: Server;
  readonly #responseMs: number;

  constructor(
    id: string,
    timers: Timers,
    engines: EngineHosts | undefined,
    journal: RunJournal,
    responseMs = RESPONSE_MS,
  ) {
    this.id = id;
    this.#responseMs = responseMs;
    this.#timers = timers;
    this.#engines = engines;
    this.#journal = journal;
    this.#server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
  }

  /** Listens on a free port and returns the address. */
  listen(ip: string): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, ip, () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`${ip}:${port}`);
      });
    });
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString("utf8");
    const expectedId = req.headers["oleanderarch-expect-instance"];
    if (expectedId !== undefined && expectedId !== this.id) {
      res.writeHead(421, { "oleanderarch-instance-id": this.id }).end();
      return;
    }
    if (req.url === "/report") return await this.#handleReport(res);
    if (req.url === "/order") return await this.#handleCommand(body, res);
    if (this.#engines === undefined) return await this.#respond(req, res);
    await this.#stream(req, res);
  }

  async #handleReport(res: ServerResponse): Promise<void> {
    const report = await this.#engines?.report({ id: this.id, address: "" });
    if (report === undefined || !report.ok) {
      return abort(res, report?.err.kind === "refused");
    }
    const { seq, born, staged, models, membership } = report.value;
    sendJson(res, 200, {
      seq,
      born,
      busy: false,
      staged,
      models: models.map((name) => ({ name })),
      group: groupBody(membership),
    });
  }

  async #handleCommand(body: string, res: ServerResponse): Promise<void> {
    const { operation, expected, ...rest } = JSON.parse(body) as {
      operation: HostCommand["kind"];
      expected?: number;
    };
    const command = { kind: operation, ...rest } as HostCommand;
    const host = { id: this.id, address: "" };
    const result = await this.#engines?.command(host, command, expected);
    if (result === undefined || !result.ok) {
      return abort(res, result?.err.kind === "refused");
    }
    sendJson(res, STATUS_BY_REPLY[result.value], {});
  }

  async #respond(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.#recordRun(req);
    await sleep(this.#timers, this.#responseMs);
    const body = Buffer.from(`done ${req.url}`);
    res.writeHead(200, {
      ...stampHeaders(req, this.id),
      "content-length": String(body.length),
    });
    res.end(body);
  }

  async #stream(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const isServing = () =>
      this.#engines?.servingGroups.some((group) =>
        group.members[0] === this.id
      ) ===
        true;
    const born = this.#engines?.bornAt(this.id);
    if (born === undefined) return abort(res, true);
    // A crash or a broken head cuts off the streams.
    const isCutOff = () =>
      this.#engines?.bornAt(this.id) !== born ||
      this.#engines?.membershipOf(this.id)?.state === "broken";
    if (!isServing()) {
      res.writeHead(503, { "oleanderarch-not-executed": "1" }).end();
      return;
    }
    this.#recordRun(req);
    const lastId = eventCount(req.url ?? "");
    const firstId = Number(req.headers["last-event-id"] ?? 0) + 1;
    for (let id = firstId; id <= lastId; id++) {
      await sleep(this.#timers, EVENT_INTERVAL_MS);
      // A group that lost a member stalls until it is complete again.
      while (!isServing() && !isCutOff() && !res.destroyed) {
        await sleep(this.#timers, 50);
      }
      if (isCutOff()) abort(res, true);
      if (res.destroyed) return;
      if (!res.headersSent) {
        const contentType = { "content-type": "text/event-stream" };
        res.writeHead(200, { ...stampHeaders(req, this.id), ...contentType });
      }
      res.write(`id: ${id}\ndata: ${req.url} ${id}\n\n`);
    }
    if (!res.headersSent) res.writeHead(200, stampHeaders(req, this.id));
    res.end();
  }

  #recordRun(req: IncomingMessage): void {
    this.#journal.push({
      requestId: String(req.headers["oleanderarch-attempt-id"]),
      path: req.url ?? "",
      host: this.id,
      customer: req.headers["oleanderarch-tenant"] as string | undefined,
      at: this.#timers.now(),
    });
  }
}

/**
 * Converts a membership to the format of reports and announcements.
 *
 * @example
 * ```ts
 * entry.group = groupBody(host.membership);
 * ```
 */
export function groupBody(
  membership:
    | { group: string; epoch: number; rank: number; state: string }
    | undefined,
) {
  if (membership === undefined) return undefined;
  const { group, epoch, rank, state } = membership;
  return { name: group, epoch, rank, state };
}

function stampHeaders(
  req: IncomingMessage,
  hostId: string,
): Record<string, string> {
  return {
    "oleanderarch-attempt-id": String(req.headers["oleanderarch-attempt-id"]),
    "oleanderarch-server-stamp": `stamp-${hostId}`,
  };
}

/** Closes a connection without a response, or resets it. */
function abort(res: ServerResponse, isReset: boolean): void {
  if (isReset) res.socket?.resetAndDestroy();
  res.destroy();
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}
