/**
 * Distinguishes crashes of upstreams from single connection resets, and records
 * the requests that may have caused a crash.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type {
  CrashSuspect,
  PromptPartTracker,
} from "../retries/prompt_part_tracker.ts";
import type { SuspectRequestTracker } from "../retries/suspect_request_tracker.ts";

/** A crash resets all connections of an upstream within this time. */
const CRASH_WINDOW_MS = 80;

/** One run of an upstream; a host may start again under its key. */
export interface UpstreamRun {
  readonly key: string;
  /** When the host started, as it announces it. */
  readonly born: number;
}

/** Resets of an upstream's connections, and whether they count as a crash. */
export interface CrashVerdict {
  /** Key of the upstream. */
  readonly upstream: string;
  readonly isCrash: boolean;
  /** Number of requests whose response had not begun, or only just. */
  readonly requests: number;
  /** Number of requests that are still in flight on the upstream. */
  readonly inFlight: number;
}

/** A request in flight on an upstream whose connections were reset. */
export interface ResetRequest extends CrashSuspect {
  readonly fingerprint: string;
}

/** Dependencies of a {@linkcode CrashDetector}. */
export interface CrashDetectorDependencies {
  readonly timers: Timers;
  readonly suspectRequests: SuspectRequestTracker;
  readonly promptParts: PromptPartTracker;
  /** Number of requests in flight on an upstream. */
  readonly inFlight: (key: string) => number;
  readonly onVerdict: (verdict: CrashVerdict) => void;
}

/** Collects connection resets by upstream. */
export class CrashDetector {
  readonly #deps: CrashDetectorDependencies;
  /** Requests whose connections were reset, by id of the upstream's run. */
  readonly #resets = new Map<string, ResetRequest[]>();

  constructor(deps: CrashDetectorDependencies) {
    this.#deps = deps;
  }

  /**
   * Records a crash for a request whose connection was reset as its response
   * began: a request that crashes an upstream does so as it begins to run. The
   * crash is retracted if other requests on the upstream survive.
   */
  recordReset(run: UpstreamRun, request: ResetRequest): void {
    const { timers, suspectRequests } = this.#deps;
    const runId = formatRunId(run);
    suspectRequests.recordCrash(runId, [request.fingerprint], timers.now());
    const recorded = this.#resets.get(runId);
    if (recorded !== undefined) {
      recorded.push(request);
      return;
    }
    this.#resets.set(runId, [request]);
    timers.after(CRASH_WINDOW_MS, () => this.#confirmOrRetract(run));
  }

  #confirmOrRetract(run: UpstreamRun): void {
    const { timers, suspectRequests, promptParts, onVerdict } = this.#deps;
    const { key } = run;
    const runId = formatRunId(run);
    const requests = this.#resets.get(runId) ?? [];
    this.#resets.delete(runId);
    const inFlight = this.#deps.inFlight(key);
    const isCrash = inFlight === 0;
    onVerdict({ upstream: key, isCrash, requests: requests.length, inFlight });
    if (isCrash) {
      return promptParts.recordCrash(key, requests, timers.now());
    }
    // Requests still in flight show that the upstream did not crash: only single
    // connections were reset.
    for (const { fingerprint } of requests) {
      suspectRequests.retractCrash(runId, fingerprint);
    }
  }
}

/** Identifies a run at all nodes, so that two reports of a crash are one. */
function formatRunId({ key, born }: UpstreamRun): string {
  return `${key}/${born}`;
}
