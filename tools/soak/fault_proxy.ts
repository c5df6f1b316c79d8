/**
 * A TCP proxy on loopback that injects network faults.
 *
 * @module
 */
import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { Timers } from "../../src/base/timers.ts";

/**
 * How the proxy treats traffic: `pass` forwards it, `delay` forwards it late,
 * `silence` drops all data, `one_way` drops responses only, `refuse` resets new
 * connections and forwards the data of open ones.
 */
export type ProxyMode = "pass" | "delay" | "silence" | "one_way" | "refuse";

const DELAY_MS = 250;

/** A period during which a fault was active, in ms of the timers' clock. */
export interface FaultPeriod {
  readonly from: number;
  /** Infinity while the fault is active. */
  until: number;
}

/** Forwards connections to one address, as the active fault allows. */
export class FaultProxy {
  /** Active faults in the order of their injection; the last one applies. */
  readonly #activeFaults: { readonly mode: ProxyMode }[] = [];
  readonly #faultPeriods: FaultPeriod[] = [];
  readonly #timers: Timers;
  readonly #target: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(timers: Timers, target: string) {
    this.#timers = timers;
    this.#target = target;
    this.#server = createServer((client) => this.#accept(client));
  }

  /** Starts listening on a free port and returns the address. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  /** Fault periods so far, in the order of their start; they may overlap. */
  get faultPeriods(): readonly FaultPeriod[] {
    return this.#faultPeriods;
  }

  /** Injects a fault for `durationMs`; earlier faults keep their end. */
  injectFault(mode: ProxyMode, durationMs: number): void {
    const fault = { mode };
    const period = { from: this.#timers.now(), until: Infinity };
    this.#activeFaults.push(fault);
    this.#faultPeriods.push(period);
    this.#timers.after(durationMs, () => {
      this.#activeFaults.splice(this.#activeFaults.indexOf(fault), 1);
      period.until = this.#timers.now();
    });
  }

  /** Resets all open connections. */
  resetConnections(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Stops listening and resets all connections. */
  close(): void {
    this.#server.close();
    this.resetConnections();
  }

  get #mode(): ProxyMode {
    return this.#activeFaults.at(-1)?.mode ?? "pass";
  }

  #accept(client: Socket): void {
    if (this.#mode === "refuse") {
      client.resetAndDestroy();
      return;
    }
    const colon = this.#target.lastIndexOf(":");
    const port = Number(this.#target.slice(colon + 1));
    const targetSocket = connect(port, this.#target.slice(0, colon));
    this.#forward(client, targetSocket, false);
    this.#forward(targetSocket, client, true);
  }

  #forward(source: Socket, destination: Socket, isResponse: boolean): void {
    this.#sockets.add(source);
    source.on("error", () => {});
    source.on(
      "data",
      (data) => this.#forwardData(data, destination, isResponse),
    );
    source.on("close", () => {
      this.#sockets.delete(source);
      destination.destroy();
    });
  }

  #forwardData(data: Buffer, destination: Socket, isResponse: boolean): void {
    if (this.#mode === "silence") return;
    if (this.#mode === "one_way" && isResponse) return;
    if (this.#mode !== "delay") return void destination.write(data);
    this.#timers.after(DELAY_MS, () => {
      if (!destination.destroyed) destination.write(data);
    });
  }
}
