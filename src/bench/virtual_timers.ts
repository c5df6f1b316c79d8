/**
 * Virtual time: timer callbacks run in the order of their due times, without
 * real delays.
 *
 * @module
 */
import { setImmediate } from "node:timers";
import type { Timer, Timers } from "../base/timers.ts";
import { repeat } from "../base/timers.ts";

interface ScheduledCallback {
  readonly dueAtMs: number;
  readonly sequence: number;
  callback: (() => void) | undefined;
}

/** Timers whose clock jumps to the due time of the next callback. */
export class VirtualTimers implements Timers {
  readonly #heap: ScheduledCallback[] = [];
  #now = 0;
  #nextSequence = 0;

  now(): number {
    return this.#now;
  }

  after(delayMs: number, callback: () => void): Timer {
    const dueAtMs = this.#now + Math.max(0, delayMs);
    const item: ScheduledCallback = {
      dueAtMs,
      sequence: this.#nextSequence++,
      callback,
    };
    push(this.#heap, item);
    return {
      cancel: () => {
        item.callback = undefined;
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
   * Runs all callbacks that are due by `untilMs`, and advances the clock to
   * `untilMs`.
   */
  async runUntil(untilMs: number): Promise<void> {
    await flushPromises();
    while (this.#heap.length > 0 && this.#heap[0].dueAtMs <= untilMs) {
      this.#now = Math.max(this.#now, this.#heap[0].dueAtMs);
      this.#runDue();
      await flushPromises();
    }
    this.#now = untilMs;
  }

  /**
   * Advances the clock by `durationMs`, and runs the callbacks due meanwhile.
   */
  run(durationMs: number): Promise<void> {
    return this.runUntil(this.#now + durationMs);
  }

  #runDue(): void {
    while (this.#heap.length > 0 && this.#heap[0].dueAtMs <= this.#now) {
      pop(this.#heap)?.callback?.();
    }
  }
}

/** Resolves once all pending promise callbacks have run. */
function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function isBefore(a: ScheduledCallback, b: ScheduledCallback): boolean {
  return a.dueAtMs < b.dueAtMs ||
    (a.dueAtMs === b.dueAtMs && a.sequence < b.sequence);
}

function push(heap: ScheduledCallback[], item: ScheduledCallback): void {
  let i = heap.push(item) - 1;
  while (i > 0) {
    const parent = (i - 1) >> 1;
    if (!isBefore(heap[i], heap[parent])) return;
    [heap[i], heap[parent]] = [heap[parent], heap[i]];
    i = parent;
  }
}

function pop(heap: ScheduledCallback[]): ScheduledCallback | undefined {
  const [first] = heap;
  const last = heap.pop();
  if (heap.length === 0 || last === undefined) return first;
  heap[0] = last;
  let i = 0;
  while (true) {
    const left = 2 * i + 1;
    const right = left + 1;
    let min = i;
    if (left < heap.length && isBefore(heap[left], heap[min])) min = left;
    if (right < heap.length && isBefore(heap[right], heap[min])) min = right;
    if (min === i) return first;
    [heap[i], heap[min]] = [heap[min], heap[i]];
    i = min;
  }
}
