/**
 * The deployments that the benchmark and the scenarios run.
 *
 * @module
 */
import type { Action } from "../core/configuration/change.ts";
import type { FleetShape } from "../standins/fleet_layout.ts";
import type { EngineProfile } from "../standins/sim/engine_sim.ts";
import { DEFAULT_PROFILE } from "../standins/sim/engine_sim.ts";
import type {
  Customer,
  Model,
  PlainService,
  ServiceClass,
} from "../world/configuration.ts";

/**
 * A stream of requests to one target in one service class, at a fixed mean
 * rate.
 */
export interface WorkloadPart {
  readonly target: string;
  readonly kind: "model" | "service";
  readonly serviceClass: string;
  readonly requestsPerS: number;
}

/** A deployment's hosts, configuration and load. */
export interface Deployment {
  readonly name: string;
  readonly fleet: FleetShape;
  /** Number of gateways. */
  readonly gatewayCount: number;
  readonly profile: EngineProfile;
  readonly classes: readonly ServiceClass[];
  readonly models: readonly Model[];
  readonly services: readonly PlainService[];
  readonly customers: readonly Customer[];
  readonly workload: readonly WorkloadPart[];
}

const CUSTOMER_COUNT = 10;
const TEAM = "platform";

function serviceClass(
  name: string,
  priority: number,
  firstTokenMs: number,
): ServiceClass {
  return {
    name,
    team: TEAM,
    priority,
    firstTokenMs,
    betweenTokensMs: 100,
    reliabilityPercent: 95,
  };
}

function model(
  name: string,
  hostsPerReplica: number,
  minReplicas: number,
  options: { rank: number; enginesCheckFencing: boolean },
): Model {
  return {
    name,
    team: TEAM,
    version: "v1",
    hostsPerReplica,
    minReplicas,
    ...options,
  };
}

function customers(defaultClass: string): Customer[] {
  return Array.from({ length: CUSTOMER_COUNT }, (_, i) => ({
    name: `customer-${i}`,
    team: TEAM,
    keyHashes: [],
    maxConcurrent: 1_000,
    defaultClass,
  }));
}

const PROFILE: EngineProfile = {
  ...DEFAULT_PROFILE,
  tokensPerChunk: 6,
  checksFencing: true,
};

/**
 * Deployment of Bindery, which lays out albums for shop counters; its three
 * availability zones are close together.
 */
export const BINDERY: Deployment = {
  name: "bindery",
  fleet: {
    zones: ["ktm-a", "ktm-b", "ktm-c"],
    domainsPerZone: 2,
    hostsPerDomain: 8,
    extraHosts: 2,
    acceleratorsPerHost: 8,
    service: "albums",
  },
  gatewayCount: 5,
  profile: PROFILE,
  classes: [
    serviceClass("counter", 6, 1_500),
    serviceClass("draft", 4, 3_000),
    serviceClass("archive", 1, 8_000),
  ],
  models: [
    model("layout-large", 4, 9, { rank: 5, enginesCheckFencing: true }),
    model("caption-small", 1, 3, { rank: 2, enginesCheckFencing: true }),
  ],
  services: [{
    name: "albums",
    team: TEAM,
    repeatable: false,
    notRunStatuses: [],
    timeoutMs: 5_000,
  }],
  customers: customers("draft"),
  workload: [
    {
      target: "layout-large",
      kind: "model",
      serviceClass: "counter",
      requestsPerS: 22,
    },
    {
      target: "layout-large",
      kind: "model",
      serviceClass: "draft",
      requestsPerS: 16,
    },
    {
      target: "layout-large",
      kind: "model",
      serviceClass: "archive",
      requestsPerS: 8,
    },
    {
      target: "caption-small",
      kind: "model",
      serviceClass: "draft",
      requestsPerS: 14,
    },
    {
      target: "albums",
      kind: "service",
      serviceClass: "counter",
      requestsPerS: 6,
    },
  ],
};

/**
 * Deployment of Luces Claras, which serves field crews; its engines ignore
 * fencing tokens.
 */
export const LUCES_CLARAS: Deployment = {
  name: "luces-claras",
  fleet: {
    zones: ["lima-a", "lima-b", "lima-c"],
    domainsPerZone: 2,
    hostsPerDomain: 8,
    extraHosts: 2,
    acceleratorsPerHost: 8,
    service: "quotes",
  },
  gatewayCount: 4,
  profile: { ...PROFILE, checksFencing: false },
  classes: [
    serviceClass("crew", 6, 1_500),
    serviceClass("quote", 4, 3_000),
    serviceClass("photo-batch", 1, 8_000),
  ],
  models: [
    model("knot-large", 4, 8, { rank: 5, enginesCheckFencing: false }),
    model("photo-medium", 2, 4, { rank: 3, enginesCheckFencing: false }),
    model("text-small", 1, 2, { rank: 1, enginesCheckFencing: false }),
  ],
  services: [{
    name: "quotes",
    team: TEAM,
    repeatable: false,
    notRunStatuses: [],
    timeoutMs: 5_000,
  }],
  customers: customers("quote"),
  workload: [
    {
      target: "knot-large",
      kind: "model",
      serviceClass: "crew",
      requestsPerS: 24,
    },
    {
      target: "knot-large",
      kind: "model",
      serviceClass: "quote",
      requestsPerS: 12,
    },
    {
      target: "photo-medium",
      kind: "model",
      serviceClass: "crew",
      requestsPerS: 10,
    },
    {
      target: "photo-medium",
      kind: "model",
      serviceClass: "photo-batch",
      requestsPerS: 8,
    },
    {
      target: "text-small",
      kind: "model",
      serviceClass: "quote",
      requestsPerS: 6,
    },
    {
      target: "quotes",
      kind: "service",
      serviceClass: "crew",
      requestsPerS: 6,
    },
  ],
};

/** A small deployment with little load, for tests of single mechanisms. */
export const SMALL: Deployment = {
  ...BINDERY,
  name: "small",
  fleet: {
    ...BINDERY.fleet,
    domainsPerZone: 1,
    hostsPerDomain: 5,
    extraHosts: 0,
  },
  gatewayCount: 3,
  profile: { ...PROFILE, loadMs: 3_000, releaseMs: 1_500 },
  models: [
    model("layout-large", 4, 3, { rank: 5, enginesCheckFencing: true }),
    model("caption-small", 1, 1, { rank: 2, enginesCheckFencing: true }),
  ],
  workload: [
    {
      target: "layout-large",
      kind: "model",
      serviceClass: "counter",
      requestsPerS: 6,
    },
    {
      target: "layout-large",
      kind: "model",
      serviceClass: "draft",
      requestsPerS: 4,
    },
    {
      target: "caption-small",
      kind: "model",
      serviceClass: "archive",
      requestsPerS: 3,
    },
    {
      target: "albums",
      kind: "service",
      serviceClass: "counter",
      requestsPerS: 3,
    },
  ],
};

/**
 * Returns the changes that declare a deployment. Classes come before customers,
 * because a customer's default class has to exist.
 *
 * @example
 * ```ts
 * for (const action of declarations(BINDERY)) await submit(action);
 * ```
 */
export function declarations(deployment: Deployment): Action[] {
  return [
    ...deployment.classes.map((value) =>
      ({ kind: "set_class", value }) as const
    ),
    ...deployment.models.map((value) =>
      ({ kind: "set_model", value }) as const
    ),
    ...deployment.services.map((value) =>
      ({ kind: "set_service", value }) as const
    ),
    ...deployment.customers.map((value) =>
      ({ kind: "set_customer", value }) as const
    ),
  ];
}
