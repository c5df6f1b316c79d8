/**
 * A host that responds on a plain connection.
 *
 * @module
 */
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import type { Random } from "../../src/base/random.ts";
import type { Timers } from "../../src/base/timers.ts";
import type { RawResponse } from "./raw_responses.ts";

const HOST_IP = "127.0.0.1";

/** One request that a host received. */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly hostId: string;
  readonly response: RawResponse;
  /** The request before it on the same connection. */
  readonly previous: ReceivedRequest | undefined;
  /** Monotonic time at which the request was received, in milliseconds. */
  readonly at: number;
  /** Whether its connection is open. */
  readonly isOpen: () => boolean;
}

/** Listens on loopback and responds to each request as chosen by its caller. */
export class RawHost {
  readonly id: string;
  readonly received: ReceivedRequest[] = [];
  /** Whether it responds before it has read the body of a request. */
  respondsEarly = false;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #timers: Timers;
  readonly #random: Random;
  readonly #choose: (requestId: string) => RawResponse;

  constructor(
    id: string,
    timers: Timers,
    random: Random,
    choose: (requestId: string) => RawResponse,
  ) {
    this.id = id;
    this.#timers = timers;
    this.#random = random;
    this.#choose = choose;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Bytes that were written on all connections. */
  get writtenBytes(): number {
    let bytes = 0;
    for (const socket of this.#sockets) bytes += socket.bytesWritten;
    return bytes;
  }

  /** Number of connections that are open. */
  get openConnections(): number {
    return [...this.#sockets].filter((socket) => !socket.destroyed).length;
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `${HOST_IP}:${port}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve) => this.#server.listen(0, HOST_IP, resolve));
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    let text = "";
    let previous: ReceivedRequest | undefined;
    let hasResponded = false;
    socket.on("data", (data) => {
      text += data.toString("latin1");
      const requestId = /attempt-id: (\S+)\r\n/i.exec(text)?.[1];
      const isWhole = text.endsWith("end of body");
      if (hasResponded) {
        text = isWhole ? "" : text.slice(-"end of body".length);
        hasResponded = !isWhole;
        return;
      }
      if (requestId === undefined || !isWhole && !this.respondsEarly) return;
      hasResponded = !isWhole;
      const isStream = /^POST \/(draft|once)\//.test(text);
      const lastEventId = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0);
      text = "";
      const response = this.#choose(requestId);
      const at = this.#timers.now();
      previous = {
        requestId,
        hostId: this.id,
        response,
        previous,
        at,
        isOpen: () => !socket.destroyed,
      };
      this.received.push(previous);
      response.write({
        socket,
        requestId,
        isStream,
        lastEventId,
        timers: this.#timers,
        random: this.#random,
      });
    });
  }
}
