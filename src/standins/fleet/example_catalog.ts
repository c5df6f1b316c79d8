/**
 * A small catalog for tests and for the stand-ins.
 *
 * @module
 */
import type { Catalog, EngineModel, Route } from "../../world/catalog.ts";

const STREAM: Omit<Route, "name" | "pathPrefix"> = {
  hostName: "album.example",
  kind: "streaming",
  resumable: true,
  attempts: 2,
  timeoutMs: 5_000,
  goalMs: 200,
  gapMs: 200,
  priority: 1,
  isPublic: false,
  targets: [{ service: "pool", weight: 1 }],
};

/** Models of the example catalog. */
export const EXAMPLE_MODELS: readonly EngineModel[] = [
  {
    name: "large",
    size: 4,
    share: 0.57,
    pace: 1,
    loadMs: 16_000,
    warmMs: 1_600,
  },
  {
    name: "small",
    size: 3,
    share: 0.43,
    pace: 0.6,
    loadMs: 12_000,
    warmMs: 1_100,
  },
];

/**
 * Creates a catalog with routes of every kind, a service with engines and a
 * plain service.
 *
 * @example
 * ```ts
 * holder.installIfNewer(exampleCatalog(1));
 * ```
 */
export function exampleCatalog(version: number): Catalog {
  const plain = { targets: [{ service: "counter", weight: 1 }] };
  return {
    version,
    routes: [
      { ...STREAM, name: "draft", pathPrefix: "/draft/" },
      {
        ...STREAM,
        name: "draft-once",
        pathPrefix: "/once/",
        resumable: false,
      },
      {
        ...STREAM,
        ...plain,
        name: "order",
        pathPrefix: "/order/",
        kind: "non_idempotent",
        resumable: false,
        attempts: 1,
        timeoutMs: 800,
      },
      {
        ...STREAM,
        ...plain,
        name: "look",
        pathPrefix: "/look/",
        kind: "idempotent",
        resumable: false,
        timeoutMs: 800,
      },
    ],
    services: [
      {
        name: "pool",
        healthPath: "/health",
        maxConnections: 100,
        coldMs: 3_000,
        coldPerSecond: 36,
        engine: {
          slots: 18,
          kvTokens: 1_000_000,
          stride: 7,
          models: EXAMPLE_MODELS,
          stepMs: 5.95,
          perSequenceMs: 0.064,
          contextMsPerThousand: 0.0117,
          prefillTokensPerSecond: 50_700,
          chunkTokens: 2_048,
          loadsPerSecond: 4.5,
          maxConcurrentLoads: 6,
          usual: { prompt: 1_115, answer: 178 },
          crossDomainFactor: 2.5,
          formationMs: 300,
        },
      },
      {
        name: "counter",
        healthPath: "/health",
        maxConnections: 100,
        coldMs: 0,
        coldPerSecond: 0,
        engine: undefined,
      },
    ],
    limits: {
      maxHeaderBytes: 4_096,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 15_000,
    },
    customers: [
      { name: "bindery", keys: ["bindery-key"], priority: 1 },
      { name: "front-desk", keys: ["desk-key"], priority: undefined },
    ],
  };
}
