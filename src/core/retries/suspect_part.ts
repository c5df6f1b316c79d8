/**
 * Record of a prompt part that was in flight at crashes.
 *
 * @module
 */

/** A crash of an upstream at which a prompt part was in flight. */
export interface PartCrash {
  /** Key of the upstream. */
  readonly upstream: string;
  /** Monotonic time, in milliseconds. */
  readonly at: number;
}

/** A prompt part and the crashes at which it was in flight. */
export interface SuspectPart {
  readonly part: string;
  /** Model of the requests that were in flight. */
  readonly model: string;
  /** Parts that each of these requests had as well. */
  readonly companions: readonly string[];
  /** Oldest first. */
  readonly crashes: readonly PartCrash[];
  /** Whether requests with the part are refused. */
  readonly isQuarantined: boolean;
}

/**
 * Crashes within this time are counted once: a failure of several upstreams at
 * the same moment has another cause than a request.
 */
const CRASH_MOMENT_MS = 200;
/** Maximum number of parts in a status, beside one that takes its turn. */
const MAX_SHARED = 8;
/**
 * Maximum number of ids in a status, of parts, companions and upstreams, so that
 * twelve statuses fit into a datagram.
 */
const MAX_SHARED_IDS = 128;

/**
 * Number of moments at which crashes happened.
 *
 * @example
 * ```ts
 * countMoments([{ upstream: "a", at: 0 }, { upstream: "b", at: 90 }]); // 1
 * ```
 */
export function countMoments(crashes: readonly PartCrash[]): number {
  let count = 0;
  let momentAt = -Infinity;
  for (const { at } of crashes) {
    if (at - momentAt < CRASH_MOMENT_MS) continue;
    momentAt = at;
    count += 1;
  }
  return count;
}

/**
 * Adds crashes to a list of them. One that is known is not added again: its
 * upstream has one crash only, as a group that forms again has another key.
 *
 * @example
 * ```ts
 * const crashes = mergeCrashes(known, [{ upstream: "g-1@7", at: now }]);
 * ```
 */
export function mergeCrashes(
  known: readonly PartCrash[],
  added: readonly PartCrash[],
): readonly PartCrash[] {
  const upstreams = new Set(known.map(({ upstream }) => upstream));
  const unknown = added.filter(({ upstream }) => !upstreams.has(upstream));
  if (unknown.length === 0) return known;
  return [...known, ...unknown].sort((a, b) => a.at - b.at);
}

/**
 * Monotonic time of the last crash.
 *
 * @example
 * ```ts
 * const isOld = now - lastCrashAt(suspect) > MAX_AGE_MS;
 * ```
 */
export function lastCrashAt(
  { crashes }: Pick<SuspectPart, "crashes">,
): number {
  return crashes.at(-1)?.at ?? -Infinity;
}

/**
 * Takes parts from the start, until a status has no room for more.
 *
 * @example
 * ```ts
 * const shared = takeWithinLimits(suspects);
 * ```
 */
export function takeWithinLimits(
  suspects: readonly SuspectPart[],
): SuspectPart[] {
  const taken: SuspectPart[] = [];
  let ids = 0;
  for (const suspect of suspects.slice(0, MAX_SHARED)) {
    ids += 1 + suspect.companions.length + suspect.crashes.length;
    if (ids > MAX_SHARED_IDS) break;
    taken.push(suspect);
  }
  return taken;
}
