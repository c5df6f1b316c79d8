/**
 * Latency models of the models that services have.
 *
 * @module
 */
import type { ServiceSpec } from "../../world/catalog.ts";
import { EngineLatencyModel } from "./engine_latency_model.ts";

/** Latency models of one model. */
export interface LatencyModels {
  readonly oneDomain: EngineLatencyModel;
  readonly crossDomain: EngineLatencyModel;
}

/** Creates latency models once for each service of a catalog. */
export class LatencyModelCache {
  readonly #models = new WeakMap<ServiceSpec, Map<string, LatencyModels>>();

  /** Latency models of a model; undefined if the service doesn't have it. */
  of(
    service: ServiceSpec,
    model: string | undefined,
  ): LatencyModels | undefined {
    if (model === undefined) return undefined;
    let models = this.#models.get(service);
    if (models === undefined) {
      models = createLatencyModels(service);
      this.#models.set(service, models);
    }
    return models.get(model);
  }
}

function createLatencyModels(service: ServiceSpec): Map<string, LatencyModels> {
  const models = new Map<string, LatencyModels>();
  const { engine } = service;
  if (engine === undefined) return models;
  for (const spec of engine.models) {
    models.set(spec.name, {
      oneDomain: new EngineLatencyModel(engine, spec, false),
      crossDomain: new EngineLatencyModel(engine, spec, true),
    });
  }
  return models;
}
