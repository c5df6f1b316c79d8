/**
 * A TCP proxy on loopback that harms what passes through it.
 *
 * @module
 */
import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { Timers } from "../../src/base/timers.ts";

/** What the proxy does to bytes. */
export type ProxyMode = "pass" | "delay" | "silence" | "one_way" | "refuse";

const DELAY_MS = 250;

/** A time in which the proxy harmed what passed through it. */
export interface FaultPeriod {
  readonly from: number;
  until: number;
}

/** Passes channels on to one address. */
export class FaultProxy {
  /** Faults under way, the latest last; that one is in force. */
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

  /** Begins to listen; returns the address. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  /** Times harmed so far, in the order they began; they may overlap. */
  get faultPeriods(): readonly FaultPeriod[] {
    return this.#faultPeriods;
  }

  /** Harms what passes for `forMs`; other faults under way go on. */
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

  /** Resets every open channel. */
  resetConnections(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Ends everything. */
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
