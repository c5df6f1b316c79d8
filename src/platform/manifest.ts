/**
 * Parses the operator's manifest into a catalog.
 *
 * @module
 */
import * as z from "zod";
import type {
  Catalog,
  EngineSpec,
  Route,
  ServiceSpec,
} from "../world/catalog.ts";

const RouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  path_prefix: z.string(),
  kind: z.enum(["idempotent", "non_idempotent", "streaming"]),
  timeout_ms: z.number(),
  goal_ms: z.number().default(1_000),
  gap_target_ms: z.number().optional(),
  priority: z.number().default(1),
  attempts: z.int().default(1),
  public: z.boolean().default(false),
  resumable: z.boolean().default(false),
  service: z.string().optional(),
  traffic_split: z.array(
    z.object({ service: z.string(), weight: z.number() }),
  ).optional(),
});

const ModelSchema = z.object({
  name: z.string(),
  size: z.int(),
  share: z.number(),
  pace: z.number(),
  load_s: z.number(),
  warm_s: z.number(),
});

const EngineSchema = z.object({
  slots: z.int(),
  kv_tokens: z.number(),
  stride: z.int(),
  models: z.array(ModelSchema),
  step_ms: z.number(),
  per_seq_ms: z.number(),
  context_per_k: z.number(),
  read_per_s: z.number(),
  chunk: z.number().positive().optional(),
  loads_per_s: z.number(),
  loads_at_once: z.number(),
  usual: z.object({ prompt: z.number(), answer: z.number() }),
  form_ms: z.number(),
  far_x: z.number().default(1),
});

const ServiceSchema = z.object({
  name: z.string(),
  health: z.string().default("/health"),
  max_conns: z.number().default(64),
  cold_s: z.number().default(0),
  cold_per_s: z.number().default(0),
  engine: EngineSchema.optional(),
});

const ManifestSchema = z.object({
  version: z.int(),
  routes: z.array(RouteSchema),
  services: z.array(ServiceSchema),
  limits: z.object({
    max_header_bytes: z.number(),
    max_body_bytes: z.number(),
    header_timeout_ms: z.number(),
    idle_timeout_ms: z.number(),
  }),
  tenants: z.array(z.object({
    name: z.string(),
    keys: z.array(z.string()),
    priority: z.number().optional(),
  })).optional(),
});

/**
 * Parses a manifest; returns undefined when it doesn't match the schema.
 *
 * @example
 * ```ts
 * const catalog = parseManifest(JSON.parse(text));
 * ```
 */
export function parseManifest(value: unknown): Catalog | undefined {
  const res = ManifestSchema.safeParse(value);
  if (!res.success) return undefined;
  const doc = res.data;
  return {
    version: doc.version,
    routes: doc.routes.map(toRoute),
    services: doc.services.map(toService),
    limits: {
      maxHeaderBytes: doc.limits.max_header_bytes,
      maxBodyBytes: doc.limits.max_body_bytes,
      headerTimeoutMs: doc.limits.header_timeout_ms,
      idleTimeoutMs: doc.limits.idle_timeout_ms,
    },
    customers: doc.tenants?.map(({ name, keys, priority }) => ({
      name,
      keys,
      priority,
    })),
  };
}

function toRoute(doc: z.infer<typeof RouteSchema>): Route {
  const singleTarget = doc.service === undefined
    ? []
    : [{ service: doc.service, weight: 1 }];
  return {
    name: doc.name,
    hostName: doc.host.toLowerCase(),
    pathPrefix: doc.path_prefix,
    kind: doc.kind,
    resumable: doc.resumable,
    attempts: doc.attempts,
    timeoutMs: doc.timeout_ms,
    goalMs: doc.goal_ms,
    gapMs: doc.gap_target_ms ?? doc.goal_ms,
    priority: doc.priority,
    isPublic: doc.public,
    targets: doc.traffic_split ?? singleTarget,
  };
}

function toService(doc: z.infer<typeof ServiceSchema>): ServiceSpec {
  return {
    name: doc.name,
    healthPath: doc.health,
    maxConnections: doc.max_conns,
    coldMs: doc.cold_s * 1_000,
    coldPerSecond: doc.cold_per_s,
    engine: doc.engine && toEngine(doc.engine),
  };
}

function toEngine(doc: z.infer<typeof EngineSchema>): EngineSpec {
  return {
    slots: doc.slots,
    kvTokens: doc.kv_tokens,
    stride: doc.stride,
    models: doc.models.map((model) => ({
      name: model.name,
      size: model.size,
      share: model.share,
      pace: model.pace,
      loadMs: model.load_s * 1_000,
      warmMs: model.warm_s * 1_000,
    })),
    stepMs: doc.step_ms,
    perSequenceMs: doc.per_seq_ms,
    contextMsPerThousand: doc.context_per_k,
    prefillTokensPerSecond: doc.read_per_s,
    chunkTokens: doc.chunk ?? Infinity,
    loadsPerSecond: doc.loads_per_s,
    maxConcurrentLoads: doc.loads_at_once,
    usual: doc.usual,
    crossDomainFactor: doc.far_x,
    formationMs: doc.form_ms,
  };
}
