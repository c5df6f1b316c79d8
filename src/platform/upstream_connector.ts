/**
 * Opens connections to hosts, and observes what undici doesn't report about them.
 *
 * @module
 */
import type { Socket } from "node:net";
import { buildConnector } from "undici";
import { MAX_UNPARSED_BYTES } from "../ports/response_limits.ts";

const CONNECT_TIMEOUT_MS = 600;
/** Code of the error of a connection that sent too many unparsed bytes. */
export const UNPARSED_BYTES_CODE = "UNPARSED_BYTES";

/**
 * Observations about the connection whose event is being handled. All connections
 * of an agent share one object, as undici handles an event before the next one is
 * emitted.
 */
export class ConnectionObserver {
  #endIsReset = false;
  #active: ConnectionMeter | undefined;

  /**
   * Whether the `end` event that is being handled was caused by a reset; false
   * while none is handled.
   */
  get endIsReset(): boolean {
    return this.#endIsReset;
  }

  /** Records that the parser reported a part of a response. */
  recordParsed(): void {
    this.#active?.recordParsed();
  }

  /** Starts observing a connection. Its listeners run before those of undici. */
  observe(socket: Socket): void {
    const meter = new ConnectionMeter(socket);
    // undici treats a response without a length as complete when its connection
    // fails with `ECONNRESET`, so that code is replaced.
    socket.prependListener("error", (cause: NodeJS.ErrnoException) => {
      if (cause.code === "ECONNRESET") cause.code = "RESET_BY_SERVER";
    });
    // A reset can also show up as an `end` event; the socket then has no remote
    // address.
    socket.prependListener("end", () => {
      this.#endIsReset = socket.remoteAddress === undefined;
      queueMicrotask(() => this.#endIsReset = false);
    });
    socket.prependListener("readable", () => {
      this.#active = meter;
      meter.check();
    });
  }
}

/** Counts the bytes of one connection that the parser has not reported. */
class ConnectionMeter {
  readonly #socket: Socket;
  #parsedBytes = 0;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  recordParsed(): void {
    this.#parsedBytes = this.#socket.bytesRead;
  }

  /** Closes the connection if too many bytes were not reported. */
  check(): void {
    const unparsed = this.#socket.bytesRead - this.#parsedBytes;
    if (unparsed <= MAX_UNPARSED_BYTES) return;
    const err: NodeJS.ErrnoException = new Error(
      `${unparsed} bytes are neither head nor body`,
    );
    err.code = UNPARSED_BYTES_CODE;
    this.#socket.destroy(err);
  }
}

/** Number of requests that wait for a connection, by origin. */
export class WaitingRequests {
  readonly #counts = new Map<string, number>();

  /** Records that a request to `origin` waits for a connection. */
  add(origin: string): void {
    this.#counts.set(origin, this.of(origin) + 1);
  }

  /** Records that a request was started, or failed before that. */
  remove(origin: string): void {
    const count = this.of(origin) - 1;
    if (count > 0) this.#counts.set(origin, count);
    else this.#counts.delete(origin);
  }

  /** Number of waiting requests to `origin`. */
  of(origin: string): number {
    return this.#counts.get(origin) ?? 0;
  }
}

/**
 * Creates an undici connector whose connections `observer` observes. It opens
 * none to an origin without waiting requests: undici asks for one after each
 * request that was aborted in flight.
 */
export function createConnector(
  observer: ConnectionObserver,
  waiting: WaitingRequests,
): ReturnType<typeof buildConnector> {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) => {
    const { protocol, host } = options;
    if (waiting.of(`${protocol}//${host}`) === 0) {
      callback(new Error("No request needs the connection"), null);
      return;
    }
    connect(options, (...result) => {
      const [err, socket] = result;
      if (err === null) observer.observe(socket);
      callback(...result);
    });
  };
}
