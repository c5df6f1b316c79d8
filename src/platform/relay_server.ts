/**
 * HTTP server for callers' requests.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import type { ErrorReporter } from "../base/report_error.ts";
import { reportError } from "../base/report_error.ts";
import type {
  BodyBudget,
  BodyReservation,
} from "../core/limits/body_budget.ts";
import type { RawHeaders } from "../ports/relay_client.ts";
import type { CallerLimits } from "../world/catalog.ts";
import type {
  Refusal,
  RefusalKind,
  RelayRequest,
  RelayResponse,
} from "../core/relay/relay_request.ts";
import { BodyBuffer, LARGE_BODY_BYTES } from "./body_buffer.ts";
import type { StartGate } from "./start_gate.ts";
import { forwardedRequestHeaders, HEADER } from "./wire_names.ts";

/** Limits in force until the first manifest has been read. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Fixed limit of Node's HTTP parser; the manifest's limit is checked separately. */
const PARSER_MAX_HEADER_BYTES = 131_072;
const CONNECTIONS_CHECK_INTERVAL_MS = 250;

const STATUS_BY_REFUSAL: Readonly<Record<RefusalKind, number>> = {
  no_catalog: 503,
  unconfirmed: 503,
  unknown_route: 404,
  unknown_key: 401,
  overloaded: 503,
  no_replica: 503,
  shutting_down: 503,
  crashes_upstreams: 502,
  expired: 503,
  timed_out: 504,
  upstream_failed: 502,
};

/**
 * Handles a request. Returns the run to notify when the caller disconnects;
 * undefined when the request was refused.
 */
export type RequestHandler = (
  request: RelayRequest,
  response: RelayResponse,
) => { onCallerDisconnected(): void } | undefined;

/** Reads callers' requests, and writes the responses. */
export class RelayServer {
  readonly #server: Server;
  readonly #handle: RequestHandler;
  readonly #onError: ErrorReporter;
  readonly #gate: StartGate | undefined;
  readonly #bodies: BodyBudget | undefined;
  #limits = INITIAL_LIMITS;
  #draining = false;

