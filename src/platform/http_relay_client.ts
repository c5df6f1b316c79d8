/**
 * Forwards callers' requests to hosts.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import { Agent } from "undici";
import type { Timers } from "../base/timers.ts";
import type { HostRef } from "../ports/host_control.ts";
import type {
  RelayAttempt,
  RelayClient,
  RelayHandle,
  RelayListener,
} from "../ports/relay_client.ts";
import { MAX_HEAD_BYTES } from "../ports/response_limits.ts";
import { ConnectionObserver } from "./connection_observer.ts";
import type { RelayExchangeDependencies } from "./relay_exchange.ts";
import { RelayExchange } from "./relay_exchange.ts";
import { createConnector } from "./upstream_connector.ts";
import { WaitingRequests } from "./waiting_requests.ts";
import { HEADER } from "./wire_names.ts";

/** Above every route's timeout; the request's own deadline applies first. */
const RESPONSE_TIMEOUT_MS = 600_000;
const IDEMPOTENT_KEEP_ALIVE_MS = 4_000;
/**
 * Idle time after which a connection is not reused for a request that must not
 * run twice: the host may have closed a connection that was idle for longer.
 */
const NON_IDEMPOTENT_KEEP_ALIVE_MS = 300;

/** {@linkcode RelayClient} over HTTP/1.1, with one request at a time per connection. */
export class HttpRelayClient implements RelayClient {
  readonly #deps: RelayExchangeDependencies;
  readonly #idempotent: Connections;
  readonly #nonIdempotent: Connections;

  /**
   * Creates a client. `onAbandoned` is called when the rest of a response that
   * nobody needs exceeds a limit.
   */
  constructor(
    timers: Timers,
    onAbandoned: (hostId: string, reason: string) => void = () => {},
  ) {
    const observer = new ConnectionObserver();
    this.#deps = { timers, observer, onAbandoned };
    this.#idempotent = new Connections(IDEMPOTENT_KEEP_ALIVE_MS, observer);
    this.#nonIdempotent = new Connections(
      NON_IDEMPOTENT_KEEP_ALIVE_MS,
      observer,
    );
  }

  send(
    host: HostRef,
    attempt: RelayAttempt,
    listener: RelayListener,
  ): RelayHandle {
    const { agent, waiting } = attempt.idempotent
      ? this.#idempotent
      : this.#nonIdempotent;
    const origin = `http://${host.address}`;
    waiting.add(origin);
    const exchange = new RelayExchange(
      this.#deps,
      host.id,
      attempt.requestId,
      listener,
      () => waiting.remove(origin),
      attempt.mayStart,
    );
    agent.dispatch({
      origin,
      path: attempt.path,
      method: attempt.method as Dispatcher.HttpMethod,
      headers: requestHeaders(host, attempt),
      body: attempt.body.byteLength > 0 ? attempt.body as never : null,
    }, exchange);
    return exchange;
  }
}

/** Connections that close after the same idle time. */
class Connections {
  readonly agent: Agent;
  readonly waiting = new WaitingRequests();

  constructor(keepAliveMs: number, observer: ConnectionObserver) {
    this.agent = new Agent({
      pipelining: 1,
      connect: createConnector(observer, this.waiting),
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
      keepAliveTimeout: keepAliveMs,
      keepAliveMaxTimeout: keepAliveMs,
    });
  }
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
