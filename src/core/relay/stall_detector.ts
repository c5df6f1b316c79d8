/**
 * Detects upstreams whose streams have all stalled.
 *
 * @module
 */
import type { ServiceSpec } from "../../world/catalog.ts";
import type { SuspicionTracker } from "../fleet/suspicion_tracker.ts";
import { EngineLatencyModel } from "../outlook/engine_latency_model.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { RelayRun } from "./relay_run.ts";
import type { RunningAttempt } from "./running_attempt.ts";

/**
 * An upstream has stalled if none of its streams gets an event for the expected
 * duration of this many engine passes, plus a margin.
 */
const MAX_PASSES_WITHOUT_EVENT = 1.6;
/** Added to the expected gap between events. */
const STALL_MARGIN_MS = 60;
/**
 * Further margin when one stream has begun; when several have, it is divided by
 * their number.
 */
const SINGLE_STREAM_MARGIN_MS = 120;
/** Added to the expected first-byte time while no stream has begun. */
const FIRST_EVENT_MARGIN_MS = 250;
/** Multiples of the forecast's spread that are added as well. */
const FIRST_EVENT_SPREADS = 2;

/** Watches the requests that this process sent to engines. */
export class StallDetector {
  readonly #loads: LoadTracker;
  readonly #suspicions: SuspicionTracker;
  readonly #runs = new Map<string, Set<RelayRun>>();

  constructor(loads: LoadTracker, suspicions: SuspicionTracker) {
    this.#loads = loads;
    this.#suspicions = suspicions;
  }

  /** Starts watching an attempt on an engine. */
  watch(run: RelayRun, attempt: RunningAttempt): void {
    const { key } = attempt.replica;
    const runs = this.#runs.get(key) ?? new Set();
    runs.add(run);
    this.#runs.set(key, runs);
  }

  /** Stops watching an attempt. */
  unwatch(run: RelayRun, attempt: RunningAttempt): void {
    const { key } = attempt.replica;
    const runs = this.#runs.get(key);
    runs?.delete(run);
    if (runs?.size === 0) this.#runs.delete(key);
  }

  /** Requests of this process in flight on an upstream. */
  runsOn(key: string): RelayRun[] {
    return [...this.#runs.get(key) ?? []];
  }

  /**
   * Records a suspicion of each upstream whose next event is overdue, and retries
   * streams that have stalled on upstreams whose others continue.
   */
  check(now: number): void {
    for (const [key, runs] of this.#runs) {
      const lastProgressAt = this.#lastProgressAt(key, runs, now);
      if (now - lastProgressAt > this.#timeoutMs(key, runs, now)) {
        this.#suspicions.record({ key, kind: "silent", at: now }, "own");
        continue;
      }
      for (const run of [...runs]) {
        if (!isStalled(run, lastProgressAt)) continue;
        run.retryElsewhere("the stream stalled alone");
      }
    }
  }

  /**
   * Monotonic time of the upstream's last event at any process, or of the start of
   * the oldest attempt if that is later.
   */
  #lastProgressAt(key: string, runs: Set<RelayRun>, now: number): number {
    let lastEventAt = this.#loads.lastEventAt(key) ?? -Infinity;
    let oldestStart = now;
    for (const { attempt } of runs) {
      if (attempt === undefined) continue;
      // While reading is paused, missing events don't indicate a stall.
      if (attempt.paused) return now;
      lastEventAt = Math.max(lastEventAt, attempt.lastProgressAt ?? -Infinity);
      oldestStart = Math.min(oldestStart, attempt.startedAt);
    }
    return Math.max(lastEventAt, oldestStart);
  }

  #timeoutMs(key: string, runs: Set<RelayRun>, now: number): number {
    let decoding = 0;
    let latestFirstEventMs = 0;
    let service: ServiceSpec | undefined;
    let model: string | undefined;
    let isCrossDomain = false;
    for (const run of runs) {
      service = run.service;
      model = run.model;
      isCrossDomain = run.attempt?.replica.isCrossDomain ?? isCrossDomain;
      if (run.attempt?.lastProgressAt !== undefined) decoding += 1;
      const { expectedMs = 0, forecast } = run.attempt ?? {};
      const marginMs = FIRST_EVENT_MARGIN_MS +
        FIRST_EVENT_SPREADS * (forecast?.spreadMs ?? 0);
      latestFirstEventMs = Math.max(latestFirstEventMs, expectedMs + marginMs);
    }
    const spec = service?.engine?.models.find((m) => m.name === model);
    if (service?.engine === undefined || spec === undefined) return Infinity;
    if (decoding === 0) return latestFirstEventMs;
    const load = this.#loads.totalLoad(key, now);
    const latencyModel = new EngineLatencyModel(
      service.engine,
      spec,
      isCrossDomain,
    );
    const passMs = latencyModel.passMs(
      Math.min(load.inFlight, latencyModel.slots),
      load.pendingPromptTokens,
    );
    // Allows for a prompt that another process has sent but not reported yet.
    const unreportedPrefillMs = latencyModel.prefillMs(
      service.engine.usual.prompt,
    );
    return passMs * MAX_PASSES_WITHOUT_EVENT + unreportedPrefillMs +
      STALL_MARGIN_MS + SINGLE_STREAM_MARGIN_MS / decoding;
  }
}

/**
 * Whether an upstream's other streams have had events for longer than the caller
 * tolerates, as when only this stream's connection is lost.
 */
function isStalled(run: RelayRun, upstreamProgressAt: number): boolean {
  const { attempt } = run;
  if (attempt === undefined || attempt.paused) return false;
  const since = attempt.lastProgressAt ??
    attempt.startedAt + attempt.expectedMs;
  return upstreamProgressAt - since > run.patienceMs;
}
