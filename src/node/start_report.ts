/**
 * Reports how a process started, once.
 *
 * @module
 */
import type { EventLog } from "../base/event_log.ts";
import type { Timers } from "../base/timers.ts";
import type { NodeMetrics } from "./node_metrics.ts";
import type { StartStep, StartTimeline } from "./start_timeline.ts";

/** A start is reported after this time even if steps are missing. */
const REPORT_AFTER_MS = 10_000;

/** Dependencies of a {@linkcode StartReport}. */
export interface StartReportDependencies {
  readonly timers: Timers;
  readonly log: EventLog;
  readonly metrics: NodeMetrics;
  readonly timeline: StartTimeline;
}

/**
 * Records the steps of a start, and logs them in one line once all are reached, or
 * later with those that are missing.
 */
export class StartReport {
  readonly #deps: StartReportDependencies;
  #isLogged = false;

  constructor(deps: StartReportDependencies) {
    this.#deps = deps;
  }

  /** Takes over the steps that were reached before, and limits the wait for the rest. */
  start(): void {
    const { timers, metrics, timeline } = this.#deps;
    for (const [step, ms] of Object.entries(timeline.times)) {
      metrics.recordStartStep(step, ms);
    }
    timers.after(REPORT_AFTER_MS, () => this.#log());
  }

  /** Records that a step is reached, unless it was before. */
  mark(step: StartStep): void {
    const { metrics, timeline } = this.#deps;
    if (!timeline.mark(step)) return;
    metrics.recordStartStep(step, timeline.get(step) ?? 0);
    if (timeline.missing.length === 0) this.#log();
  }

  #log(): void {
    if (this.#isLogged) return;
    this.#isLogged = true;
    const { log, timeline } = this.#deps;
    const { times, missing } = timeline;
    log.info("started_serving", {
      ...times,
      missing: missing.length === 0 ? undefined : missing,
    });
  }
}
