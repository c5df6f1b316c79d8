/**
 * Chooses the upstream of a request, or reports that none can serve it in time.
 *
 * @module
 */
import type { Random } from "../../base/random.ts";
import type { ServiceSpec } from "../../world/catalog.ts";
import type { SuspicionTracker } from "../fleet/suspicion_tracker.ts";
import type { HostRegistry } from "../fleet/host_registry.ts";
import type {
  EngineForecast,
  EngineOutlook,
  ModelOutlook,
} from "../outlook/mod.ts";
import type { Replica } from "../fleet/replica.ts";
import type { ReplicaView } from "../fleet/replica_view.ts";
import type { ColdHostLimiter } from "./cold_host_limiter.ts";
import { coldHostQuota } from "./cold_host_limiter.ts";
import type { HostNotices } from "./host_notices.ts";
import type { LoadTracker, TotalLoad } from "./load_tracker.ts";
import type { ReplicaFailures } from "./replica_failures.ts";
import { ReplicaRanking } from "./replica_ranking.ts";

/** Added to the expected time of an upstream in another availability zone. */
const CROSS_ZONE_MS = 4;
/**
 * Multiplier for the declared limit on requests per second to a cold host, before
 * the limit is divided among processes: the limiter applies the result to 1.1
 * seconds.
 */
const COLD_RATE_FACTOR = 1.1;
/** Requests per slot from which a host without an engine is overloaded. */
const PLAIN_MAX_REQUESTS_PER_SLOT = 2;
/**
 * Assumed time of a request to an idle host without an engine, as the request's
 * cost is not known.
 */
const PLAIN_REQUEST_MS = 80;
/**
 * Maximum relative jitter of the cost of a host without an engine, so that
 * processes choose different hosts.
 */
const JITTER = 0.1;
/** Relative increase of the cost with each rank in the order of preference. */
const RANK_PENALTY = 0.06;
/** Utilization of an engine's slots above which its cost increases. */
const BUSY_UTILIZATION = 0.7;

/**
 * Replicas are chosen from if their cost exceeds the lowest by at most this many times
 * what unreported requests add.
 */
const UNREPORTED_TOLERANCE = 2;

/** Properties of a request that determine its placement. */
export interface PlacementQuery {
  readonly service: ServiceSpec;
  readonly model: string | undefined;
  readonly promptTokens: number;
  /**
   * Maximum expected time to the first byte; beyond it, the request is not sent.
   */
  readonly firstByteLimitMs: number;
  /** Longest gap between events that is still in time; Infinity if none matters. */
  readonly gapLimitMs: number;
  /** Whether a replica is excluded, as an earlier attempt failed on it. */
  excludes(key: string): boolean;
}

/** The chosen replica, or why there is none. */
export type Placement =
  | {
    readonly kind: "send";
    readonly replica: Replica;
    /** Expected time to the first byte. */
    readonly expectedMs: number;
    /** Forecast of the engine; undefined for a host without one. */
    readonly forecast: EngineForecast | undefined;
    /** Load of all nodes on the replica when it was chosen. */
    readonly load: TotalLoad;
    /** Number of announced replicas that are not suspected. */
    readonly considered: number;
  }
  /** No replica can serve in time; `expectedMs` is the lowest expected time. */
  | { readonly kind: "full"; readonly expectedMs: number }
  /** No replica is available. */
  | { readonly kind: "none" };

/** A replica that a request could be sent to. */
interface Candidate {
  readonly replica: Replica;
  readonly load: TotalLoad;
  readonly forecast: EngineForecast | undefined;
  readonly expectedMs: number;
  readonly cost: number;
  /** Whether its streams are expected to have a gap over the limit. */
  readonly exceedsGap: boolean;
}

/** Dependencies of a {@linkcode Placer}. */
export interface PlacerDependencies {
  readonly view: ReplicaView;
  readonly suspicions: SuspicionTracker;
  readonly hosts: HostRegistry;
  readonly loads: LoadTracker;
  readonly outlook: EngineOutlook;
  readonly failures: ReplicaFailures;
  readonly coldHostLimiter: ColdHostLimiter;
  readonly hostNotices: HostNotices;
  readonly random: Random;
  readonly nodeId: string;
  readonly zone: string;
  /**
   * Number of live nodes, i.e. processes that relay requests, including those
   * that are starting or leaving.
   */
  readonly fleetSize: () => number;
  /** Index of this process among the nodes in state `serving`, from 0. */
  readonly fleetRank: () => number;
}

/** Places requests by their expected time to the first byte. */
export class Placer {
  readonly #deps: PlacerDependencies;
  readonly #ranking: ReplicaRanking;

  constructor(deps: PlacerDependencies) {
    this.#deps = deps;
    this.#ranking = new ReplicaRanking(deps.nodeId, deps.zone);
  }

