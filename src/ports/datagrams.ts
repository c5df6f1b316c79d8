/**
 * Small unreliable messages between the nodes of the fleet.
 *
 * @module
 */

/** Sends and receives datagrams by IP address and port. */
export interface Datagrams {
  send(address: string, payload: Uint8Array): void;
  /** Sets the receiver; `from` is an IP address and port. */
  onMessage(receive: (payload: Uint8Array, from: string) => void): void;
}
