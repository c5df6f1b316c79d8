/**
 * Keeps recent decisions for operators.
 *
 * @module
 */
import type { Decision, DecisionLog } from "../core/gateway/decision_log.ts";

const MAX_DECISIONS = 200;

/** Forwards decisions to another log and keeps the most recent ones. */
export class RecentDecisionLog implements DecisionLog {
  readonly #next: DecisionLog;
  #decisions: Decision[] = [];

  constructor(next: DecisionLog) {
    this.#next = next;
  }

  /** The most recent decisions, oldest first. */
  get recent(): readonly Decision[] {
    return this.#decisions;
  }

  record(decision: Decision): void {
    this.#decisions.push(decision);
    if (this.#decisions.length > MAX_DECISIONS) this.#decisions.shift();
    this.#next.record(decision);
  }
}
