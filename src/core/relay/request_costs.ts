/**
 * What requests take of upstreams, and how much upstreams provide.
 *
 * @module
 */
import type { ServiceSpec } from "../../world/catalog.ts";
import type { ReplicaView } from "../fleet/replica_view.ts";
import type { SuspicionTracker } from "../fleet/suspicion_tracker.ts";
import type { EngineOutlook } from "../outlook/mod.ts";
import { LatencyModelCache } from "../outlook/latency_model_cache.ts";

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
  readonly #view: ReplicaView;
  readonly #suspicions: SuspicionTracker;
  readonly #latencyModels = new LatencyModelCache();

  readonly #outlook: EngineOutlook;

  constructor(
    view: ReplicaView,
    suspicions: SuspicionTracker,
    outlook: EngineOutlook,
  ) {
    this.#view = view;
    this.#suspicions = suspicions;
    this.#outlook = outlook;
  }

  /** Returns what a request takes of an upstream. */
  of({ service, model, promptTokens }: CostQuery, now: number): RequestCost {
    const { engine } = service;
    const latencyModel = this.#latencyModels.of(service, model)?.oneDomain;
    if (
      engine === undefined || latencyModel === undefined || model === undefined
    ) {
      return { engineMs: PLAIN_REQUEST_MS, leastMs: 0 };
    }
    return {
      engineMs: latencyModel.requestMs(promptTokens, engine.usual.answer),
      leastMs: latencyModel.firstEventMs(0, 0, promptTokens) +
        this.#outlook.constantMs(service.name, model, now),
    };
  }

  /**
   * Returns the engine time that the destination of a request provides per unit
   * of time; 0 if no upstream takes requests.
   */
  rateOf({ service, model }: CostQuery): number {
    let rate = 0;
    for (const replica of this.#view.announced(service.name, model)) {
      if (this.#suspicions.isSuspected(replica.key)) continue;
      if (service.engine === undefined) rate += replica.host.slots;
      else {
        rate += replica.isCrossDomain
          ? 1 / service.engine.crossDomainFactor
          : 1;
      }
    }
    return rate;
  }
}
