/**
 * Records the events of each request as log lines and metrics.
 *
 * @module
 */
import type { Timers } from "../base/timers.ts";
import type { SuspectPart } from "../core/retries/suspect_part.ts";
import type { CrashVerdict } from "../core/relay/crash_detector.ts";
import type { Refusal, RelayRequest } from "../core/relay/relay_request.ts";
import type { RelayObserver } from "../core/relay/relay.ts";
import type { RelayRun, RunEvent } from "../core/relay/relay_run.ts";
import type { EventNumbering } from "../core/streams/mod.ts";
import type { RunningAttempt } from "../core/relay/running_attempt.ts";
import type { EventLog } from "../base/event_log.ts";
import type { NodeMetrics } from "./node_metrics.ts";
import type { StartReport } from "./start_report.ts";

/** Length up to which a malformed header is logged. */
const MAX_LOGGED_VALUE = 100;

/**
 * Logs one line per event of a request. An attempt that ended with a complete 2xx
 * response is counted in the metrics, but not logged.
 */
export class RequestLog implements RelayObserver {
  readonly #timers: Timers;
  readonly #log: EventLog;
  readonly #metrics: NodeMetrics;
  /** Undefined once the first request was sent to a host. */
  #startReport: StartReport | undefined;

  constructor(
    timers: Timers,
    log: EventLog,
    metrics: NodeMetrics,
    startReport?: StartReport,
  ) {
    this.#timers = timers;
    this.#log = log;
    this.#metrics = metrics;
    this.#startReport = startReport;
  }

  onEvent(run: RelayRun, event: RunEvent): void {
    this.#markStart(event.event);
    const elapsedMs = this.#timers.now() - run.arrivedAt;
    this.#metrics.recordEvent(run, event, elapsedMs);
    const { firstByteMs } = run;
    if (event.event === "ended" && firstByteMs !== undefined) {
      this.#metrics.recordFirstByte(run, firstByteMs);
      this.#recordLateness(run, firstByteMs);
    }
    if (event.event === "attempt_ended" && event.outcome === "answered") return;
    this.#log.info(`request_${event.event}`, {
      request: run.request.id,
      afterMs: Math.round(elapsedMs),
      upstream: event.replica?.key,
      host: event.replica?.host.id,
      expectedMs: event.expectedMs && Math.round(event.expectedMs),
      expectedGapMs: event.forecast && Math.round(event.forecast.gapMs),
      inFlight: event.load?.inFlight,
      pendingTokens: event.load?.pendingPromptTokens,
      considered: event.considered,
      outcome: event.outcome,
      detail: event.detail === "" ? undefined : event.detail,
      ...(event.outcome === "reset"
        ? {
          silentMs: event.silentMs && Math.round(event.silentMs),
          parts: run.request.promptParts,
        }
        : {}),
      ...(event.event === "ended"
        ? {
          route: run.contract.route.name,
          model: run.model,
          sends: run.attemptCount,
          firstMs: run.firstByteMs && Math.round(run.firstByteMs),
          gapMs: Math.round(run.longestGapMs),
          goalMs: run.contract.route.goalMs,
          gapGoalMs: run.contract.route.gapMs,
          retryAfterMs: event.retryAfterMs && Math.round(event.retryAfterMs),
        }
        : {}),
    });
  }

  /** Counts a response that began late, or else had a gap that was too long. */
  #recordLateness(run: RelayRun, firstByteMs: number): void {
    const { goalMs, gapMs, kind } = run.contract.route;
    if (firstByteMs > goalMs) this.#metrics.recordLate(run, "first_byte");
    else if (kind === "streaming" && run.longestGapMs > gapMs) {
      this.#metrics.recordLate(run, "gap");
    }
    // A stream that moved to another upstream has a gap that no engine made.
    if (run.model === undefined || run.attemptCount !== 1) return;
    const { expectedGapMs, longestGapMs } = run;
    if (expectedGapMs === undefined || longestGapMs === 0) return;
    this.#metrics.recordGapError(run.model, longestGapMs - expectedGapMs);
  }

  onFirstByte(
    run: RelayRun,
    { expectedMs }: RunningAttempt,
    measuredMs: number,
  ): void {
    if (run.model === undefined) return;
    this.#metrics.recordForecastError(run.model, measuredMs - expectedMs);
  }

  onCrashVerdict({ upstream, isCrash, requests, inFlight }: CrashVerdict) {
    this.#metrics.recordCrashVerdict(isCrash);
    this.#log.info(isCrash ? "crash_recorded" : "crash_retracted", {
      upstream,
      requests,
      inFlight,
    });
  }

  onRateLimitChanged(hostId: string, perSecond: number | undefined): void {
    this.#metrics.recordRateLimitChange();
    this.#log.info("host_limit_stated", {
      host: hostId,
      perSecond: perSecond ?? "none",
    });
  }

  onMalformedRateLimit(hostId: string, text: string): void {
    this.#log.warn("host_limit_malformed", {
      host: hostId,
      value: text.slice(0, MAX_LOGGED_VALUE),
    });
  }

  onPartQuarantined({ part, model, companions, crashes }: SuspectPart): void {
    this.#metrics.recordQuarantinedPart();
    this.#log.warn("prompt_part_quarantined", {
      part,
      model,
      companions,
      upstreams: crashes.map(({ upstream }) => upstream),
    });
  }

  onReturned(result: "placed" | "refused"): void {
    this.#metrics.recordReturnedCaller(result);
  }

  onNumberingLearned(service: string, numbering: EventNumbering): void {
    this.#log.info("event_numbering_learned", { service, numbering });
  }

  onRefused(request: RelayRequest, refusal: Refusal, version: number): void {
    this.#startReport?.mark("firstRequestRead");
    this.#metrics.recordRefusal(refusal.kind);
    this.#log.info("request_turned_away", {
      request: request.id,
      outcome: refusal.kind,
      detail: refusal.detail,
      catalogVersion: version,
    });
  }

  #markStart(event: RunEvent["event"]): void {
    if (this.#startReport === undefined) return;
    this.#startReport.mark("firstRequestRead");
    if (event !== "sent") return;
    this.#startReport.mark("firstPlaced");
    this.#startReport = undefined;
  }
}
