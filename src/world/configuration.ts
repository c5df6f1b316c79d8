/**
 * The operators' configuration of gateways and controllers: one versioned
 * document in the key-value store. Nodes use `catalog.ts` instead.
 *
 * @module
 */
import { z } from "zod";

const Name = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/,
  "a name of lower-case letters, digits, dots, dashes",
);

/** Schema of a service class with its targets. */
export const ServiceClassSchema = z.strictObject({
  name: Name,
  team: Name,
  /** Larger numbers are served first. */
  priority: z.int().min(0).max(9),
  /** Time to the first token; for a plain service, to the complete response. */
  firstTokenMs: z.int().min(50).max(600_000),
  /** Time between tokens. */
  betweenTokensMs: z.int().min(1).max(60_000),
  /** Share of requests that must meet the targets, in percent. */
  reliabilityPercent: z.number().min(1).max(100),
});

/** Schema of a model and of the layout of its replica groups. */
export const ModelSchema = z.strictObject({
  name: Name,
  team: Name,
  version: z.string().min(1).max(64),
  hostsPerReplica: z.int().min(1).max(64),
  /** Replica groups that must exist before models of lower rank get hosts. */
  minReplicas: z.int().min(0).max(10_000),
  /** Larger numbers get hosts first. */
  rank: z.int().min(0).max(9),
  /** Whether its engines refuse commands with an old fencing token. */
  enginesCheckFencing: z.boolean(),
});

/** Schema of a plain service and its contract. */
export const PlainServiceSchema = z.strictObject({
  name: Name,
  team: Name,
  /** Whether a request may be sent more than once. */
  repeatable: z.boolean(),
  /** Status codes that guarantee that the request did not run. */
  notRunStatuses: z.array(z.int().min(400).max(599)).max(8),
  timeoutMs: z.int().min(50).max(600_000),
});

/** Schema of a customer; keys are stored as SHA-256 digests only. */
export const CustomerSchema = z.strictObject({
  name: Name,
  team: Name,
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(16),
  maxConcurrent: z.int().min(1).max(100_000),
  defaultClass: Name,
});

/** Schema of the state that operators set for an availability zone. */
export const ZoneStateSchema = z.enum(["in", "out"]);

/**
 * Schema of an applied change. The document lists recent ones, so that a writer
 * whose response was lost can find out whether its change was applied.
 */
export const AppliedChangeSchema = z.strictObject({
  changeId: z.string().min(1).max(64),
  author: z.string().min(1).max(64),
  revision: z.int().min(1),
  action: z.string().max(256),
});

/** Schema of the complete document. */
export const ConfigurationSchema = z.strictObject({
  revision: z.int().min(0),
  classes: z.array(ServiceClassSchema),
  models: z.array(ModelSchema),
  services: z.array(PlainServiceSchema),
  customers: z.array(CustomerSchema),
  /** Zones whose state was ever set; all others are `in`. */
  zones: z.record(z.string(), ZoneStateSchema),
  /**
   * Gateways that have joined. They confirm revisions for each other, and each
   * owns the concurrency budgets of some cold upstreams.
   */
  gateways: z.array(z.strictObject({
    id: Name,
    /** Identity of the process: a restarted gateway is a different member. */
    incarnation: z.string().min(1).max(64),
    peerAddress: z.string(),
    callerAddress: z.string(),
    availabilityZone: z.string(),
  })),
  /** Latest changes, newest last. */
  changes: z.array(AppliedChangeSchema),
});

/** A service class with its targets. */
export type ServiceClass = z.infer<typeof ServiceClassSchema>;
/** A model and the layout of its replica groups. */
export type Model = z.infer<typeof ModelSchema>;
/** A plain service and its contract. */
export type PlainService = z.infer<typeof PlainServiceSchema>;
/** A customer. */
export type Customer = z.infer<typeof CustomerSchema>;
/** State that operators set for an availability zone. */
export type ZoneState = z.infer<typeof ZoneStateSchema>;
/** A change that has been applied. */
export type AppliedChange = z.infer<typeof AppliedChangeSchema>;
/** The complete document. */
export type Configuration = z.infer<typeof ConfigurationSchema>;
/** A gateway as the configuration lists it. */
export type GatewayMember = Configuration["gateways"][number];

/** Maximum number of applied changes that the document lists. */
export const MAX_KEPT_CHANGES = 64;

/** The document before any change. */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  classes: [],
  models: [],
  services: [],
  customers: [],
  zones: {},
  gateways: [],
  changes: [],
};

/**
 * Returns whether an availability zone is in service: accepts new work.
 *
 * @example
 * ```ts
 * if (!isZoneInService(cfg, "lima-b")) continue;
 * ```
 */
export function isZoneInService(cfg: Configuration, zone: string): boolean {
  return cfg.zones[zone] !== "out";
}
