/**
 * HTTP server of small endpoints without a body in the request.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { ErrorReporter } from "../base/report_error.ts";
import { reportError } from "../base/report_error.ts";

/** A response with its whole body. */
export interface EndpointResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Responds to the GET requests of one path. */
export type Endpoint = (
  query: URLSearchParams,
) => EndpointResponse | Promise<EndpointResponse>;

const NOT_FOUND: EndpointResponse = {
  status: 404,
  contentType: "text/plain; charset=UTF-8",
  body: "404 Not Found",
};
const FAILED: EndpointResponse = {
  status: 500,
  contentType: "text/plain; charset=UTF-8",
  body: "Internal Server Error",
};

/**
 * Serves endpoints by path. A web framework would add a third to the code that a
 * node loads before it can serve, and loads Node's `fetch` with it.
 */
export class EndpointServer {
  readonly #endpoints: ReadonlyMap<string, Endpoint>;
  readonly #onError: ErrorReporter;
  readonly #server: Server;

  /** Creates a server. `onError` receives what endpoints throw. */
  constructor(
    endpoints: Readonly<Record<string, Endpoint>>,
    onError: ErrorReporter = reportError,
  ) {
    this.#endpoints = new Map(Object.entries(endpoints));
    this.#onError = onError;
    this.#server = createServer((req, res) => this.#handle(req, res));
  }

  /** Starts listening; rejects if the address can't be bound. */
  listen(ip: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, ip, () => resolve());
    });
  }

  /** The bound port. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops listening, and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    req.resume();
    res.on("error", () => {});
    const { status, contentType, body } = await this.#respond(req);
    if (res.destroyed) return;
    const bytes = Buffer.from(body);
    res.writeHead(status, {
      "content-type": contentType,
      "content-length": bytes.length,
    });
    res.end(req.method === "HEAD" ? undefined : bytes);
  }

  async #respond(req: IncomingMessage): Promise<EndpointResponse> {
    const [path, query] = (req.url ?? "").split("?", 2);
    const endpoint = this.#endpoints.get(path);
    const isRead = req.method === "GET" || req.method === "HEAD";
    if (endpoint === undefined || !isRead) return NOT_FOUND;
    try {
      return await endpoint(new URLSearchParams(query));
    } catch (err) {
      this.#onError(err);
      return FAILED;
    }
  }
}
