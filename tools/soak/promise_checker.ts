/**
 * Checks the promises against what callers and hosts observed.
 *
 * @module
 */
import type { GroupBreach } from "../../src/standins/fleet/engine_hosts.ts";
import type { RunJournal } from "../../src/standins/platform/host_standin.ts";
import type { FaultPeriod } from "./fault_proxy.ts";
import type { CallerResult } from "./soak_caller.ts";

/** Longest time for which a key may be accepted after its revocation. */
const MAX_REVOCATION_MS = 5_000;
/** Time in which a node confirms its keys once it reaches the store again. */
const RECONFIRMATION_MS = 2_000;
/**
 * Minimum ratio of requests that succeed. The one for all requests is low: while
 * keys are unconfirmed, refusals return much faster than successful responses
 * and so outnumber them.
 */
const MIN_SUCCESS_RATIOS = { servable: 0.6, all: 0.05 } as const;
/** Statuses that guarantee that a request was not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** What was observed during a soak. Times are in ms of the timers' clock. */
export interface SoakObservations {
  readonly results: readonly CallerResult[];
  /** Requests that hosts ran. */
  readonly journal: RunJournal;
  readonly breaches: readonly GroupBreach[];
  /** Customer whose key is revoked during the soak. */
  readonly revokedKeyOwner: string;
  readonly revokedKey: string | undefined;
  /** Undefined if the key was not revoked. */
  readonly revokedAt: number | undefined;
  /** Periods during which connections to the store had faults. */
  readonly storeFaultPeriods: readonly FaultPeriod[];
  /** Exits of node processes that the soak did not cause. */
  readonly unexpectedExits: number;
  /** Unix time at 0 ms of the timers' clock. */
  readonly clockOffsetMs: number;
}

/**
 * Lists the breaches of the promises.
 *
 * @example
 * ```ts
 * const problems = checkPromises(observations);
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
    ...refusedOrdersThatRan(observations, runCounts),
    ...runsWithRevokedKey(observations),
    ...observations.breaches.map((breach) =>
      `breach of ${breach.rule} at host ${breach.host}: ${breach.detail}` +
      ` at ${new Date(observations.clockOffsetMs + breach.at).toISOString()}`
    ),
    ...(observations.unexpectedExits > 0
      ? [`${observations.unexpectedExits} node processes exited unexpectedly`]
      : []),
    ...lowSuccessRatios(observations),
  ];
}

function corruptResponses(observations: SoakObservations): string[] {
  return observations.results.flatMap((result) =>
    result.problem === undefined
      ? []
      : [`corrupt response to ${result.requestId}: ${result.problem}`]
  );
}

function repeatedOrders(
  observations: SoakObservations,
  runCounts: ReadonlyMap<string, number>,
): string[] {
  return observations.results.filter((result) =>
    result.path.startsWith("/order/") &&
    (runCounts.get(result.requestId) ?? 0) > 1
  ).map((result) => `order ran more than once: ${result.requestId}`);
}

function refusedOrdersThatRan(
  observations: SoakObservations,
  runCounts: ReadonlyMap<string, number>,
): string[] {
  return observations.results.filter((result) =>
    result.path.startsWith("/order/") && NOT_RUN_STATUSES.has(result.status) &&
    runCounts.has(result.requestId)
  ).map((result) =>
    `order was refused as not run, but ran: ${result.requestId}`
  );
}

function runsWithRevokedKey(observations: SoakObservations): string[] {
  const { revokedAt } = observations;
  if (revokedAt === undefined) return [];
  const sentAt = new Map(
    observations.results.map((r) => [r.requestId, r.sentAt]),
  );
  return observations.journal.filter((run) =>
    run.customer === observations.revokedKeyOwner &&
    (sentAt.get(run.requestId) ?? -Infinity) > revokedAt + MAX_REVOCATION_MS
  ).map((run) => `request ran with a revoked key: ${run.requestId}`);
}

/**
 * Checks that enough requests succeed: a fleet that refuses everything would
 * keep all other promises.
 */
function lowSuccessRatios(observations: SoakObservations): string[] {
  if (observations.results.length === 0) return ["no request was sent"];
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
    ? [`${name} requests: only ${Math.round(ratio * 100)}% succeeded`]
    : [];
}

/**
 * Whether a request had a valid key and was sent while keys could be confirmed.
 */
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