  /**
   * Creates a server. `onError` receives what `handle` throws. Requests that `gate`
   * holds are handled later, with the rest of their time. Those whose body does not
   * fit into the budget `bodies` are refused before it is read.
   */
  constructor(
    handle: RequestHandler,
    onError: ErrorReporter = reportError,
    gate?: StartGate,
    bodies?: BodyBudget,
  ) {
    this.#bodies = bodies;
    this.#handle = handle;
    this.#onError = onError;
    this.#gate = gate;
    this.#server = createServer({
      maxHeaderSize: PARSER_MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    }, (req, res) => this.#handleRequest(req, res));
    this.#server.on("clientError", (err, socket) => {
      respondToParserError(err as NodeJS.ErrnoException, socket as Socket);
    });
    this.limits = INITIAL_LIMITS;
  }

  /** Sets the size and time limits of callers' requests. */
  set limits(limits: CallerLimits) {
    this.#limits = limits;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Starts listening; rejects if the address can't be bound. */
  listen(ip: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host: ip, port, backlog: 2_048 }, resolve);
    });
  }

  /** The bound port; 0 while the server doesn't listen. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Stops listening, and closes all connections immediately. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Closes idle connections now, and the others after their next response. */
  drainConnections(): void {
    this.#draining = true;
    this.#server.closeIdleConnections();
  }

  #handleRequest(req: IncomingMessage, res: ServerResponse): void {
    const response = new HttpResponse(res, () => this.#draining);
    if (headerBytes(req) > this.#limits.maxHeaderBytes) {
      return response.respond(431, "The header is too large");
    }
    const target = req.url ?? "";
    const requestId = headerValue(req, HEADER.attemptId);
    if (!target.startsWith("/") || requestId === undefined) {
      return response.respond(400, "A path and a request id are needed");
    }
    const contentLength = Number(req.headers["content-length"] ?? 0);
    if (contentLength > this.#limits.maxBodyBytes) {
      return response.respond(413, "The body is too large");
    }
    const reservation = this.#bodies?.reserve(contentLength);
    if (this.#bodies !== undefined && reservation === undefined) {
      return this.#refuseBody(req, response);
    }
    res.once("close", () => reservation?.release());
    this.#readBody(req, response, reservation, (body, heldMs) => {
      const hasLeft = res.destroyed || req.socket.readableEnded;
      if (heldMs > 0 && hasLeft) return response.abort();
      const request = toRelayRequest(req, target, requestId, body, heldMs);
      const run = this.#handle(request, response);
      if (run === undefined) return;
      const onDisconnect = () => {
        if (response.finished) return;
        run.onCallerDisconnected();
        response.abort();
      };
      // The response closes only once what was written to it is sent, while the
      // caller's side of the connection ends as soon as the caller closes it.
      const { socket } = req;
      socket.once("end", onDisconnect);
      res.once("close", () => {
        socket.off("end", onDisconnect);
        onDisconnect();
      });
      if (res.destroyed || socket.readableEnded) onDisconnect();
    });
  }

  /** Refuses a request whose body does not fit, and discards the body. */
  #refuseBody(req: IncomingMessage, response: HttpResponse): void {
    response.refuse({
      kind: "overloaded",
      detail: "No memory is left for the body",
      retryAfterMs: this.#bodies?.expectedReleaseMs,
    });
    req.removeAllListeners("data");
    req.resume();
  }

  #readBody(
    req: IncomingMessage,
    response: HttpResponse,
    reservation: BodyReservation | undefined,
    onBody: (body: Uint8Array, heldMs: number) => void,
  ): void {
    const declaredBytes = Number(req.headers["content-length"] ?? 0);
    const buffer = new BodyBuffer(declaredBytes);
    const isLarge = () =>
      Math.max(declaredBytes, buffer.bytes) > LARGE_BODY_BYTES;
    let isTimed = false;
    // A stalled caller must not keep a large reservation.
    const limitIdleTime = () => {
      if (isTimed || reservation === undefined || !isLarge()) return;
      isTimed = true;
      req.setTimeout(this.#limits.idleTimeoutMs, () => response.abort());
    };
    limitIdleTime();
    req.on("data", (chunk: Buffer) => {
      const bytes = buffer.bytes + chunk.length;
      if (bytes > this.#limits.maxBodyBytes) {
        req.removeAllListeners("data");
        response.respond(413, "The body is too large");
        return;
      }
      const isReserved = bytes <= declaredBytes ||
        reservation === undefined || reservation.extend(chunk.length);
      if (!isReserved) return this.#refuseBody(req, response);
      buffer.add(chunk);
      limitIdleTime();
    });
    req.on("end", () => {
      if (isTimed) req.setTimeout(0);
      if (response.finished) return;
      const body = buffer.take();
      const handle = (heldMs: number) => {
        try {
          onBody(body, heldMs);
        } catch (err) {
          response.respond(500, "Unexpected error");
          this.#onError(err);
        }
      };
      if (this.#gate === undefined) handle(0);
      else this.#gate.pass(handle);
    });
    req.on("error", () => {});
  }
}

/** Writes the response to one request. */
class HttpResponse implements RelayResponse {
  readonly #res: ServerResponse;
  readonly #isDraining: () => boolean;
  #finished = false;

  constructor(res: ServerResponse, isDraining: () => boolean) {
    this.#res = res;
    this.#isDraining = isDraining;
    res.on("error", () => {});
  }

  /** Whether the response has been ended or aborted. */
  get finished(): boolean {
    return this.#finished;
  }

  writeHead(status: number, headers: RawHeaders): void {
    if (this.#res.destroyed) return;
    const allHeaders = this.#isDraining()
      ? [...headers, "connection", "close"]
      : headers;
    this.#res.writeHead(status, allHeaders as string[]);
  }

  write(chunk: Uint8Array): boolean {
    if (this.#res.destroyed) return true;
    return this.#res.write(chunk);
  }

  end(): void {
    this.#finished = true;
    if (!this.#res.destroyed) this.#res.end();
  }

  refuse(refusal: Refusal): void {
    const { kind, detail, retryAfterMs } = refusal;
    const headers: string[] = [];
    if (retryAfterMs !== undefined) {
      headers.push(HEADER.retryAfter, (retryAfterMs / 1_000).toFixed(2));
    }
    if (kind === "shutting_down") headers.push("connection", "close");
    this.respond(STATUS_BY_REFUSAL[kind], `${kind}: ${detail}`, headers);
  }

  abort(): void {
    this.#finished = true;
    this.#res.destroy();
  }

  onDrain(callback: () => void): void {
    this.#res.once("drain", callback);
  }

  /** Responds with an error from this process, not from a host. */
  respond(status: number, detail: string, headers: RawHeaders = []): void {
    if (this.#finished) return;
    this.#finished = true;
    if (this.#res.destroyed) return;
    const body = Buffer.from(JSON.stringify({ error: detail }));
    const isTooLarge = status === 413 || status === 431;
    const connectionHeader = this.#isDraining() || isTooLarge
      ? ["connection", "close"]
      : [];
    this.#res.writeHead(status, [
      "content-type",
      "application/json",
      "content-length",
      String(body.length),
      ...headers,
      ...(headers.includes("connection") ? [] : connectionHeader),
    ]);
    this.#res.end(body);
  }
}

function toRelayRequest(
  req: IncomingMessage,
  target: string,
  requestId: string,
  body: Uint8Array,
  heldMs: number,
): RelayRequest {
  const [promptTokens, maxTokens] = parseNumbers(
    headerValue(req, HEADER.tokenCount),
  );
  const [deadlineMs] = parseNumbers(headerValue(req, HEADER.deadlineMs));
  const [expectedTokens] = parseNumbers(headerValue(req, HEADER.lengthHint));
  const hostName = (req.headers.host ?? "").toLowerCase().replace(/:\d+$/, "");
  return {
    id: requestId,
    method: req.method ?? "GET",
    hostName,
    target,
    headers: forwardedRequestHeaders(req.rawHeaders),
    body,
    apiKey: apiKeyOf(headerValue(req, HEADER.authorization)),
    deadlineMs,
    heldMs,
    lastEventId: headerValue(req, HEADER.lastEventId),
    model: headerValue(req, HEADER.model),
    promptTokens: promptTokens ?? 0,
    maxTokens: maxTokens ?? 0,
    promptParts: parseSharedParts(headerValue(req, HEADER.promptPrefix)),
    expectedTokens,
  };
}

function headerValue(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === "string" ? value : undefined;
}

/** Parses comma-separated numbers; invalid and negative ones are undefined. */
function parseNumbers(text: string | undefined): (number | undefined)[] {
  if (text === undefined) return [];
  return text.split(",").map((part) => {
    const value = Number(part.trim());
    return Number.isFinite(value) && value >= 0 ? value : undefined;
  });
}

/** Returns the ids of all parts but the last, which no other request shares. */
function parseSharedParts(text: string | undefined): string[] {
  if (text === undefined) return [];
  return text.split(",").slice(0, -1)
    .map((part) => part.split(":")[0].trim().toLowerCase())
    .filter((id) => id !== "");
}

function apiKeyOf(authorization: string | undefined): string | undefined {
  return /^Token\s+(\S+)$/i.exec(authorization ?? "")?.[1];
}

/** Size of the request line and the header, in bytes. */
function headerBytes(req: IncomingMessage): number {
  // The 12 bytes are two spaces, `HTTP/1.1` and CRLF; each header name and value
  // is followed by two bytes, `: ` or CRLF.
  let bytes = (req.method ?? "").length + (req.url ?? "").length + 12;
  for (const text of req.rawHeaders) bytes += text.length + 2;
  return bytes;
}

function respondToParserError(
  err: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (!socket.writable || err.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const line = err.code === "HPE_HEADER_OVERFLOW"
    ? "431 Request Header Fields Too Large"
    : err.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? "408 Request Timeout"
    : "400 Bad Request";
  socket.end(
    `HTTP/1.1 ${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}
