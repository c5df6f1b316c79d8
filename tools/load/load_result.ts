/**
 * What became of one offered request.
 *
 * @module
 */
import type { OfferedRequest } from "./load_scenarios.ts";

/** How a request ended. */
export type LoadOutcome =
  | "in_time"
  /** Complete, but its first event came after the goal. */
  | "late_first"
  /** Complete, but a pause was too long. */
  | "late_pause"
  | "refused"
  | "failed"
  /** The caller left, so that no outcome counts. */
  | "left";

/** A prediction and what came. */
export interface PredictionSample {
  readonly expectedMs: number;
  readonly actualMs: number;
  readonly expectedGapMs: number | undefined;
  /** Requests in flight at the group when the request was sent. */
  readonly inFlight: number;
}

/** Result of one request. */
export interface LoadResult {
  readonly offered: OfferedRequest;
  readonly outcome: LoadOutcome;
  readonly firstEventMs: number | undefined;
  readonly longestGapMs: number;
  /** Time until the first refusal; undefined if there was none. */
  readonly refusedAfterMs: number | undefined;
  readonly prediction: PredictionSample | undefined;
}

/**
 * Judges a complete response.
 *
 * @example
 * ```ts
 * judgeComplete(offered, 240, 90); // "in_time"
 * ```
 */
export function judgeComplete(
  { kind }: OfferedRequest,
  firstEventMs: number,
  longestGapMs: number,
): LoadOutcome {
  if (firstEventMs > kind.goalMs) return "late_first";
  return longestGapMs > kind.gapMs ? "late_pause" : "in_time";
}
