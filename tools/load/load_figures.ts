/**
 * Figures of a run.
 *
 * @module
 */
import type { LoadOutcome, LoadResult } from "./load_result.ts";

const WINDOW_MS = 2_000;
/** Customers and windows with fewer requests are left out. */
const MIN_REQUESTS = 15;
const QUARTERS = 4;

/** Percentiles of predicted against real times, in milliseconds. */
export interface ErrorFigures {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
}

/** Errors of a quarter of the requests, by load of the group. */
export interface QuarterFigures extends ErrorFigures {
  readonly minInFlight: number;
  readonly maxInFlight: number;
}

/** Share in time of a part of the requests. */
export interface PartFigures {
  readonly name: string;
  readonly inTime: number;
}

/** Figures of one run; shares are of the requests whose callers stayed. */
export interface LoadFigures {
  readonly offered: number;
  readonly counts: Readonly<Record<LoadOutcome, number>>;
  readonly inTime: number;
  readonly lateFirst: number;
  /** Share of late first events of requests that were refused before. */
  readonly lateAfterRefusal: number;
  readonly latePause: number;
  readonly refused: number;
  readonly failed: number;
  /** Median time until the first refusal; undefined without refusals. */
  readonly refusedAfterMs: number | undefined;
  readonly worstKind: PartFigures;
  readonly worstCustomer: PartFigures;
  /** Share in time of the tenth of the requests with the longest prompts. */
  readonly largestTenth: number;
  /** Mean share in time of the two worst windows of 2 s. */
  readonly worstWindows: number;
  /** Starts of these windows, in milliseconds. */
  readonly worstWindowsAt: readonly number[];
  /** Real minus expected time to the first event. */
  readonly firstEventError: ErrorFigures | undefined;
  readonly firstEventErrorByLoad: readonly QuarterFigures[];
  /** Real minus expected longest pause, in builds that predict it. */
  readonly gapError: ErrorFigures | undefined;
  /** Longest pauses of complete responses. */
  readonly longestGap: ErrorFigures | undefined;
}

/**
 * Computes the figures of a run.
 *
 * @example
 * ```ts
 * const { inTime, refused } = computeFigures(await run.run());
 * ```
 */
export function computeFigures(all: readonly LoadResult[]): LoadFigures {
  const counts: Record<LoadOutcome, number> = {
    in_time: 0,
    late_first: 0,
    late_pause: 0,
    refused: 0,
    failed: 0,
    left: 0,
  };
  for (const { outcome } of all) counts[outcome] += 1;
  const results = all.filter(({ outcome }) => outcome !== "left");
  const share = (count: number) => count / Math.max(1, results.length);
  const refusals = results.flatMap(({ refusedAfterMs }) =>
    refusedAfterMs ?? []
  );
  const windows = partsOf(
    results,
    ({ offered }) => String(Math.floor(offered.at / WINDOW_MS) * WINDOW_MS),
  ).slice(0, 2);
  const samples = results.flatMap(({ prediction, longestGapMs }) =>
    prediction === undefined ? [] : { ...prediction, longestGapMs }
  );
  const largest = [...results]
    .sort((a, b) => b.offered.promptTokens - a.offered.promptTokens)
    .slice(0, Math.ceil(results.length / 10));
  return {
    offered: results.length,
    counts,
    inTime: share(counts.in_time),
    lateFirst: share(counts.late_first),
    lateAfterRefusal: share(
      results.filter(({ outcome, refusedAfterMs }) =>
        outcome === "late_first" && refusedAfterMs !== undefined
      ).length,
    ),
    latePause: share(counts.late_pause),
    refused: share(counts.refused),
    failed: share(counts.failed),
    refusedAfterMs: refusals.length === 0
      ? undefined
      : percentile(refusals, 0.5),
    worstKind: partsOf(results, ({ offered }) => offered.kind.name)[0],
    worstCustomer: partsOf(results, ({ offered }) => offered.customer)[0],
    largestTenth: inTimeShare(largest),
    worstWindows: windows.reduce((sum, { inTime }) => sum + inTime, 0) /
      Math.max(1, windows.length),
    worstWindowsAt: windows.map(({ name }) => Number(name)),
    firstEventError: errorFigures(
      samples.map(({ actualMs, expectedMs }) => actualMs - expectedMs),
    ),
    firstEventErrorByLoad: errorsByLoad(samples),
    gapError: errorFigures(
      samples.flatMap(({ longestGapMs, expectedGapMs }) =>
        expectedGapMs === undefined ? [] : longestGapMs - expectedGapMs
      ),
    ),
    longestGap: errorFigures(
      results.filter(({ outcome }) => outcome.match(/in_time|late/))
        .map(({ longestGapMs }) => longestGapMs),
    ),
  };
}

function inTimeShare(results: readonly LoadResult[]): number {
  const count = results.filter(({ outcome }) => outcome === "in_time").length;
  return count / Math.max(1, results.length);
}

/** Shares in time by a name of each request, the lowest first. */
function partsOf(
  results: readonly LoadResult[],
  nameOf: (result: LoadResult) => string,
): PartFigures[] {
  const parts = new Map<string, LoadResult[]>();
  for (const result of results) {
    const name = nameOf(result);
    const part = parts.get(name) ?? [];
    part.push(result);
    parts.set(name, part);
  }
  return [...parts].filter(([, part]) => part.length >= MIN_REQUESTS)
    .map(([name, part]) => ({ name, inTime: inTimeShare(part) }))
    .sort((a, b) => a.inTime - b.inTime);
}

interface LoadedSample {
  readonly actualMs: number;
  readonly expectedMs: number;
  readonly inFlight: number;
}

function errorsByLoad(samples: readonly LoadedSample[]): QuarterFigures[] {
  const sorted = [...samples].sort((a, b) => a.inFlight - b.inFlight);
  return Array.from({ length: QUARTERS }, (_, i) => {
    const part = sorted.slice(
      Math.floor(i * sorted.length / QUARTERS),
      Math.floor((i + 1) * sorted.length / QUARTERS),
    );
    const errors = errorFigures(
      part.map(({ actualMs, expectedMs }) => actualMs - expectedMs),
    );
    if (errors === undefined) return undefined;
    const minInFlight = part[0].inFlight;
    const maxInFlight = part[part.length - 1].inFlight;
    return { ...errors, minInFlight, maxInFlight };
  }).filter((quarter) => quarter !== undefined);
}

function errorFigures(errors: readonly number[]): ErrorFigures | undefined {
  if (errors.length === 0) return undefined;
  return {
    count: errors.length,
    p50: percentile(errors, 0.5),
    p99: percentile(errors, 0.99),
  };
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}
