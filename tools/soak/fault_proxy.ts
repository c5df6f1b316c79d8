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
export interface HarmedTime {
  readonly from: number;
  until: number;
}

/** Passes channels on to one address. */
export class FaultProxy {
  /** Faults under way, the latest last; that one is in force. */
  readonly #faults: { readonly mode: ProxyMode }[] = [];
  readonly #harmed: HarmedTime[] = [];
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

  /** Times harmed so far, in the order they began; they may overlap. */
  get harmed(): readonly HarmedTime[] {
    return this.#harmed;
  }

  /** Harms what passes for `forMs`; other faults under way go on. */
  harm(mode: ProxyMode, forMs: number): void {
    const fault = { mode };
    const time = { from: this.#timers.now(), until: Infinity };
    this.#faults.push(fault);
    this.#harmed.push(time);
    this.#timers.after(forMs, () => {
      this.#faults.splice(this.#faults.indexOf(fault), 1);
      time.until = this.#timers.now();
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

  get #mode(): ProxyMode {
    return this.#faults.at(-1)?.mode ?? "pass";
  }

  #accept(caller: Socket): void {
    if (this.#mode === "refuse") {
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
    if (this.#mode === "silence") return;
    if (this.#mode === "one_way" && isAnswer) return;
    if (this.#mode !== "delay") return void to.write(data);
    this.#timers.after(DELAY_MS, () => {
      if (!to.destroyed) to.write(data);
    });
  }
}
