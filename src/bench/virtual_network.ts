/**
 * Simulated processes that can be paused or killed, and a network that connects
 * them.
 *
 * @module
 */
import type { Random } from "../base/random.ts";
import type { Timer, Timers } from "../base/timers.ts";
import { repeat } from "../base/timers.ts";

/**
 * A simulated process and its timers. Its callbacks are deferred while it is
 * paused, and dropped once it is killed.
 */
export class VirtualProcess implements Timers {
  readonly name: string;
  readonly #timers: Timers;
  readonly #deferred: Array<() => void> = [];
  #state: "up" | "paused" | "dead" = "up";

  constructor(name: string, timers: Timers) {
    this.name = name;
    this.#timers = timers;
  }

  /** Whether the process runs, is paused, or has been killed. */
  get state(): "up" | "paused" | "dead" {
    return this.#state;
  }

  now(): number {
    return this.#timers.now();
  }

  after(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const timer = this.#timers.after(delayMs, () => {
      this.runOrDefer(() => {
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

  afterInput(callback: () => void): void {
    this.after(0, callback);
  }

  subscribe(periodMs: number, callback: () => void): Timer {
    return repeat(this, periodMs, callback);
  }

  /**
   * Runs a callback in the process. Defers it if the process is paused, and
   * drops it if the process was killed.
   */
  runOrDefer(callback: () => void): void {
    if (this.#state === "up") callback();
    else if (this.#state === "paused") this.#deferred.push(callback);
  }

  /** Pauses the process; callbacks are deferred until it resumes. */
  pause(): void {
    if (this.#state === "up") this.#state = "paused";
  }

  /** Resumes the process and runs the deferred callbacks. */
  resume(): void {
    if (this.#state !== "paused") return;
    this.#state = "up";
    for (const callback of this.#deferred.splice(0)) this.runOrDefer(callback);
  }

  /** Kills the process and drops its deferred callbacks. */
  kill(): void {
    this.#state = "dead";
    this.#deferred.length = 0;
  }
}

/**
 * Why a call has no response: the other end refused it ("refused"), or the call
 * timed out ("lost"). A lost call may have been handled.
 */
export type CallFailure = "refused" | "lost";

/** A call from a process to a named endpoint. */
export interface VirtualCall<T> {
  readonly from: VirtualProcess;
  readonly to: string;
  readonly timeoutMs: number;
  /** Handles the call at `to`; may respond at any time, or never. */
  readonly handle: (respond: (value: T) => void, refuse: () => void) => void;
}

/** Links between endpoints, with random delays and injected disconnections. */
export class VirtualNetwork {
  readonly #timers: Timers;
  readonly #random: Random;
  readonly #disconnected = new Set<string>();

  constructor(timers: Timers, random: Random) {
    this.#timers = timers;
    this.#random = random;
  }

  /**
   * Drops all messages between two endpoints. If `b` is `*`, drops all messages
   * to and from `a`.
   */
  disconnect(a: string, b: string): void {
    this.#disconnected.add(`${a}|${b}`);
  }

  /** Undoes a disconnection that was made with the same arguments. */
  reconnect(a: string, b: string): void {
    this.#disconnected.delete(`${a}|${b}`);
  }

  /** Whether messages between two endpoints are dropped. */
  isDisconnected(a: string, b: string): boolean {
    const disconnected = this.#disconnected;
    if (disconnected.size === 0) return false;
    return disconnected.has(`${a}|${b}`) || disconnected.has(`${b}|${a}`) ||
      disconnected.has(`${a}|*`) || disconnected.has(`${b}|*`);
  }

  /** Returns a random one-way delay, in milliseconds. */
  randomDelayMs(): number {
    return 0.5 + this.#random.float();
  }

  /**
   * Runs a callback after a one-way delay, unless the endpoints are disconnected
   * by then.
   */
  send(
    from: string,
    to: string,
    callback: () => void,
    delayMs = this.randomDelayMs(),
  ): void {
    this.#timers.after(delayMs, () => {
      if (!this.isDisconnected(from, to)) callback();
    });
  }

  /**
   * Makes a call. Resolves with the response or the reason why there is none;
   * never resolves if the process `from` is killed.
   */
  call<T>(call: VirtualCall<T>): Promise<{ value: T } | CallFailure> {
    const { from, to } = call;
    return new Promise((resolve) => {
      let settled = false;
      const settle = (result: { value: T } | CallFailure) => {
        if (settled) return;
        settled = true;
        timer.cancel();
        from.runOrDefer(() => resolve(result));
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
