/**
 * Notices upstreams whose streams have all gone silent.
 *
 * @module
 */
import type { ServiceSpec } from "../../world/catalog.ts";
import type { Evidence } from "../fleet/evidence.ts";
import { EngineLatencyModel } from "./engine_times.ts";
import type { LoadTracker } from "./load_board.ts";
import type { RelayRun, RunningAttempt } from "./relay_run.ts";

/** Expected pauses that may pass before silence counts. */
const MAX_PASSES_WITHOUT_EVENT = 1.6;
/** Added to the expected pause, in milliseconds. */
const STALL_MARGIN_MS = 60;
/** Added for a lone stream; the more streams pause together, the less. */
const SINGLE_STREAM_MARGIN_MS = 120;
/** Silence before the first event of any request, beyond what was expected. */
const FIRST_EVENT_MARGIN_MS = 350;

/** Watches the streams of this process. */
export class StallDetector {
  readonly #loads: LoadTracker;
  readonly #evidence: Evidence;
  readonly #runs = new Map<string, Set<RelayRun>>();

  constructor(loads: LoadTracker, evidence: Evidence) {
    this.#loads = loads;
    this.#evidence = evidence;
  }

  /** Begins to watch an attempt on an engine. */
  watch(run: RelayRun, attempt: RunningAttempt): void {
    const { key } = attempt.replica;
    const runs = this.#runs.get(key) ?? new Set();
    runs.add(run);
    this.#runs.set(key, runs);
  }

  /** Ends the watch. */
  unwatch(run: RelayRun, attempt: RunningAttempt): void {
    const { key } = attempt.replica;
    const runs = this.#runs.get(key);
    runs?.delete(run);
    if (runs?.size === 0) this.#runs.delete(key);
  }

  /** Requests under way on an upstream. */
  runsOn(key: string): RelayRun[] {
    return [...this.#runs.get(key) ?? []];
  }

  /** Doubts upstreams that should have sent something by now. */
  check(now: number): void {
    for (const [key, runs] of this.#runs) {
      const silentMs = now - this.#lastProgressAt(key, runs, now);
      if (silentMs > this.#limitMs(key, runs, now)) {
        this.#evidence.doubt({ key, kind: "silent", at: now }, "own");
      }
    }
  }

  /** When the upstream last did anything, for anyone. */
  #lastProgressAt(key: string, runs: Set<RelayRun>, now: number): number {
    let lastEventAt = this.#loads.lastEventAt(key) ?? -Infinity;
    let oldestStart = now;
    for (const { attempt } of runs) {
      if (attempt === undefined) continue;
      if (attempt.paused) return now;
      lastEventAt = Math.max(lastEventAt, attempt.lastDataAt ?? -Infinity);
      oldestStart = Math.min(oldestStart, attempt.startedAt);
    }
    return Math.max(lastEventAt, oldestStart);
  }

  #limitMs(key: string, runs: Set<RelayRun>, now: number): number {
    let decoding = 0;
    let expectedMs = 0;
    let service: ServiceSpec | undefined;
    let model: string | undefined;
    let isFar = false;
    for (const run of runs) {
      service = run.service;
      model = run.model;
      isFar = run.attempt?.replica.isFar ?? isFar;
      if (run.attempt?.lastDataAt !== undefined) decoding += 1;
      expectedMs = Math.max(expectedMs, run.attempt?.expectedMs ?? 0);
    }
    const spec = service?.engine?.models.find((m) => m.name === model);
    if (service?.engine === undefined || spec === undefined) return Infinity;
    if (decoding === 0) return expectedMs + FIRST_EVENT_MARGIN_MS;
    const load = this.#loads.total(key, now);
    const latencyModel = new EngineLatencyModel(service.engine, spec, isFar);
    const passMs = latencyModel.passMs(
      Math.min(load.inFlight, latencyModel.slots),
      load.pendingPromptTokens,
    );
    // A prompt that another node has just sent is not known here yet.
    const unreportedPrefillMs = latencyModel.prefillMs(
      service.engine.usual.prompt,
    );
    return passMs * MAX_PASSES_WITHOUT_EVENT + unreportedPrefillMs +
      STALL_MARGIN_MS + SINGLE_STREAM_MARGIN_MS / decoding;
  }
}
