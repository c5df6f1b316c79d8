/**
 * The promises, as callers and servers can see them.
 *
 * @module
 */
import type { GroupBreach } from "../../src/standins/fleet/engine_hosts.ts";
import type { RunJournal } from "../../src/standins/platform/engine_calls.ts";
import type { FaultPeriod } from "./fault_proxy.ts";
import type { CallerResult } from "./soak_clients.ts";

/** A key that was taken away must not be served after this time. */
const REVOCATION_TIMEOUT_MS = 5_000;
/** A node that reaches the store again has confirmed its keys by then. */
const RECONFIRMATION_MS = 2_000;
/** Refusals come fast: while keys are unconfirmed they outnumber answers. */
const MIN_SUCCESS_RATIOS = { servable: 0.6, all: 0.05 } as const;
/** These statuses promise that a request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** What was seen in a run. */
export interface SoakObservations {
  readonly results: readonly CallerResult[];
  readonly journal: RunJournal;
  readonly breaches: readonly GroupBreach[];
  readonly revokedKeyOwner: string;
  readonly revokedKey: string | undefined;
  readonly revokedAt: number | undefined;
  /** Times at which nodes could not reach the store. */
  readonly storeFaultPeriods: readonly FaultPeriod[];
  readonly unexpectedExits: number;
}

/**
 * Lists the promises that were broken.
 *
 * @example
 * ```ts
 * const problems = checkPromises(seen);
 * ```
 */
export function checkPromises(observations: SoakObservations): string[] {
  const runCounts = new Map<string, number>();
  for (const run of observations.journal) {
    runCounts.set(run.requestId, (runCounts.get(run.requestId) ?? 0) + 1);
  }
  return [
    ...corruptResponses(observations),
    ...repeatedOrders(observations, runCounts),
    ...executedRefusals(observations, runCounts),
    ...runsWithRevokedKey(observations),
    ...observations.breaches.map((breach) =>
      `${breach.rule} at ${breach.host}`
    ),
    ...(observations.unexpectedExits > 0
      ? [`${observations.unexpectedExits} processes ended by themselves`]
      : []),
    ...lowSuccessRatios(observations),
  ];
}

function corruptResponses(observations: SoakObservations): string[] {
  return observations.results.flatMap((result) =>
    result.problem === undefined
      ? []
      : [`whole answer: ${result.requestId} ${result.problem}`]
  );
}

function repeatedOrders(
  observations: SoakObservations,
  runCounts: ReadonlyMap<string, number>,
): string[] {
  return observations.results.filter((result) =>
    result.path.startsWith("/order/") &&
    (runCounts.get(result.requestId) ?? 0) > 1
  ).map((result) => `ran twice: ${result.requestId}`);
}

function executedRefusals(
  observations: SoakObservations,
  runCounts: ReadonlyMap<string, number>,
): string[] {
  return observations.results.filter((result) =>
    result.path.startsWith("/order/") && NOT_RUN_STATUSES.has(result.status) &&
    runCounts.has(result.requestId)
  ).map((result) => `said not run: ${result.requestId}`);
}

function runsWithRevokedKey(observations: SoakObservations): string[] {
  const { revokedAt } = observations;
  if (revokedAt === undefined) return [];
  const sentAt = new Map(
    observations.results.map((r) => [r.requestId, r.sentAt]),
  );
  return observations.journal.filter((run) =>
    run.tenant === observations.revokedKeyOwner &&
    (sentAt.get(run.requestId) ?? -Infinity) > revokedAt + REVOCATION_TIMEOUT_MS
  ).map((run) => `key taken away: ${run.requestId}`);
}

/** A fleet that refuses everything keeps all other promises. */
function lowSuccessRatios(observations: SoakObservations): string[] {
  return [
    ...belowMinRatio(
      "servable",
      observations.results.filter((r) => isServable(observations, r)),
    ),
    ...belowMinRatio("all", observations.results),
  ];
}

function belowMinRatio(
  name: keyof typeof MIN_SUCCESS_RATIOS,
  results: readonly CallerResult[],
): string[] {
  const succeeded = results.filter((result) => result.isComplete).length;
  const ratio = succeeded / Math.max(1, results.length);
  return results.length > 0 && ratio < MIN_SUCCESS_RATIOS[name]
    ? [`${name}: only ${Math.round(ratio * 100)}% answered`]
    : [];
}

/** Whether a caller with a valid key came while keys could be confirmed. */
function isServable(
  observations: SoakObservations,
  { key, sentAt }: CallerResult,
): boolean {
  const { revokedAt, revokedKey } = observations;
  if (key === revokedKey && sentAt > (revokedAt ?? Infinity)) return false;
  return observations.storeFaultPeriods.every(({ from, until }) =>
    sentAt < from || sentAt > until + RECONFIRMATION_MS
  );
}
