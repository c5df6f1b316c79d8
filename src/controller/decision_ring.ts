/**
 * The newest decisions, for operators to read.
 *
 * @module
 */
import type { Decision, DecisionLog } from "../core/gateway/decision_log.ts";

const KEPT_DECISIONS = 200;

/** Passes decisions on and keeps the newest. */
export class DecisionRing implements DecisionLog {
  readonly #next: DecisionLog;
  #kept: Decision[] = [];

  constructor(next: DecisionLog) {
    this.#next = next;
  }

  /** Newest decisions, oldest first. */
  get newest(): readonly Decision[] {
    return this.#kept;
  }

  record(decision: Decision): void {
    this.#kept.push(decision);
    if (this.#kept.length > KEPT_DECISIONS) this.#kept.shift();
    this.#next.record(decision);
  }
}
