/**
 * Chooses among a few upstreams by prefix affinity and load; avoids stragglers.
 *
 * @module
 */
import { rendezvousOrder } from "../../base/hash.ts";
import type { Random } from "../../base/random.ts";
import type { RouteDecision, RouteQuery, Router } from "./router.ts";
import type { UpstreamEntry } from "./upstream_entry.ts";

/** A straggler's first byte takes this many times the median of its peers. */
const STRAGGLER_FACTOR = 3;
/** Stragglers are detected among at least this many upstreams with samples. */
const MIN_PEERS = 3;
/** Maximum share of upstreams that are treated as stragglers. */
const MAX_STRAGGLER_SHARE = 0.25;
/** Interval at which a straggler gets one request, to detect its recovery. */
const PROBATION_INTERVAL_MS = 10_000;
/**
 * Added to the utilization of upstreams in other availability zones: one of them
 * is preferred only if its utilization is lower by more than this.
 */
const CROSS_ZONE_PENALTY = 0.15;
/**
 * Subtracted from the utilization of upstreams that a prefix maps to: what a
 * prefix cache that is likely to be warm is worth.
 */
const AFFINITY_BONUS = 0.25;
/**
 * Number of upstreams that a prefix maps to; these may have the prefix in their
 * cache.
 */
const AFFINITY_CHOICES = 2;

/**
 * Compares up to four upstreams: two to which rendezvous hashing maps the prompt's
 * prefix, and two random ones. Chooses the one with the lowest utilization, after
 * adjustments for the prefix and the availability zone. With few choices, gateways
 * that have the same stale load reports don't all choose the same upstream.
 */
export class AffinityRouter implements Router {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose(
    open: readonly UpstreamEntry[],
    query: RouteQuery,
    now: number,
  ): RouteDecision {
    if (open.length === 0) return noUpstream("no_upstream", open);
    const { healthy, stragglers } = splitStragglers(open);
    const onProbation = stragglers.find((entry) =>
      now - entry.lastStartedAt > PROBATION_INTERVAL_MS &&
      hasCapacity(entry, query, now)
    );
    if (onProbation !== undefined) {
      return decisionFor(onProbation, "probation", [onProbation]);
    }
    const available = healthy.filter((entry) => hasCapacity(entry, query, now));
    if (available.length === 0) return noUpstream("no_room", open);
    return this.#chooseLeastLoaded(available, query, now);
  }

  #chooseLeastLoaded(
    available: readonly UpstreamEntry[],
    query: RouteQuery,
    now: number,
  ): RouteDecision {
    const preferred = affinityIds(available, query.prefixKey);
    const choices = new Set(
      available.filter((entry) => preferred.has(entry.upstream.id)),
    );
    choices.add(this.#random.pick(available));
    choices.add(this.#random.pick(available));
    let best: UpstreamEntry | undefined;
    let bestCost = Infinity;
    for (const entry of choices) {
      const cost = costOf(entry, query, preferred, now);
      if (cost < bestCost) [best, bestCost] = [entry, cost];
    }
    if (best === undefined) return noUpstream("no_room", available);
    const hasAffinity = preferred.has(best.upstream.id);
    return decisionFor(best, hasAffinity ? "affinity" : "least_loaded", [
      ...choices,
    ]);
  }
}

function affinityIds(
  entries: readonly UpstreamEntry[],
  prefixKey: string,
): Set<string> {
  const ids = entries.map((entry) => entry.upstream.id);
  return new Set(rendezvousOrder(prefixKey, ids).slice(0, AFFINITY_CHOICES));
}

function hasCapacity(
  entry: UpstreamEntry,
  query: RouteQuery,
  now: number,
): boolean {
  return entry.load(now) < entry.capacity && query.hasBudget(entry);
}

function costOf(
  entry: UpstreamEntry,
  query: RouteQuery,
  preferred: ReadonlySet<string>,
  now: number,
): number {
  let cost = entry.load(now) / entry.capacity;
  if (entry.upstream.availabilityZone !== query.availabilityZone) {
    cost += CROSS_ZONE_PENALTY;
  }
  if (preferred.has(entry.upstream.id)) cost -= AFFINITY_BONUS;
  return cost;
}

/** Separates stragglers, up to their maximum share, from other upstreams. */
function splitStragglers(entries: readonly UpstreamEntry[]): {
  readonly healthy: readonly UpstreamEntry[];
  readonly stragglers: readonly UpstreamEntry[];
} {
  const times = entries.flatMap((e) => e.firstByteMs ?? []).sort((a, b) =>
    a - b
  );
  if (times.length < MIN_PEERS) return { healthy: entries, stragglers: [] };
  const median = times[Math.floor(times.length / 2)];
  const stragglers = entries
    .filter((e) => (e.firstByteMs ?? 0) > STRAGGLER_FACTOR * median)
    .sort((a, b) => (b.firstByteMs ?? 0) - (a.firstByteMs ?? 0))
    .slice(0, Math.floor(entries.length * MAX_STRAGGLER_SHARE));
  return {
    healthy: entries.filter((e) => !stragglers.includes(e)),
    stragglers,
  };
}

function decisionFor(
  entry: UpstreamEntry,
  reason: RouteDecision["reason"],
  considered: readonly UpstreamEntry[],
): RouteDecision {
  return { entry, reason, considered: considered.map((e) => e.upstream.id) };
}

function noUpstream(
  reason: RouteDecision["reason"],
  considered: readonly UpstreamEntry[],
): RouteDecision {
  return {
    entry: undefined,
    reason,
    considered: considered.map((e) => e.upstream.id),
  };
}
