/**
 * One request of the oracle.
 *
 * @module
 */
import type { Timers } from "../../src/base/timers.ts";
import { HOP_MS } from "./engine_client.ts";
import type { EngineRequest } from "./engine_group.ts";
import type { LoadOutcome, LoadResult } from "./load_result.ts";
import { judgeComplete } from "./load_result.ts";
import type { OfferedRequest } from "./load_scenarios.ts";

/** Judges the response to a request, which may move between groups. */
export class OracleRequest implements EngineRequest {
  readonly offered: OfferedRequest;
  events: number;
  readonly #timers: Timers;
  readonly #onDone: (result: LoadResult) => void;
  readonly #onLost: (request: OracleRequest) => void;
  #firstEventMs: number | undefined;
  #lastEventAt = 0;
  #longestGapMs = 0;
  #isDone = false;

  constructor(
    timers: Timers,
    offered: OfferedRequest,
    onDone: (result: LoadResult) => void,
    onLost: (request: OracleRequest) => void,
  ) {
    this.#timers = timers;
    this.offered = offered;
    this.events = offered.events;
    this.#onDone = onDone;
    this.#onLost = onLost;
  }

  get isDone(): boolean {
    return this.#isDone;
  }

  get hasBegun(): boolean {
    return this.#firstEventMs !== undefined;
  }

  /** Tokens to read, with those that were written before a loss. */
  get promptTokens(): number {
    return this.offered.promptTokens + this.offered.events - this.events;
  }

  get priority(): number {
    return this.offered.kind.priority;
  }

  get neededAt(): number {
    const { at, kind } = this.offered;
    if (this.#firstEventMs === undefined) {
      const neededAt = at + kind.goalMs - HOP_MS.near;
      return neededAt < this.#timers.now() ? Infinity : neededAt;
    }
    const isLate = judgeComplete(
      this.offered,
      this.#firstEventMs,
      this.#longestGapMs,
    ) !== "in_time";
    return isLate ? Infinity : this.#lastEventAt + kind.gapMs - HOP_MS.near;
  }

  onEvent(): void {
    const now = this.#timers.now() + HOP_MS.near;
    if (this.#firstEventMs === undefined) {
      this.#firstEventMs = now - this.offered.at;
    } else {
      const gapMs = now - this.#lastEventAt;
      this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    }
    this.#lastEventAt = now;
  }

  onEnd(): void {
    const firstEventMs = this.#firstEventMs ?? Infinity;
    this.finish(judgeComplete(this.offered, firstEventMs, this.#longestGapMs));
  }

  onLost(): void {
    if (!this.#isDone) this.#onLost(this);
  }

  /** Ends the request, unless it has ended. */
  finish(outcome: LoadOutcome): void {
    if (this.#isDone) return;
    this.#isDone = true;
    const afterMs = this.#timers.now() - this.offered.at;
    this.#onDone({
      offered: this.offered,
      outcome,
      firstEventMs: this.#firstEventMs,
      longestGapMs: this.#longestGapMs,
      refusedAfterMs: outcome === "refused" ? afterMs : undefined,
      prediction: undefined,
    });
  }
}
