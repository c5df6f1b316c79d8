/**
 * One request to a host and its response, on one connection.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import { FALSE_HEAD_CODE } from "../base/status_line_guard.ts";
import type { Timer, Timers } from "../base/timers.ts";
import type {
  RelayEnd,
  RelayHandle,
  RelayHead,
  RelayListener,
} from "../ports/relay_client.ts";
import { findForeignCoding } from "../ports/response_coding.ts";
import {
  MAX_DISCARD_MS,
  MAX_DISCARDED_BYTES,
  MAX_INTERIM_HEADS,
} from "../ports/response_limits.ts";
import type { ConnectionObserver } from "./connection_observer.ts";
import { UNPARSED_BYTES_CODE } from "./connection_observer.ts";
import { ForeignHeadDetector } from "./foreign_head_detector.ts";
import { parseRateLimit } from "./rate_limit_header.ts";
import { forwardedResponseHeaders, HEADER } from "./wire_names.ts";

const EVENT_STREAM_TYPE = "text/event-stream";

/** Codes of errors of a response that is not HTTP. */
const MALFORMED_CODES: ReadonlySet<string> = new Set([
  FALSE_HEAD_CODE,
  UNPARSED_BYTES_CODE,
  "UND_ERR_HEADERS_OVERFLOW",
  // A path or header that can't be sent is not a failure of the host.
  "UND_ERR_INVALID_ARG",
]);

/** Dependencies of a {@linkcode RelayExchange}. */
export interface RelayExchangeDependencies {
  readonly timers: Timers;
  readonly observer: ConnectionObserver;
  /** Called when the rest of a discarded response exceeds a limit. */
  readonly onAbandoned: (hostId: string, reason: string) => void;
}

type Headers = Record<string, string | string[] | undefined>;

/** One request and its response on one connection. */
export class RelayExchange implements RelayHandle, Dispatcher.DispatchHandler {
  readonly #deps: RelayExchangeDependencies;
  readonly #hostId: string;
  readonly #requestId: string;
  readonly #listener: RelayListener;
  /** Called once, when the request has a connection or fails without one. */
  readonly #onConnected: () => void;
  readonly #mayStart: () => boolean;
  #isWithheld = false;
  #isWaiting = true;
  #controller: Dispatcher.DispatchController | undefined;
  /** Whether the listener gets no more calls. */
  #ended = false;
  #protocolError: string | undefined;
  #interimHeads = 0;
  /** Whether only the end of the connection marks the end of the response. */
  #isCloseDelimited = false;
  /** Undefined for a chunked body, whose framing a foreign head violates. */
  #foreignHeads: ForeignHeadDetector | undefined;
  /** Number of discarded bytes; undefined unless the response is discarded. */
  #discardedBytes: number | undefined;
  #discardTimer: Timer | undefined;

  constructor(
    deps: RelayExchangeDependencies,
    hostId: string,
    requestId: string,
    listener: RelayListener,
    onConnected: () => void,
    mayStart: () => boolean,
  ) {
    this.#deps = deps;
    this.#hostId = hostId;
    this.#requestId = requestId;
    this.#listener = listener;
    this.#onConnected = onConnected;
    this.#mayStart = mayStart;
  }

  cancel(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#controller?.abort(new Error("Cancelled"));
  }

