/**
 * Sends requests to engines and plain services with undici.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import { Agent, buildConnector } from "undici";
import { guardConnections } from "../base/status_line_guard.ts";
import type {
  Attempt,
  AttemptEnd,
  AttemptListener,
  AttemptRequest,
  ResponseHead,
  UpstreamClient,
} from "../ports/upstream_client.ts";
import { findForeignCoding } from "../ports/response_coding.ts";
import type { Upstream } from "../world/upstream.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/** Upper bound; the gateway enforces shorter timeouts itself. */
const RESPONSE_TIMEOUT_MS = 600_000;

/** Response headers that are forwarded to callers. */
const FORWARDED_RESPONSE_HEADERS = ["content-type", "x-not-run", "retry-after"];

/** {@linkcode UpstreamClient} over HTTP/1.1 with keep-alive connections. */
export class UndiciUpstreamClient implements UpstreamClient {
  readonly #agent = new Agent({
    connections: 8_192,
    pipelining: 1,
    connect: guardConnections(buildConnector({ timeout: CONNECT_TIMEOUT_MS })),
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  });

  send(
    upstream: Upstream,
    req: AttemptRequest,
    listener: AttemptListener,
  ): Attempt {
    const attempt = new UndiciAttempt(listener);
    this.#agent.dispatch({
      origin: `http://${upstream.address}`,
      path: req.path,
      method: req.method as Dispatcher.HttpMethod,
      headers: {
        ...req.headers,
        "x-request-id": req.attemptId,
        "x-group-epoch": String(upstream.epoch),
        "x-resume-after": String(req.resumeAfter),
      },
      body: req.body.length > 0 ? req.body as never : null,
    }, attempt);
    return attempt;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

/**
 * One attempt. Without pipelining, a connection carries one request at a time, so a
 * response is matched to its request without an id.
 */
class UndiciAttempt implements Attempt, Dispatcher.DispatchHandler {
  readonly #listener: AttemptListener;
  #controller: Dispatcher.DispatchController | undefined;
  #cancelled = false;
  #ended = false;

  constructor(listener: AttemptListener) {
    this.#listener = listener;
  }

  cancel(): void {
    if (this.#ended) return;
    this.#cancelled = true;
    this.#controller?.abort(new Error("Cancelled"));
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  /** Called once a connection is open and the request is being sent on it. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#cancelled) controller.abort(new Error("Cancelled"));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < 200) return;
    const coding = findForeignCoding(headers);
    if (coding !== undefined) {
      controller.abort(new Error(`The body has the ${coding}`));
      return;
    }
    this.#listener.onHead({
      status,
      headers: forwardedResponseHeaders(headers),
    });
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    this.#end({ kind: "ended" });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    err: Error,
  ): void {
    const detail = err.message || String((err as { code?: string }).code);
    if (this.#cancelled) return this.#end({ kind: "cancelled" });
    // Nothing is sent before `onRequestStart`, which sets the controller.
    const wasStarted = this.#controller !== undefined;
    this.#end(
      wasStarted ? { kind: "broken", detail } : { kind: "not_sent", detail },
    );
  }

  #end(end: AttemptEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#listener.onEnd(end);
  }
}

function forwardedResponseHeaders(
  headers: Record<string, string | string[] | undefined>,
): ResponseHead["headers"] {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_RESPONSE_HEADERS) {
    const value = headers[name];
    if (typeof value === "string") forwarded[name] = value;
  }
  return forwarded;
}
