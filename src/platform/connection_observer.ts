/**
 * Observes what undici doesn't report about its connections.
 *
 * @module
 */
import type { Socket } from "node:net";
import { MAX_UNPARSED_BYTES } from "../ports/response_limits.ts";

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
