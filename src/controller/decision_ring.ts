/**
 * The newest decisions, for operators to read.
 *
 * @module
 */
import type { Decision, DecisionLog } from "../core/gateway/decision_log.ts";

const MAX_DECISIONS = 200;

/** Passes decisions on and keeps the newest. */
export class RecentDecisionLog implements DecisionLog {
  readonly #next: DecisionLog;
  #decisions: Decision[] = [];

  constructor(next: DecisionLog) {
    this.#next = next;
  }

  /** Newest decisions, oldest first. */
  get recent(): readonly Decision[] {
    return this.#decisions;
  }

  decided(decision: Decision): void {
    this.#decisions.push(decision);
    if (this.#decisions.length > MAX_DECISIONS) this.#decisions.shift();
    this.#next.decided(decision);
  }
}
