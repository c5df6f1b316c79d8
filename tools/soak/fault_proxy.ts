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

/** Passes channels on to one address. */
export class FaultProxy {
  mode: ProxyMode = "pass";
  readonly #timers: Timers;
  readonly #target: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(timers: Timers, target: string) {
    this.#timers = timers;
    this.#target = target;
    this.#server = createServer((caller) => this.#accept(caller));
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

  /** Resets every open channel. */
  resetAll(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Ends everything. */
  close(): void {
    this.#server.close();
    this.resetAll();
  }

  #accept(caller: Socket): void {
    if (this.mode === "refuse") {
      caller.resetAndDestroy();
      return;
    }
    const at = this.#target.lastIndexOf(":");
    const port = Number(this.#target.slice(at + 1));
    const server = connect(port, this.#target.slice(0, at));
    this.#join(caller, server, false);
    this.#join(server, caller, true);
  }

  #join(from: Socket, to: Socket, isAnswer: boolean): void {
    this.#sockets.add(from);
    from.on("error", () => {});
    from.on("data", (data) => this.#pass(data, to, isAnswer));
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
  }

  #pass(data: Buffer, to: Socket, isAnswer: boolean): void {
    if (this.mode === "silence") return;
    if (this.mode === "one_way" && isAnswer) return;
    if (this.mode !== "delay") return void to.write(data);
    this.#timers.after(DELAY_MS, () => {
      if (!to.destroyed) to.write(data);
    });
  }
}