  /**
   * Chooses the replica with the lowest cost that can serve in time, if possible
   * one whose streams have no gap over the limit.
   */
  place(query: PlacementQuery, now: number): Placement {
    const { view, suspicions, loads, outlook } = this.#deps;
    const candidates = view.announced(query.service.name, query.model);
    const model = outlook.of(
      query.service,
      query.model,
      candidates,
      now,
    );
    let considered = 0;
    const fitting: Candidate[] = [];
    let lowestRejectedMs = Infinity;
    for (const replica of candidates) {
      if (suspicions.isSuspected(replica.key)) continue;
      if (replica.hasUnlistedMember && !loads.makesProgress(replica.key, now)) {
        continue;
      }
      considered += 1;
      if (query.excludes(replica.key)) continue;
      const load = loads.totalLoad(replica.key, now);
      const candidate = this.#assess(
        replica,
        load,
        query,
        model,
        candidates,
        now,
      );
      const { expectedMs } = candidate;
      const fits = expectedMs <= query.firstByteLimitMs &&
        this.#isWithinColdLimit(replica, query.service, now) &&
        this.#deps.hostNotices.allows(replica.host, now);
      if (!fits) lowestRejectedMs = Math.min(lowestRejectedMs, expectedMs);
      else fitting.push(candidate);
    }
    const best = this.#choose(fitting, model?.unreportedMs ?? 0);
    if (best !== undefined) {
      const { replica, expectedMs, forecast, load } = best;
      return { kind: "send", replica, expectedMs, forecast, load, considered };
    }
    return lowestRejectedMs < Infinity
      ? { kind: "full", expectedMs: lowestRejectedMs }
      : { kind: "none" };
  }

  /**
   * Chooses at random, replicas with a lower cost more often. All nodes know the
   * same loads from before the last statuses; if each took the lowest cost, all
   * would send to the same replica until the next ones. The tolerance lets the
   * requests that aren't reported yet make up for half of a difference.
   */
  #choose(
    fitting: readonly Candidate[],
    unreportedMs: number,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    for (const candidate of fitting) {
      if (best === undefined || isBetter(candidate, best)) best = candidate;
    }
    if (best === undefined || unreportedMs <= 0) return best;
    const toleranceMs = unreportedMs * UNREPORTED_TOLERANCE;
    const { cost: lowest, exceedsGap } = best;
    const weigh = (candidate: Candidate) =>
      candidate.exceedsGap === exceedsGap
        ? Math.max(0, lowest + toleranceMs - candidate.cost)
        : 0;
    const total = fitting.reduce((sum, other) => sum + weigh(other), 0);
    let remaining = this.#deps.random.float() * total;
    for (const candidate of fitting) {
      remaining -= weigh(candidate);
      if (remaining < 0) return candidate;
    }
    return best;
  }

  #assess(
    replica: Replica,
    load: TotalLoad,
    query: PlacementQuery,
    model: ModelOutlook | undefined,
    candidates: readonly Replica[],
    now: number,
  ): Candidate {
    const { failures, outlook, zone } = this.#deps;
    const crossZoneMs = replica.host.zone === zone ? 0 : CROSS_ZONE_MS;
    const forecast = model?.forecast(replica, load, query.promptTokens, now);
    const upstreamMs = forecast?.firstEventMs ??
      plainRequestMs(load.inFlight, replica.host.slots) *
        outlook.slowness(replica.key, now);
    // Upstreams with more than 20 % failures count as slower.
    const failureFactor = 1 +
      8 * Math.max(0, failures.rate(replica.key, now) - 0.2);
    const expectedMs = (upstreamMs + crossZoneMs) * failureFactor;
    // What all replicas of a model have in common doesn't tell them apart.
    const differingMs = expectedMs - (forecast?.constantMs ?? 0);
    return {
      replica,
      load,
      forecast,
      expectedMs,
      cost: differingMs * this.#costFactor(replica, load, candidates),
      exceedsGap: (forecast?.gapMs ?? 0) > query.gapLimitMs,
    };
  }

  /** Multiplier that turns a replica's expected time into its cost. */
  #costFactor(
    replica: Replica,
    { inFlight }: TotalLoad,
    candidates: readonly Replica[],
  ): number {
    if (replica.model === undefined) {
      return 1 + this.#deps.random.float() * JITTER;
    }
    const rank = this.#ranking.ranksOf(candidates).get(replica.key) ?? 0;
    const overload = Math.max(
      0,
      inFlight / replica.host.slots - BUSY_UTILIZATION,
    );
    return (1 + rank * RANK_PENALTY) * (1 + overload);
  }

  /** Whether the replica's host is warm or may get another request now. */
  #isWithinColdLimit(
    replica: Replica,
    service: ServiceSpec,
    now: number,
  ): boolean {
    const { hosts, coldHostLimiter, fleetSize, fleetRank } = this.#deps;
    if (hosts.coldUntil(replica.host.id) <= now) return true;
    if (service.coldPerSecond <= 0) return true;
    const quota = coldHostQuota(
      service.coldPerSecond * COLD_RATE_FACTOR,
      fleetSize(),
      fleetRank(),
    );
    return coldHostLimiter.isAllowed(replica.host.id, quota, now);
  }
}

function isBetter(a: Candidate, b: Candidate): boolean {
  if (a.exceedsGap !== b.exceedsGap) return b.exceedsGap;
  return a.cost < b.cost;
}

/** Time of a request to a host without an engine, in milliseconds. */
export function plainRequestMs(inFlight: number, slots: number): number {
  const perSlot = inFlight / Math.max(1, slots);
  const queuedPerSlot = Math.max(0, perSlot - 1);
  const overloadMs = perSlot >= PLAIN_MAX_REQUESTS_PER_SLOT ? 10_000 : 0;
  return PLAIN_REQUEST_MS * (1 + perSlot * 0.3 + queuedPerSlot) + overloadMs;
}
