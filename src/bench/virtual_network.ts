/**
 * Processes that can be paused or killed, and the links between them.
 *
 * @module
 */
import type { Random } from "../base/random.ts";
import type { Timer, Timers } from "../base/timers.ts";
import { repeat } from "../base/timers.ts";

/** A process: its callbacks wait while it is paused and vanish when it dies. */
export class VirtualNode implements Timers {
  readonly name: string;
  readonly #timers: Timers;
  readonly #deferred: Array<() => void> = [];
  #state: "up" | "paused" | "dead" = "up";

  constructor(name: string, timers: Timers) {
    this.name = name;
    this.#timers = timers;
  }

  /** Whether the process runs. */
  get state(): "up" | "paused" | "dead" {
    return this.#state;
  }

  now(): number {
    return this.#timers.now();
  }

  after(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const timer = this.#timers.after(delayMs, () => {
      this.deliver(() => {
        if (!cancelled) callback();
      });
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  subscribe(periodMs: number, callback: () => void): Timer {
    return repeat(this, periodMs, callback);
  }

  /** Runs a callback in the process. */
  deliver(callback: () => void): void {
    if (this.#state === "up") callback();
    else if (this.#state === "paused") this.#deferred.push(callback);
  }

  /** Stops the process; what arrives waits. */
  pause(): void {
    if (this.#state === "up") this.#state = "paused";
  }

  /** Goes on where the process stood. */
  resume(): void {
    if (this.#state !== "paused") return;
    this.#state = "up";
    for (const callback of this.#deferred.splice(0)) this.deliver(callback);
  }

  /** Ends the process. */
  kill(): void {
    this.#state = "dead";
    this.#deferred.length = 0;
  }
}

/** What became of a call that brought no answer. */
export type CallFailure = "refused" | "lost";

/** One call over a link. */
export interface VirtualCall<T> {
  readonly from: VirtualNode;
  readonly to: string;
  readonly timeoutMs: number;
  /** Runs at the other end; answers when it likes, or never. */
  readonly handle: (respond: (value: T) => void, refuse: () => void) => void;
}

/** Delays between processes, and cuts. */
export class VirtualNetwork {
  readonly #timers: Timers;
  readonly #random: Random;
  readonly #disconnected = new Set<string>();

  constructor(timers: Timers, random: Random) {
    this.#timers = timers;
    this.#random = random;
  }

  /** Stops everything between two names; `*` stands for all others. */
  cut(a: string, b: string): void {
    this.#disconnected.add(`${a}|${b}`);
  }

  /** Ends a cut. */
  heal(a: string, b: string): void {
    this.#disconnected.delete(`${a}|${b}`);
  }

  /** Whether nothing gets through. */
  isDisconnected(a: string, b: string): boolean {
    const disconnected = this.#disconnected;
    if (disconnected.size === 0) return false;
    return disconnected.has(`${a}|${b}`) || disconnected.has(`${b}|${a}`) ||
      disconnected.has(`${a}|*`) || disconnected.has(`${b}|*`);
  }

  /** One way's delay, in milliseconds. */
  delayMs(): number {
    return 0.5 + this.#random.float();
  }

  /** Calls back after one way's delay unless the link is cut by then. */
  send(
    from: string,
    to: string,
    callback: () => void,
    delayMs = this.delayMs(),
  ): void {
    this.#timers.after(delayMs, () => {
      if (!this.isDisconnected(from, to)) callback();
    });
  }

  /** Makes a call and settles with its answer, or with why there is none. */
  call<T>(call: VirtualCall<T>): Promise<{ value: T } | CallFailure> {
    const { from, to } = call;
    return new Promise((resolve) => {
      let settled = false;
      const settle = (result: { value: T } | CallFailure) => {
        if (settled) return;
        settled = true;
        timer.cancel();
        from.deliver(() => resolve(result));
      };
      const timer = this.#timers.after(call.timeoutMs, () => settle("lost"));
      const sendResult = (result: { value: T } | CallFailure) =>
        this.send(to, from.name, () => settle(result));
      this.send(
        from.name,
        to,
        () =>
          call.handle(
            (value) => sendResult({ value }),
            () => sendResult("refused"),
          ),
      );
    });
  }
}
