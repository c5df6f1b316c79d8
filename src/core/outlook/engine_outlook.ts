/**
 * What a request can expect of a replica in its next second.
 *
 * @module
 */
import type { ServiceSpec } from "../../world/catalog.ts";
import type { Replica } from "../fleet/replica.ts";
import type { EngineLatencyModel } from "./engine_latency_model.ts";
import type { ResidualStatus } from "./first_event_calibration.ts";
import { FirstEventCalibration, modelKey } from "./first_event_calibration.ts";
import type { LatencyModels } from "./latency_model_cache.ts";
import { LatencyModelCache } from "./latency_model_cache.ts";
import { ReplicaSlowness } from "./replica_slowness.ts";

/** Load of all nodes on one replica, as far as this node knows it. */
export interface ReplicaLoad {
  readonly inFlight: number;
  /** Prompt tokens of requests that have no first event yet. */
  readonly pendingPromptTokens: number;
}

/** What a request with a prompt of some length can expect of a replica. */
export interface EngineForecast {
  /** Time to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** By how much slower requests exceed it, in milliseconds. */
  readonly spreadMs: number;
  /**
   * Part of `firstEventMs` that doesn't depend on the load, in milliseconds; the
   * same for all replicas of a model.
   */
  readonly constantMs: number;
  /** Longest gap between events of the replica's streams, in milliseconds. */
  readonly gapMs: number;
  /** Time to the first event by the engine's configuration alone. */
  readonly computedMs: number;
}

/** A service's model, and the forecasts of its replicas. */
export interface ModelOutlook {
  /**
   * Time that requests which nodes have sent, but not reported yet, add to the
   * first event on each replica, in milliseconds. Replicas that differ by less
   * can't be told apart.
   */
  readonly unreportedMs: number;
  /** Forecasts for a request with `promptTokens` on a replica under `load`. */
  forecast(
    replica: Replica,
    load: ReplicaLoad,
    promptTokens: number,
    now: number,
  ): EngineForecast;
}

/** Dependencies of an {@linkcode EngineOutlook}. */
export interface EngineOutlookDependencies {
  /** Engine milliseconds requested per second from all nodes, by model. */
  readonly fleetDemand: () => ReadonlyMap<string, number>;
  /** Mean age of the loads that peers have reported, in milliseconds. */
  readonly statusLagMs: () => number;
}

/**
 * Forecasts of engines: computed from their configuration and the load, then
 * corrected by what was observed of the model and of each replica.
 */
export class EngineOutlook {
  readonly #deps: EngineOutlookDependencies;
  readonly #models = new LatencyModelCache();
  readonly #calibration = new FirstEventCalibration();
  readonly #slowness = new ReplicaSlowness();

  constructor(deps: EngineOutlookDependencies) {
    this.#deps = deps;
  }

  /**
   * Outlook of a model that `replicas` serve; undefined if the service doesn't have
   * it.
   */
  of(
    service: ServiceSpec,
    model: string | undefined,
    replicas: readonly Replica[],
    now: number,
  ): ModelOutlook | undefined {
    const models = this.#models.of(service, model);
    if (models === undefined || model === undefined) return undefined;
    const key = modelKey(service.name, model);
    const { constantMs, spreadMs } = this.#calibration.residual(key, now);
    const { oneDomain } = models;
    const unreported = this.#unreported(model, oneDomain) /
      Math.max(1, replicas.length);
    // What slows all of them for a moment, such as this node's own link, doesn't
    // make any of them a worse choice, and must not have all requests refused.
    const commonSlowness = this.#slowness.lowest(replicas, now);
    return {
      unreportedMs: unreported * oneDomain.usualPrefillMs,
      forecast: (replica, load, promptTokens, at) => {
        const engine = modelOf(models, replica);
        const slowness = this.slowness(replica.key, at) / commonSlowness;
        const { inFlight, pendingPromptTokens } = load;
        const computedMs = engine.firstEventMs(
          inFlight,
          pendingPromptTokens,
          promptTokens,
        );
        const gapMs = engine.gapMs(
          inFlight + 1,
          pendingPromptTokens + promptTokens,
        );
        return {
          firstEventMs: (computedMs + constantMs) * slowness,
          spreadMs,
          constantMs,
          gapMs: gapMs * slowness,
          computedMs,
        };
      },
    };
  }

  /** Number of requests that nodes have sent to a model, but not reported yet. */
  #unreported(model: string, engine: EngineLatencyModel): number {
    const demandMs = this.#deps.fleetDemand().get(model) ?? 0;
    const perSecond = demandMs / engine.usualRequestMs;
    return perSecond * this.#deps.statusLagMs() / 1_000;
  }

  /** What the configuration leaves out of a model's time to the first event. */
  constantMs(service: string, model: string, now: number): number {
    return this.#calibration.residual(modelKey(service, model), now).constantMs;
  }

  /** How many times slower a replica is than expected; at least 1. */
  slowness(replicaKey: string, now: number): number {
    return this.#slowness.factor(replicaKey, now);
  }

  /**
   * Records the measured time to a first event of a request for which
   * `computedMs` was forecast.
   */
  recordFirstEvent(
    replica: Replica,
    computedMs: number,
    measuredMs: number,
    now: number,
  ): void {
    const { key, service, model } = replica;
    let expectedMs = computedMs;
    if (model !== undefined) {
      const learnt = modelKey(service, model);
      this.#calibration.record(learnt, measuredMs, computedMs, now);
      // With the new sample, so that what all replicas of a model have in common
      // is not taken for a slow replica.
      expectedMs += this.#calibration.residual(learnt, now).constantMs;
    }
    this.#slowness.record(key, measuredMs / Math.max(1, expectedMs), now);
  }

  /** What this node has learnt of its models, for peers. */
  shared(now: number): ResidualStatus[] {
    return this.#calibration.shared(now);
  }

  /** Takes over what a peer has learnt. */
  recordPeer(
    nodeId: string,
    statuses: readonly ResidualStatus[],
    now: number,
  ): void {
    this.#calibration.recordPeer(nodeId, statuses, now);
  }

  /** Drops outdated observations. */
  expire(now: number): void {
    this.#calibration.expire(now);
    this.#slowness.expire(now);
  }
}

function modelOf(
  { crossDomain, oneDomain }: LatencyModels,
  { isCrossDomain }: Replica,
): EngineLatencyModel {
  return isCrossDomain ? crossDomain : oneDomain;
}
