/**
 * Forwards callers' requests to hosts.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import { Agent, buildConnector } from "undici";
import type { HostRef } from "../ports/host_control.ts";
import type {
  RelayAttempt,
  RelayClient,
  RelayEnd,
  RelayHandle,
  RelayHead,
  RelayListener,
} from "../ports/relay_client.ts";
import { forwardedResponseHeaders, HEADER } from "./wire_names.ts";

const CONNECT_TIMEOUT_MS = 600;
/** Above every route's timeout; the request's own deadline applies first. */
const RESPONSE_TIMEOUT_MS = 600_000;
const IDEMPOTENT_KEEP_ALIVE_MS = 4_000;
/**
 * Idle time after which a connection is not reused for a request that must not
 * run twice: the host may have closed a connection that was idle for longer.
 */
const NON_IDEMPOTENT_KEEP_ALIVE_MS = 300;
const EVENT_STREAM_TYPE = "text/event-stream";

/** {@linkcode RelayClient} over HTTP/1.1, with one request at a time per connection. */
export class HttpRelayClient implements RelayClient {
  readonly #endEventState: EndEventState = { isReset: false };
  readonly #idempotentAgent = createAgent(
    IDEMPOTENT_KEEP_ALIVE_MS,
    this.#endEventState,
  );
  readonly #nonIdempotentAgent = createAgent(
    NON_IDEMPOTENT_KEEP_ALIVE_MS,
    this.#endEventState,
  );

  send(
    host: HostRef,
    attempt: RelayAttempt,
    listener: RelayListener,
  ): RelayHandle {
    const exchange = new Exchange(
      host.id,
      attempt.requestId,
      listener,
      this.#endEventState,
    );
    const agent = attempt.idempotent
      ? this.#idempotentAgent
      : this.#nonIdempotentAgent;
    agent.dispatch({
      origin: `http://${host.address}`,
      path: attempt.path,
      method: attempt.method as Dispatcher.HttpMethod,
      headers: requestHeaders(host, attempt),
      body: attempt.body.byteLength > 0 ? attempt.body as never : null,
    }, exchange);
    return exchange;
  }
}

function createAgent(keepAliveMs: number, endEventState: EndEventState): Agent {
  return new Agent({
    pipelining: 1,
    connect: createResetDetectingConnector(endEventState),
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: keepAliveMs,
  });
}

/**
 * Tells an exchange whether the socket's `end` event was caused by a reset. All
 * connections share one object, as undici handles an event before the next one is
 * emitted.
 */
interface EndEventState {
  /** Whether a reset caused the event; false while no `end` event is handled. */
  isReset: boolean;
}

/**
 * Makes resets detectable. undici treats a response without a length as complete
 * when its connection fails with `ECONNRESET`, so that code is replaced. A reset
 * can also show up as an `end` event; the socket then has no remote address.
 */
function createResetDetectingConnector(
  endEventState: EndEventState,
): ReturnType<typeof buildConnector> {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) => {
    connect(options, (...result) => {
      const [err, socket] = result;
      if (err === null) {
        socket.prependListener("error", (cause: NodeJS.ErrnoException) => {
          if (cause.code === "ECONNRESET") cause.code = "RESET_BY_SERVER";
        });
        socket.prependListener("end", () => {
          endEventState.isReset = socket.remoteAddress === undefined;
          queueMicrotask(() => endEventState.isReset = false);
        });
      }
      callback(...result);
    });
  };
}

function requestHeaders(host: HostRef, attempt: RelayAttempt): string[] {
  const headers = [
    ...attempt.headers,
    HEADER.deadlineMs,
    String(attempt.deadlineMs),
    HEADER.expectInstance,
    host.id,
    HEADER.priority,
    String(attempt.priority),
  ];
  if (attempt.customer !== undefined) {
    headers.push(HEADER.tenant, attempt.customer);
  }
  if (attempt.lastEventId !== undefined) {
    headers.push(HEADER.lastEventId, attempt.lastEventId);
  }
  return headers;
}

type Headers = Record<string, string | string[] | undefined>;

/** One request and its response on one connection. */
class Exchange implements RelayHandle, Dispatcher.DispatchHandler {
  readonly #hostId: string;
  readonly #requestId: string;
  readonly #listener: RelayListener;
  #controller: Dispatcher.DispatchController | undefined;
  #ended = false;
  #protocolError: string | undefined;
  /** Whether only the end of the connection marks the end of the response. */
  #isCloseDelimited = false;
  readonly #endEventState: EndEventState;

  constructor(
    hostId: string,
    requestId: string,
    listener: RelayListener,
    endEventState: EndEventState,
  ) {
    this.#endEventState = endEventState;
    this.#hostId = hostId;
    this.#requestId = requestId;
    this.#listener = listener;
  }

  cancel(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#controller?.abort(new Error("Cancelled"));
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#ended) controller.abort(new Error("Cancelled"));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Headers,
  ): void {
    if (status < 200 || this.#ended) return;
    this.#protocolError = this.#findProtocolError(status, headers);
    if (this.#protocolError !== undefined) {
      controller.abort(new Error(this.#protocolError));
      return;
    }
    this.#isCloseDelimited = headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined;
    this.#listener.onHead(this.#toRelayHead(status, headers));
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (!this.#ended) this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#isCloseDelimited && this.#endEventState.isReset) {
      return this.#end({ kind: "reset", detail: "reset at the end of input" });
    }
    this.#end({ kind: "ended" });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    err: Error,
  ): void {
    const code = (err as { code?: string }).code ?? "";
    const detail = `${code} ${err.message}`.trim();
    const isParseError = err.name === "HTTPParserError" &&
      !err.message.includes("Invalid EOF");
    // A path or header that can't be sent is not a failure of the host.
    const isInvalidRequest = code === "UND_ERR_INVALID_ARG";
    if (this.#protocolError !== undefined || isParseError || isInvalidRequest) {
      return this.#end({ kind: "malformed", detail });
    }
    // Without a connection the request was never started.
    const wasStarted = this.#controller !== undefined;
    this.#end({ kind: wasStarted ? "reset" : "not_sent", detail });
  }

  /** Returns why a response can't belong to this request; undefined if it can. */
  #findProtocolError(status: number, headers: Headers): string | undefined {
    const echoedId = headers[HEADER.attemptId];
    if (echoedId !== undefined && echoedId !== this.#requestId) {
      return "The answer belongs to another request";
    }
    const isSuccess = status < 300;
    if (isSuccess && (echoedId === undefined || !headers[HEADER.stamp])) {
      return "The answer is not signed";
    }
    return undefined;
  }

  #toRelayHead(status: number, headers: Headers): RelayHead {
    const raw: string[] = [];
    for (const [name, value] of Object.entries(headers)) {
      for (const item of Array.isArray(value) ? value : [value]) {
        if (item !== undefined) raw.push(name, item);
      }
    }
    const atServer = headers[HEADER.atServer];
    const faultyMemberId = typeof atServer === "string" ? atServer : undefined;
    const type = String(headers["content-type"] ?? "");
    // A 421 that names another group member concerns that member's address, not
    // the address of this host.
    return {
      status,
      headers: forwardedResponseHeaders(raw),
      notRun: headers[HEADER.notExecuted] !== undefined,
      wrongHost: status === 421 &&
        (faultyMemberId ?? this.#hostId) === this.#hostId,
      faultyMemberId,
      isStream: type.startsWith(EVENT_STREAM_TYPE),
    };
  }

  #end(end: RelayEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#listener.onEnd(end);
  }
}
