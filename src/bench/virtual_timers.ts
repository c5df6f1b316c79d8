/**
 * Virtual time: callbacks in order, as fast as they run.
 *
 * @module
 */
import { setImmediate } from "node:timers";
import type { Timer, Timers } from "../base/timers.ts";
import { repeat } from "../base/timers.ts";

interface Scheduled {
  readonly at: number;
  readonly order: number;
  callback: (() => void) | undefined;
}

/** A clock that jumps from one callback to the next. */
export class VirtualTimers implements Timers {
  readonly #heap: Scheduled[] = [];
  #now = 0;
  #order = 0;

  now(): number {
    return this.#now;
  }

  after(delayMs: number, callback: () => void): Timer {
    const at = this.#now + Math.max(0, delayMs);
    const item: Scheduled = { at, order: this.#order++, callback };
    push(this.#heap, item);
    return {
      cancel: () => {
        item.callback = undefined;
      },
    };
  }

  subscribe(periodMs: number, callback: () => void): Timer {
    return repeat(this, periodMs, callback);
  }

  /** Runs everything that is due until `untilMs`. */
  async runUntil(untilMs: number): Promise<void> {
    await settle();
    while (this.#heap.length > 0 && this.#heap[0].at <= untilMs) {
      this.#now = Math.max(this.#now, this.#heap[0].at);
      this.#runDue();
      await settle();
    }
    this.#now = untilMs;
  }

  /** Runs for a while. */
  run(durationMs: number): Promise<void> {
    return this.runUntil(this.#now + durationMs);
  }

  #runDue(): void {
    while (this.#heap.length > 0 && this.#heap[0].at <= this.#now) {
      pop(this.#heap)?.callback?.();
    }
  }
}

/** Lets all promise callbacks run. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function before(a: Scheduled, b: Scheduled): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function push(heap: Scheduled[], item: Scheduled): void {
  let i = heap.push(item) - 1;
  while (i > 0) {
    const parent = (i - 1) >> 1;
    if (!before(heap[i], heap[parent])) return;
    [heap[i], heap[parent]] = [heap[parent], heap[i]];
    i = parent;
  }
}

function pop(heap: Scheduled[]): Scheduled | undefined {
  const [first] = heap;
  const last = heap.pop();
  if (heap.length === 0 || last === undefined) return first;
  heap[0] = last;
  let i = 0;
  while (true) {
    const left = 2 * i + 1;
    const right = left + 1;
    let least = i;
    if (left < heap.length && before(heap[left], heap[least])) least = left;
    if (right < heap.length && before(heap[right], heap[least])) least = right;
    if (least === i) return first;
    [heap[i], heap[least]] = [heap[least], heap[i]];
    i = least;
  }
}
