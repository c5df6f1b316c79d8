/**
 * Holds requests that arrive before a starting process can place them.
 *
 * @module
 */
import type { Timers } from "../base/timers.ts";

/** Longest time for which a request is held; the rest of a start is shorter. */
const MAX_HOLD_MS = 400;
/** Most requests that are held; bounds the memory of their bodies. */
const MAX_HELD = 256;

interface HeldRequest {
  readonly at: number;
  readonly resume: (heldMs: number) => void;
}

/** A gate that is closed at the start, and stays open once it has been opened. */
export class StartGate {
  readonly #timers: Timers;
  #held: HeldRequest[] = [];
  #isOpen = false;

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  /**
   * Calls back when the gate opens or {@linkcode MAX_HOLD_MS} have passed, at once
   * if it is open or holds too many; with the time for which the request was held.
   */
  pass(resume: (heldMs: number) => void): void {
    if (this.#isOpen || this.#held.length >= MAX_HELD) return resume(0);
    const entry = { at: this.#timers.now(), resume };
    this.#held.push(entry);
    this.#timers.after(MAX_HOLD_MS, () => {
      if (!this.#held.includes(entry)) return;
      this.#held = this.#held.filter((held) => held !== entry);
      this.#resume(entry);
    });
  }

  /** Opens the gate, and lets the requests pass in the order of their arrival. */
  open(): void {
    this.#isOpen = true;
    const held = this.#held;
    this.#held = [];
    for (const entry of held) this.#resume(entry);
  }

  #resume({ at, resume }: HeldRequest): void {
    resume(this.#timers.now() - at);
  }
}
