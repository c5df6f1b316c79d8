/**
 * Chooses the upstream of a request, or tells that none can serve it in time.
 *
 * @module
 */
import type { Random } from "../../base/random.ts";
import type { ServiceSpec } from "../../world/catalog.ts";
import type { Evidence } from "../fleet/evidence.ts";
import type { HostRegistry } from "../fleet/host_registry.ts";
import type { Replica } from "../fleet/replica.ts";
import type { ReplicaView } from "../fleet/replica_view.ts";
import type { ColdHostLimiter } from "./cold_pace.ts";
import { coldHostQuota } from "./cold_pace.ts";
import { EngineLatencyModel } from "./engine_times.ts";
import type { LoadTracker } from "./load_board.ts";
import { ReplicaRanking } from "./preference.ts";
import type { ReplicaStats } from "./replica_record.ts";

/** Added to the expected time of an upstream in another zone. */
const CROSS_ZONE_MS = 4;
/** Part of what a cold host bears that the whole fleet uses. */
const COLD_RATE_FACTOR = 1.1;
/** Requests per slot of a plain host beyond which it counts as full. */
const PLAIN_MAX_REQUESTS_PER_SLOT = 2;
/** Time of a plain request while nothing is known of it, in milliseconds. */
const PLAIN_REQUEST_MS = 80;
/** Expected times are spread by this share, so that processes don't agree. */
const JITTER = 0.1;
/** Longer expected time for which the next replica in order is not taken. */
const RANK_PENALTY = 0.06;
/** Part of an engine's slots from which others are preferred. */
const BUSY_UTILIZATION = 0.7;

/** What placing needs to know of a request. */
export interface PlacementQuery {
  readonly service: ServiceSpec;
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** Longest time to the first byte that is worth sending for. */
  readonly firstByteLimitMs: number;
  excludes(key: string): boolean;
}

/** Where a request goes, or why nowhere. */
export type Placement =
  | {
    readonly kind: "send";
    readonly replica: Replica;
    readonly expectedMs: number;
    readonly considered: number;
  }
  | { readonly kind: "full"; readonly expectedMs: number }
  | { readonly kind: "none" };

/** What placing works with. */
export interface PlacerDependencies {
  readonly view: ReplicaView;
  readonly evidence: Evidence;
  readonly hosts: HostRegistry;
  readonly loads: LoadTracker;
  readonly stats: ReplicaStats;
  readonly coldHostLimiter: ColdHostLimiter;
  readonly random: Random;
  readonly nodeId: string;
  readonly zone: string;
  readonly fleetSize: () => number;
  /** Place of this process among those of the fleet, from 0. */
  readonly fleetRank: () => number;
}

/** Places requests by the time to their first byte. */
export class Placer {
  readonly #dependencies: PlacerDependencies;
  readonly #ranking: ReplicaRanking;

  constructor(dependencies: PlacerDependencies) {
    this.#dependencies = dependencies;
    this.#ranking = new ReplicaRanking(dependencies.nodeId, dependencies.zone);
  }

  /** Chooses among the replicas that are usable now. */
  place(query: PlacementQuery, now: number): Placement {
    const { view, evidence } = this.#dependencies;
    const candidates = view.announced(query.service.name, query.model);
    let considered = 0;
    let best: Replica | undefined;
    let bestMs = Infinity;
    let bestScore = Infinity;
    let lowestRejectedMs = Infinity;
    for (const replica of candidates) {
      if (evidence.isDoubted(replica.key)) continue;
      considered += 1;
      if (query.excludes(replica.key)) continue;
      const expectedMs = this.#expectedMs(replica, query, now);
      const fits = expectedMs <= query.firstByteLimitMs &&
        this.#admits(replica, query.service, now);
      if (!fits) {
        lowestRejectedMs = Math.min(lowestRejectedMs, expectedMs);
        continue;
      }
      const score = expectedMs * this.#costFactor(replica, candidates, now);
      if (score >= bestScore) continue;
      best = replica;
      bestMs = expectedMs;
      bestScore = score;
    }
    if (best !== undefined) {
      return {
        kind: "send",
        replica: best,
        expectedMs: bestMs,
        considered,
      };
    }
    return lowestRejectedMs < Infinity
      ? { kind: "full", expectedMs: lowestRejectedMs }
      : { kind: "none" };
  }

  /** Factor on the expected time by which one of several is chosen. */
  #costFactor(
    replica: Replica,
    candidates: readonly Replica[],
    now: number,
  ): number {
    const { loads, random } = this.#dependencies;
    if (replica.model === undefined) return 1 + random.float() * JITTER;
    const rank = this.#ranking.ranksOf(candidates).get(replica.key) ?? 0;
    const { inFlight } = loads.total(replica.key, now);
    const overload = Math.max(
      0,
      inFlight / replica.host.slots - BUSY_UTILIZATION,
    );
    return (1 + rank * RANK_PENALTY) * (1 + overload);
  }

  #expectedMs(replica: Replica, query: PlacementQuery, now: number): number {
    const { loads, stats, zone } = this.#dependencies;
    const load = loads.total(replica.key, now);
    const crossZoneMs = replica.host.zone === zone ? 0 : CROSS_ZONE_MS;
    const slowness = Math.max(1, stats.slowness(replica.key, now));
    const latencyModel = createLatencyModel(
      query.service,
      query.model,
      replica.isFar,
    );
    const baseMs = latencyModel === undefined
      ? plainRequestMs(load.inFlight, replica.host.slots)
      : latencyModel.firstEventMs(
        load.inFlight,
        load.pendingPromptTokens,
        query.promptTokens,
      );
    const failureRate = stats.failureRate(replica.key, now);
    return (baseMs * slowness + crossZoneMs) *
      (1 + 8 * Math.max(0, failureRate - 0.2));
  }

  #admits(replica: Replica, service: ServiceSpec, now: number): boolean {
    const { hosts, coldHostLimiter, fleetSize, fleetRank } = this.#dependencies;
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

function plainRequestMs(inFlight: number, slots: number): number {
  const perSlot = inFlight / Math.max(1, slots);
  const queued = Math.max(0, perSlot - 1);
  const overloadMs = perSlot >= PLAIN_MAX_REQUESTS_PER_SLOT ? 10_000 : 0;
  return PLAIN_REQUEST_MS * (1 + perSlot * 0.3 + queued) + overloadMs;
}

function createLatencyModel(
  service: ServiceSpec,
  model: string | undefined,
  isFar: boolean,
): EngineLatencyModel | undefined {
  const spec = service.engine?.models.find((m) => m.name === model);
  if (service.engine === undefined || spec === undefined) return undefined;
  return new EngineLatencyModel(service.engine, spec, isFar);
}
