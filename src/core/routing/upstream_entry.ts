/**
 * What one gateway knows of one upstream.
 *
 * @module
 */
import type { LoadReport, Upstream } from "../../world/upstream.ts";

/** Weight of the newest sample in latency averages. */
const LATENCY_WEIGHT = 0.2;
/** A load report older than this is ignored. */
export const REPORT_STALE_MS = 3_000;
/** Concurrency assumed before any report. */
const UNKNOWN_CAPACITY = 4;

/** Why an upstream takes no new work. */
export type ClosedReason =
  | "not_open"
  | "leaving"
  | "zone_out"
  | "lost"
  | "unreachable"
  | "superseded";

/** Mutable knowledge of one upstream at one epoch or boot. */
export class UpstreamEntry {
  readonly upstream: Upstream;
  /** Boot of each member when the upstream was formed. */
  readonly memberBoots: ReadonlyMap<string, string>;
  /** Whether its record or the host list lets it serve. */
  listed = true;
  leaving = false;
  /** Set once for good: this epoch or boot is over. */
  lostReason: string | undefined;
  /** Member hosts that did not answer lately. */
  readonly unreachable = new Set<string>();
  inFlight = 0;
  completed = 0;
  /** Smoothed time to the first byte of an answer, in milliseconds. */
  firstByteMs: number | undefined;
  lastCompletedAt = -Infinity;
  lastStartedAt = -Infinity;
  #report: LoadReport | undefined;
  #reportAt = -Infinity;
  #isFirstHand = false;
  #inFlightAtReport = 0;

  constructor(upstream: Upstream, memberBoots: ReadonlyMap<string, string>) {
    this.upstream = upstream;
    this.memberBoots = memberBoots;
  }

  /** Tells why the upstream takes no new work; undefined when it does. */
  closedReason(zoneTakesWork: boolean): ClosedReason | undefined {
    if (this.lostReason !== undefined) return "lost";
    if (!this.listed) return "not_open";
    if (this.leaving) return "leaving";
    if (!zoneTakesWork) return "zone_out";
    if (this.unreachable.size > 0) return "unreachable";
    return undefined;
  }

  /**
   * Takes a load report that was made at `at` on this gateway's clock. Only
   * reports that this gateway asked for itself are passed on to peers.
   */
  reported(report: LoadReport, at: number, firstHand = true): void {
    if (at < this.#reportAt) return;
    this.#isFirstHand = firstHand;
    this.#report = report;
    this.#reportAt = at;
    this.#inFlightAtReport = this.inFlight;
  }

  /** The newest report if it is first-hand, and its time, for peers. */
  get report(): { readonly load: LoadReport; readonly at: number } | undefined {
    if (!this.#isFirstHand) return undefined;
    return this.#report && { load: this.#report, at: this.#reportAt };
  }

  /** Most requests it runs at once. */
  get capacity(): number {
    return this.#report?.capacity || UNKNOWN_CAPACITY;
  }

  /** Estimated running requests: own count, plus others' by the last report. */
  load(now: number): number {
    return this.inFlight + this.#estimateOthersRunning(now);
  }

  /** Takes the time to the first byte of one answer. */
  sampleFirstByte(ms: number): void {
    this.firstByteMs = this.firstByteMs === undefined
      ? ms
      : this.firstByteMs + LATENCY_WEIGHT * (ms - this.firstByteMs);
  }

  #estimateOthersRunning(now: number): number {
    const age = now - this.#reportAt;
    if (this.#report === undefined || age > REPORT_STALE_MS) return 0;
    const others = Math.max(0, this.#report.running - this.#inFlightAtReport);
    return others * (1 - age / REPORT_STALE_MS / 2);
  }
}
