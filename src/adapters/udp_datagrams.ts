/**
 * Datagrams over UDP.
 *
 * @module
 */
import type { Socket } from "node:dgram";
import { createSocket } from "node:dgram";
import type { Datagrams } from "../ports/datagrams.ts";

/**
 * Larger messages are dropped, to limit fragmentation; UDP over IPv4 carries at
 * most 65,507 bytes.
 */
const MAX_DATAGRAM_BYTES = 60_000;

/** {@linkcode Datagrams} on one UDP socket. */
export class UdpDatagrams implements Datagrams {
  readonly #socket: Socket;

  private constructor(socket: Socket) {
    this.#socket = socket;
    // An error event without a listener would end the process.
    socket.on("error", () => {});
  }

  /** Binds a socket to an IP address and port. */
  static bind(ip: string, port: number): Promise<UdpDatagrams> {
    return new Promise((resolve, reject) => {
      const socket = createSocket("udp4");
      socket.once("error", reject);
      socket.bind(port, ip, () => {
        socket.off("error", reject);
        resolve(new UdpDatagrams(socket));
      });
    });
  }

  send(address: string, payload: Uint8Array): void {
    if (payload.byteLength > MAX_DATAGRAM_BYTES) return;
    const colonIndex = address.lastIndexOf(":");
    const port = Number(address.slice(colonIndex + 1));
    // A send error is ignored, like the loss of a datagram.
    this.#socket.send(payload, port, address.slice(0, colonIndex), () => {});
  }

  onMessage(receive: (payload: Uint8Array, from: string) => void): void {
    this.#socket.on("message", (payload, info) => {
      receive(payload, `${info.address}:${info.port}`);
    });
  }

  /** Closes the socket. */
  close(): void {
    this.#socket.close();
  }
}
