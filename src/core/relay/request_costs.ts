/**
 * What requests take of upstreams.
 *
 * @module
 */
import type { ServiceSpec } from "../../world/catalog.ts";
import { LatencyModelCache } from "./latency_model_cache.ts";

/** Assumed time of a request to a host without an engine. */
const PLAIN_REQUEST_MS = 80;

/** A request and its destination. */
export interface CostQuery {
  readonly service: ServiceSpec;
  readonly model: string | undefined;
  readonly promptTokens: number;
}

/** What a request takes of an upstream. */
export interface RequestCost {
  /** Time of an engine, or of a slot of a host without one. */
  readonly engineMs: number;
  /** Time to the first event on an idle upstream; 0 if it is not known. */
  readonly leastMs: number;
}

/** Estimates costs from the engines' latency models. */
export class RequestCosts {
  readonly #latencyModels = new LatencyModelCache();

  /** Returns what a request takes of an upstream. */
  of({ service, model, promptTokens }: CostQuery): RequestCost {
    const { engine } = service;
    const latencyModel = this.#latencyModels.of(service, model)?.oneDomain;
    if (engine === undefined || latencyModel === undefined) {
      return { engineMs: PLAIN_REQUEST_MS, leastMs: 0 };
    }
    return {
      engineMs: latencyModel.requestMs(promptTokens, engine.usual.answer),
      leastMs: latencyModel.firstEventMs(0, 0, promptTokens),
    };
  }
}
