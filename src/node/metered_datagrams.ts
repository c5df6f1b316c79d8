/**
 * Counts the datagrams of a node.
 *
 * @module
 */
import type { Timers } from "../base/timers.ts";
import type { Datagrams } from "../ports/datagrams.ts";

/** Period over which bytes are summed up. */
const PERIOD_MS = 1_000;

/** Datagrams of one period. */
export interface DatagramTraffic {
  readonly sent: number;
  readonly sentBytes: number;
  readonly received: number;
  readonly receivedBytes: number;
}

const NO_TRAFFIC: DatagramTraffic = {
  sent: 0,
  sentBytes: 0,
  received: 0,
  receivedBytes: 0,
};

/** {@linkcode Datagrams} that reports its traffic once a second. */
export class MeteredDatagrams implements Datagrams {
  readonly #datagrams: Datagrams;
  #traffic = NO_TRAFFIC;

  constructor(
    timers: Timers,
    datagrams: Datagrams,
    onTraffic: (traffic: DatagramTraffic) => void,
  ) {
    this.#datagrams = datagrams;
    timers.subscribe(PERIOD_MS, () => {
      onTraffic(this.#traffic);
      this.#traffic = NO_TRAFFIC;
    });
  }

  send(address: string, payload: Uint8Array): void {
    const { sent, sentBytes } = this.#traffic;
    this.#traffic = {
      ...this.#traffic,
      sent: sent + 1,
      sentBytes: sentBytes + payload.byteLength,
    };
    this.#datagrams.send(address, payload);
  }

  onMessage(receive: (payload: Uint8Array, from: string) => void): void {
    this.#datagrams.onMessage((payload, from) => {
      const { received, receivedBytes } = this.#traffic;
      this.#traffic = {
        ...this.#traffic,
        received: received + 1,
        receivedBytes: receivedBytes + payload.byteLength,
      };
      receive(payload, from);
    });
  }
}
