/**
 * Periodic callbacks that share wake-ups of the process.
 *
 * @module
 */
import type { ErrorReporter } from "./report_error.ts";
import { reportError } from "./report_error.ts";
import type { Timer, Timers } from "./timers.ts";

/** Callbacks due within this time of each other are called together. */
const COALESCE_MS = 2;

interface Subscription {
  readonly periodMs: number;
  readonly callback: () => void;
  dueAt: number;
}

/**
 * Calls each callback at multiples of its period, using one timer for all.
 * Calls of callbacks whose periods have a common divisor therefore often
 * coincide, for example at periods of 50 and 100 ms, and an idle process rarely
 * wakes up.
 */
export class PeriodicTimers {
  readonly #clock: Pick<Timers, "now" | "after">;
  readonly #onError: ErrorReporter;
  readonly #subscriptions = new Set<Subscription>();
  #timer: Timer | undefined;
  #timerDueAt = Infinity;

  constructor(
    clock: Pick<Timers, "now" | "after">,
    onError: ErrorReporter = reportError,
  ) {
    this.#clock = clock;
    this.#onError = onError;
  }

  /** Calls `callback` every `periodMs` until the timer is cancelled. */
  add(periodMs: number, callback: () => void): Timer {
    const now = this.#clock.now();
    const dueAt = (Math.floor(now / periodMs) + 1) * periodMs;
    const subscription = { periodMs, callback, dueAt };
    this.#subscriptions.add(subscription);
    this.#arm(now);
    return { cancel: () => this.#remove(subscription) };
  }

  #remove(subscription: Subscription): void {
    this.#subscriptions.delete(subscription);
    if (this.#subscriptions.size > 0) return;
    this.#timer?.cancel();
    this.#timerDueAt = Infinity;
  }

  #arm(now: number): void {
    let next = Infinity;
    for (const { dueAt } of this.#subscriptions) next = Math.min(next, dueAt);
    if (next >= this.#timerDueAt || next === Infinity) return;
    this.#timer?.cancel();
    this.#timerDueAt = next;
    this.#timer = this.#clock.after(Math.max(0, next - now), () => {
      this.#timerDueAt = Infinity;
      this.#fire();
    });
  }

  #fire(): void {
    const now = this.#clock.now();
    const due = [...this.#subscriptions].filter(({ dueAt }) =>
      dueAt <= now + COALESCE_MS
    );
    for (const subscription of due) {
      const { periodMs } = subscription;
      // Calls that were missed while the process was busy are skipped.
      const lastDueAt = Math.floor((now + COALESCE_MS) / periodMs) * periodMs;
      subscription.dueAt = Math.max(subscription.dueAt, lastDueAt) + periodMs;
    }
    this.#arm(now);
    for (const subscription of due) {
      if (this.#subscriptions.has(subscription)) {
        this.#call(subscription.callback);
      }
    }
  }

  /** Calls a callback; its error doesn't keep others from being called. */
  #call(callback: () => void): void {
    try {
      callback();
    } catch (err) {
      this.#onError(err);
    }
  }
}
