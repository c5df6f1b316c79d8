/**
 * How much engine time callers ask for, by model.
 *
 * @module
 */
import type { EngineSpec, ServiceSpec } from "../../world/catalog.ts";
import type { CatalogHolder } from "../catalog/catalog_holder.ts";
import { EngineTimes } from "./engine_times.ts";
import type { RelayCall } from "./relay_call.ts";

/** Time in which the weight of a past request falls to 1/e. */
const MEMORY_MS = 2_000;

interface Flow {
  /** Engine time asked for, decayed, in milliseconds. */
  sum: number;
  at: number;
}

/** Measures the demand for each model at this process. */
export class DemandMeter {
  readonly #catalog: CatalogHolder;
  readonly #flows = new Map<string, Flow>();

  constructor(catalog: CatalogHolder) {
    this.#catalog = catalog;
  }

  /** Notes a request. */
  asked(service: ServiceSpec, call: RelayCall, now: number): void {
    if (service.engine === undefined || call.model === undefined) return;
    const costMs = requestMs(service.engine, call);
    // A caller may name any model; only those that exist are remembered.
    if (costMs === 0) return;
    const flow = this.#flows.get(call.model) ?? { sum: 0, at: now };
    flow.sum = decayed(flow, now) + costMs;
    flow.at = now;
    this.#flows.set(call.model, flow);
  }

  /** Engine milliseconds asked for per second, by model. */
  perSecond(now: number): Record<string, number> {
    const demand: Record<string, number> = {};
    if (this.#catalog.inForce === undefined) return demand;
    for (const [model, flow] of this.#flows) {
      demand[model] = Math.round(decayed(flow, now) / MEMORY_MS * 1_000);
    }
    return demand;
  }
}

function decayed(flow: Flow, now: number): number {
  return flow.sum * Math.exp(-(now - flow.at) / MEMORY_MS);
}

function requestMs(engine: EngineSpec, call: RelayCall): number {
  const model = engine.models.find((spec) => spec.name === call.model);
  if (model === undefined) return 0;
  const answer = call.expectedTokens ?? engine.usual.answer;
  return new EngineTimes(engine, model).requestMs(call.promptTokens, answer);
}
