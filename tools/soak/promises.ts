/**
 * The promises, as callers and servers can see them.
 *
 * @module
 */
import type { GroupBreach } from "../../src/standins/fleet/engine_hosts.ts";
import type { RunJournal } from "../../src/standins/platform/engine_calls.ts";
import type { HarmedTime } from "./fault_proxy.ts";
import type { CallerResult } from "./soak_clients.ts";

/** A key that was taken away must not be served after this time. */
const REVOKE_MS = 5_000;
/** A node that reaches the store again has confirmed its keys by then. */
const CONFIRMED_AGAIN_MS = 2_000;
/** Refusals come fast: while keys are unconfirmed they outnumber answers. */
const LEAST_SHARES = { calm: 0.6, all: 0.05 } as const;
/** These statuses promise that a request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** What was seen in a run. */
export interface Seen {
  readonly results: readonly CallerResult[];
  readonly journal: RunJournal;
  readonly breaches: readonly GroupBreach[];
  readonly revokedKeyOwner: string;
  readonly revokedKey: string | undefined;
  readonly revokedAt: number | undefined;
  /** Times at which nodes could not reach the store. */
  readonly harmed: readonly HarmedTime[];
  readonly unexpectedEnds: number;
}

/**
 * Lists the promises that were broken.
 *
 * @example
 * ```ts
 * const problems = checkPromises(seen);
 * ```
 */
export function checkPromises(seen: Seen): string[] {
  const runs = new Map<string, number>();
  for (const run of seen.journal) {
    runs.set(run.requestId, (runs.get(run.requestId) ?? 0) + 1);
  }
  return [
    ...brokenAnswers(seen),
    ...ranTwice(seen, runs),
    ...falseRefusals(seen, runs),
    ...lateKeys(seen),
    ...seen.breaches.map((breach) => `${breach.rule} at ${breach.host}`),
    ...(seen.unexpectedEnds > 0
      ? [`${seen.unexpectedEnds} processes ended by themselves`]
      : []),
    ...tooFew(seen),
  ];
}

function brokenAnswers(seen: Seen): string[] {
  return seen.results.flatMap((result) =>
    result.problem === undefined
      ? []
      : [`whole answer: ${result.requestId} ${result.problem}`]
  );
}

function ranTwice(seen: Seen, runs: ReadonlyMap<string, number>): string[] {
  return seen.results.filter((result) =>
    result.path.startsWith("/order/") && (runs.get(result.requestId) ?? 0) > 1
  ).map((result) => `ran twice: ${result.requestId}`);
}

function falseRefusals(
  seen: Seen,
  runs: ReadonlyMap<string, number>,
): string[] {
  return seen.results.filter((result) =>
    result.path.startsWith("/order/") && NOT_RUN.has(result.status) &&
    runs.has(result.requestId)
  ).map((result) => `said not run: ${result.requestId}`);
}

function lateKeys(seen: Seen): string[] {
  const { revokedAt } = seen;
  if (revokedAt === undefined) return [];
  const sentAt = new Map(seen.results.map((r) => [r.requestId, r.sentAt]));
  return seen.journal.filter((run) =>
    run.tenant === seen.revokedKeyOwner &&
    (sentAt.get(run.requestId) ?? -Infinity) > revokedAt + REVOKE_MS
  ).map((run) => `key taken away: ${run.requestId}`);
}

/** A fleet that refuses everything keeps all other promises. */
function tooFew(seen: Seen): string[] {
  return [
    ...belowShare("calm", seen.results.filter((r) => isCalm(seen, r))),
    ...belowShare("all", seen.results),
  ];
}

function belowShare(
  name: keyof typeof LEAST_SHARES,
  results: readonly CallerResult[],
): string[] {
  const whole = results.filter((result) => result.isWhole).length;
  const share = whole / Math.max(1, results.length);
  return results.length > 0 && share < LEAST_SHARES[name]
    ? [`${name}: only ${Math.round(share * 100)}% answered`]
    : [];
}

/** Whether a caller with a valid key came while keys could be confirmed. */
function isCalm(seen: Seen, { key, sentAt }: CallerResult): boolean {
  const { revokedAt, revokedKey } = seen;
  if (key === revokedKey && sentAt > (revokedAt ?? Infinity)) return false;
  return seen.harmed.every(({ from, until }) =>
    sentAt < from || sentAt > until + CONFIRMED_AGAIN_MS
  );
}
