/**
 * Stand-in for the host list: one HTTP resource with an entity tag.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { sha256 } from "../../base/hash.ts";
import type { Host } from "../../world/host.ts";

/** Serves `GET /v1/hosts`; responds with 304 if the client's list is current. */
export class HostListServer {
  readonly #list: () => readonly Host[];

  constructor(list: () => readonly Host[]) {
    this.#list = list;
  }

  /** Handles one request. */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const body = JSON.stringify({ hosts: this.#list() });
    const etag = `"${sha256(body).slice(0, 16)}"`;
    if (req.headers["if-none-match"] === etag) {
      res.writeHead(304, { etag }).end();
      return;
    }
    res.writeHead(200, { "content-type": "application/json", etag }).end(body);
  }
}