  discard(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#discardedBytes = 0;
    this.#controller?.resume();
    this.#discardTimer = this.#deps.timers.after(
      MAX_DISCARD_MS,
      () => this.#abandon(`no end within ${MAX_DISCARD_MS} ms`),
    );
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    this.#stopWaiting();
    if (this.#ended) {
      controller.abort(new Error("Cancelled"));
    } else if (!this.#mayStart()) {
      this.#isWithheld = true;
      controller.abort(new Error("The host no longer receives requests"));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Headers,
  ): void {
    this.#deps.observer.recordParsed();
    if (this.#ended) return;
    this.#protocolError = status < 200
      ? this.#countInterimHead()
      : this.#findProtocolError(status, headers);
    if (this.#protocolError !== undefined) {
      controller.abort(new Error(this.#protocolError));
      return;
    }
    if (status < 200) return;
    const isChunked = headers["transfer-encoding"] !== undefined;
    this.#isCloseDelimited = headers["content-length"] === undefined &&
      !isChunked;
    if (!isChunked) this.#foreignHeads = new ForeignHeadDetector();
    this.#listener.onHead(this.#toRelayHead(status, headers));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    this.#deps.observer.recordParsed();
    if (this.#discardedBytes !== undefined) this.#countDiscarded(chunk);
    if (this.#ended) return;
    if (this.#foreignHeads?.push(chunk)) {
      this.#protocolError = "The body contains the head of another response";
      controller.abort(new Error(this.#protocolError));
      return;
    }
    this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    this.#deps.observer.recordParsed();
    this.#discardTimer?.cancel();
    if (this.#isCloseDelimited && this.#deps.observer.endIsReset) {
      return this.#end({ kind: "reset", detail: "reset at the end of input" });
    }
    this.#end({ kind: "ended" });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    err: Error,
  ): void {
    this.#stopWaiting();
    this.#discardTimer?.cancel();
    const code = (err as { code?: string }).code ?? "";
    const detail = `${code} ${err.message}`.trim();
    if (this.#isWithheld) return this.#end({ kind: "withheld", detail });
    const isParseError = err.name === "HTTPParserError" &&
      !err.message.includes("Invalid EOF");
    const isMalformed = this.#protocolError !== undefined || isParseError ||
      MALFORMED_CODES.has(code);
    if (isMalformed) return this.#end({ kind: "malformed", detail });
    // Without a connection the request was never started.
    const wasStarted = this.#controller !== undefined;
    this.#end({ kind: wasStarted ? "reset" : "not_sent", detail });
  }

  #stopWaiting(): void {
    if (!this.#isWaiting) return;
    this.#isWaiting = false;
    this.#onConnected();
  }

  /** Returns a protocol error if the host sent too many interim responses. */
  #countInterimHead(): string | undefined {
    this.#interimHeads += 1;
    return this.#interimHeads > MAX_INTERIM_HEADS
      ? "Too many interim responses"
      : undefined;
  }

  #countDiscarded(chunk: Uint8Array): void {
    this.#discardedBytes = (this.#discardedBytes ?? 0) + chunk.byteLength;
    if (this.#discardedBytes > MAX_DISCARDED_BYTES) {
      this.#abandon(`more than ${MAX_DISCARDED_BYTES} bytes`);
    }
  }

  /** Closes the connection of a discarded response. */
  #abandon(reason: string): void {
    this.#discardTimer?.cancel();
    this.#discardedBytes = undefined;
    this.#controller?.abort(new Error("Abandoned"));
    this.#deps.onAbandoned(this.#hostId, reason);
  }

  /** Returns why a response can't belong to this request; undefined if it can. */
  #findProtocolError(status: number, headers: Headers): string | undefined {
    const echoedId = headers[HEADER.attemptId];
    if (echoedId !== undefined && echoedId !== this.#requestId) {
      return "The response belongs to another request";
    }
    // A late copy of an earlier response must not be taken for this one's.
    const isPromise = status < 300 || status === 421 ||
      headers[HEADER.notExecuted] !== undefined;
    if (isPromise && echoedId === undefined) {
      return "The response has no request id";
    }
    if (status < 300 && !headers[HEADER.stamp]) {
      return "The response is not signed";
    }
    const coding = findForeignCoding(headers);
    return coding && `The body has the ${coding}`;
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
      rateLimit: parseRateLimit(headers[HEADER.serverLimit]),
    };
  }

  #end(end: RelayEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#listener.onEnd(end);
  }
}
