/**
 * State of one upstream as seen by one gateway.
 *
 * @module
 */
import type { LoadReport, Upstream } from "../../world/upstream.ts";

/** Weight of a new sample in the moving average of latency. */
const LATENCY_WEIGHT = 0.2;
/** Age above which a load report is ignored. */
export const REPORT_STALE_MS = 3_000;
/** Capacity that is assumed before the first report. */
const UNKNOWN_CAPACITY = 4;

/** Why an upstream gets no new requests. */
export type ClosedReason =
  | "not_open"
  | "leaving"
  | "zone_out"
  | "lost"
  | "unreachable"
  | "superseded";

/** Mutable state of one upstream: a group at one epoch or a host at one boot. */
export class UpstreamEntry {
  readonly upstream: Upstream;
  /** Boot of each member when the upstream was formed. */
  readonly memberBoots: ReadonlyMap<string, string>;
  /** Whether the domain record or the host list allows it to serve. */
  isListed = true;
  isLeaving = false;
  /** Why this epoch or boot has ended; never cleared once set. */
  lostReason: string | undefined;
  /** Ids of member hosts that are reported unreachable. */
  readonly unreachableHostIds = new Set<string>();
  inFlight = 0;
  completed = 0;
  /** Moving average of the time to the first byte, in milliseconds. */
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

  /** Returns why the upstream gets no new requests; undefined if it is open. */
  closedReason(isZoneInService: boolean): ClosedReason | undefined {
    if (this.lostReason !== undefined) return "lost";
    if (!this.isListed) return "not_open";
    if (this.isLeaving) return "leaving";
    if (!isZoneInService) return "zone_out";
    if (this.unreachableHostIds.size > 0) return "unreachable";
    return undefined;
  }

  /**
   * Records a load report made at `at` on this gateway's clock, unless a newer
   * one is known. Only first-hand reports, which this gateway requested itself,
   * are forwarded to peers.
   */
  recordReport(report: LoadReport, at: number, firstHand = true): void {
    if (at < this.#reportAt) return;
    this.#isFirstHand = firstHand;
    this.#report = report;
    this.#reportAt = at;
    this.#inFlightAtReport = this.inFlight;
  }

  /** The newest report and its time, for peers; only if it is first-hand. */
  get report(): { readonly load: LoadReport; readonly at: number } | undefined {
    if (!this.#isFirstHand) return undefined;
    return this.#report && { load: this.#report, at: this.#reportAt };
  }

  /** Maximum number of concurrent requests. */
  get capacity(): number {
    return this.#report?.capacity || UNKNOWN_CAPACITY;
  }

  /**
   * Estimated requests in flight: those of this gateway, plus those of other
   * gateways by the last report.
   */
  load(now: number): number {
    return this.inFlight + this.#estimateOthersRunning(now);
  }

  /** Adds a sample of the time to the first byte. */
  recordFirstByte(ms: number): void {
    this.firstByteMs = this.firstByteMs === undefined
      ? ms
      : this.firstByteMs + LATENCY_WEIGHT * (ms - this.firstByteMs);
  }

  #estimateOthersRunning(now: number): number {
    const ageMs = now - this.#reportAt;
    if (this.#report === undefined || ageMs > REPORT_STALE_MS) return 0;
    const others = Math.max(0, this.#report.running - this.#inFlightAtReport);
    // The estimate decreases to half by the time the report is stale.
    return others * (1 - ageMs / REPORT_STALE_MS / 2);
  }
}
