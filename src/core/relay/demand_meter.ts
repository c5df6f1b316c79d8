/**
 * Measures the engine time that callers request, by model.
 *
 * @module
 */
import type { EngineSpec, ServiceSpec } from "../../world/catalog.ts";
import type { CatalogHolder } from "../catalog/catalog_holder.ts";
import { EngineLatencyModel } from "../outlook/engine_latency_model.ts";
import type { RelayRequest } from "./relay_request.ts";

/** Time in which the weight of a request decays to 1/e. */
const DECAY_TIME_CONSTANT_MS = 2_000;

interface DecayingDemand {
  /** Engine time requested, decayed up to `updatedAt`, in milliseconds. */
  engineMs: number;
  updatedAt: number;
}

/** Measures the demand for each model at this process. */
export class DemandMeter {
  readonly #catalog: CatalogHolder;
  readonly #byModel = new Map<string, DecayingDemand>();

  constructor(catalog: CatalogHolder) {
    this.#catalog = catalog;
  }

  /** Adds the estimated engine time of a request. */
  recordRequest(
    service: ServiceSpec,
    request: RelayRequest,
    now: number,
  ): void {
    if (service.engine === undefined || request.model === undefined) return;
    const costMs = estimateEngineMs(service.engine, request);
    // Callers may name any model; only declared ones are kept, so that the map
    // stays bounded.
    if (costMs === 0) return;
    const demand = this.#byModel.get(request.model) ??
      { engineMs: 0, updatedAt: now };
    demand.engineMs = decayedEngineMs(demand, now) + costMs;
    demand.updatedAt = now;
    this.#byModel.set(request.model, demand);
  }

  /** Engine milliseconds requested per second, by model. */
  engineMsPerSecond(now: number): Record<string, number> {
    const perSecond: Record<string, number> = {};
    if (this.#catalog.inForce === undefined) return perSecond;
    for (const [model, demand] of this.#byModel) {
      perSecond[model] = Math.round(
        decayedEngineMs(demand, now) / DECAY_TIME_CONSTANT_MS * 1_000,
      );
    }
    return perSecond;
  }
}

function decayedEngineMs(demand: DecayingDemand, now: number): number {
  return demand.engineMs *
    Math.exp(-(now - demand.updatedAt) / DECAY_TIME_CONSTANT_MS);
}

function estimateEngineMs(engine: EngineSpec, request: RelayRequest): number {
  const model = engine.models.find((spec) => spec.name === request.model);
  if (model === undefined) return 0;
  const outputTokens = request.expectedTokens ?? engine.usual.answer;
  return new EngineLatencyModel(engine, model).requestMs(
    request.promptTokens,
    outputTokens,
  );
}
