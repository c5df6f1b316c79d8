/**
 * Kinds of requests, the engine that serves them and the catalog that declares
 * both.
 *
 * @module
 */
import type { Catalog, EngineSpec, Route } from "../../src/world/catalog.ts";

/** A kind of streaming requests. */
export interface LoadKind {
  readonly name: string;
  readonly model: string;
  readonly goalMs: number;
  readonly gapMs: number;
  readonly timeoutMs: number;
  readonly priority: number;
  /** Mean number of prompt tokens. */
  readonly promptTokens: number;
  /** Mean number of events in a response. */
  readonly events: number;
}

/** What the virtual engine does; the catalog names only a part of it. */
export interface EngineBehaviour {
  /** Time before a request is queued, which no configuration names. */
  readonly startMs: number;
  /** Prompt tokens that are read in one step at most. */
  readonly chunk: number;
  /** Time that a million pairs of a token and an earlier one take to read. */
  readonly pairsMsPerMillion: number;
  /** Time from the loss of a group until it resets its connections. */
  readonly stallMs: number;
  readonly spec: EngineSpec;
}

/** Kinds that the loads consist of. */
export const LOAD_KINDS = {
  question: {
    name: "question",
    model: "small",
    goalMs: 250,
    gapMs: 200,
    timeoutMs: 6_000,
    priority: 0,
    promptTokens: 674,
    events: 30,
  },
  draft: {
    name: "draft",
    model: "large",
    goalMs: 400,
    gapMs: 300,
    timeoutMs: 8_000,
    priority: 1,
    promptTokens: 1_420,
    events: 30,
  },
  check: {
    name: "check",
    model: "large",
    goalMs: 600,
    gapMs: 300,
    timeoutMs: 6_000,
    priority: 2,
    promptTokens: 1_960,
    events: 5,
  },
} as const satisfies Record<string, LoadKind>;

/** Name of a kind. */
export type KindName = keyof typeof LOAD_KINDS;

/** Names of the customers; the first one is large in some loads. */
export const CUSTOMERS: readonly string[] = Array.from(
  { length: 12 },
  (_, i) => `customer-${i}`,
);

const SPEC: EngineSpec = {
  slots: 34,
  kvTokens: 1_700_000,
  stride: 5,
  models: [
    model("large", 0.5, 1),
    model("small", 0.5, 0.6),
  ],
  stepMs: 6.4,
  perSequenceMs: 0.1,
  contextMsPerThousand: 0.003,
  prefillTokensPerSecond: 56_000,
  chunkTokens: 2_048,
  loadsPerSecond: 4,
  maxConcurrentLoads: 6,
  usual: { prompt: 950, answer: 140 },
  crossDomainFactor: 4,
  formationMs: 300,
};

function model(name: string, share: number, pace: number) {
  return { name, size: 1, share, pace, loadMs: 12_000, warmMs: 1_000 };
}

/**
 * Creates the engine's behaviour with a given time before a request is queued.
 *
 * @example
 * ```ts
 * const engine = engineBehaviour(93);
 * ```
 */
export function engineBehaviour(startMs: number): EngineBehaviour {
  return {
    startMs,
    chunk: 2_048,
    pairsMsPerMillion: 0.3,
    stallMs: 6_000,
    spec: SPEC,
  };
}

/**
 * Creates the catalog that declares the kinds and the engine.
 *
 * @example
 * ```ts
 * holder.installIfNewer(loadCatalog(engineBehaviour(93)));
 * ```
 */
export function loadCatalog({ spec }: EngineBehaviour): Catalog {
  return {
    version: 1,
    routes: Object.values(LOAD_KINDS).map(toRoute),
    services: [{
      name: "pool",
      healthPath: "/health",
      maxConnections: 900,
      coldMs: 0,
      coldPerSecond: 0,
      engine: spec,
    }],
    limits: {
      maxHeaderBytes: 4_096,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 15_000,
    },
    customers: CUSTOMERS.map((name) => ({
      name,
      keys: [`key of ${name}`],
      priority: undefined,
    })),
  };
}

function toRoute(kind: LoadKind): Route {
  return {
    name: kind.name,
    hostName: "load.example",
    pathPrefix: `/${kind.name}/`,
    kind: "streaming",
    resumable: true,
    attempts: 2,
    timeoutMs: kind.timeoutMs,
    goalMs: kind.goalMs,
    gapMs: kind.gapMs,
    priority: kind.priority,
    isPublic: false,
    targets: [{ service: "pool", weight: 1 }],
  };
}

/**
 * Engine time of a mean request of a kind while all slots are busy, in
 * milliseconds.
 *
 * @example
 * ```ts
 * const perSecond = utilisation * groups * 1_000 / meanRequestMs(kind, spec);
 * ```
 */
export function meanRequestMs(kind: LoadKind, spec: EngineSpec): number {
  const pace = spec.models.find((m) => m.name === kind.model)?.pace ?? 1;
  const readMs = kind.promptTokens / spec.prefillTokensPerSecond * 1_000;
  const tokens = kind.events * spec.stride;
  const perSlotMs = spec.perSequenceMs +
    spec.contextMsPerThousand * (kind.promptTokens + tokens / 2) / 1_000;
  const stepMs = spec.stepMs + spec.slots * perSlotMs;
  return pace * (readMs + tokens * stepMs / spec.slots);
}
