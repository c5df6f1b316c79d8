/**
 * Small unreliable messages between the processes of the fleet.
 *
 * @module
 */

/** Sends and receives datagrams by IP number and port. */
export interface Datagrams {
  send(address: string, payload: Uint8Array): void;
  /** Sets who receives; `from` is an IP number and port. */
  onMessage(receive: (payload: Uint8Array, from: string) => void): void;
}
