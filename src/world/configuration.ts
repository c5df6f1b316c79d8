/**
 * The operators' configuration: one versioned document in the key-value service.
 *
 * @module
 */
import { z } from "zod";

const Name = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/,
  "a name of lower-case letters, digits, dots, dashes",
);

/** A class of work with its targets. */
export const ServiceClassSchema = z.strictObject({
  name: Name,
  team: Name,
  /** Larger numbers are served first. */
  priority: z.int().min(0).max(9),
  /** Time to the first token, or to the whole answer of a plain service. */
  firstTokenMs: z.int().min(50).max(600_000),
  /** Time between tokens. */
  betweenTokensMs: z.int().min(1).max(60_000),
  /** Share of requests that must meet the targets, in percent. */
  reliabilityPercent: z.number().min(1).max(100),
});

/** A model and how one copy of it is laid out. */
export const ModelSchema = z.strictObject({
  name: Name,
  team: Name,
  version: z.string().min(1).max(64),
  hostsPerReplica: z.int().min(1).max(64),
  /** Copies that must exist before lower-ranked models get hosts. */
  minReplicas: z.int().min(0).max(10_000),
  /** Larger numbers get hosts first. */
  rank: z.int().min(0).max(9),
  /** Whether the engines that run it refuse a command with an old fencing number. */
  enginesCheckFencing: z.boolean(),
});

/** A plain service and its contract. */
export const PlainServiceSchema = z.strictObject({
  name: Name,
  team: Name,
  /** Whether a call may be sent more than once. */
  repeatable: z.boolean(),
  /** Status codes by which the service promises that nothing ran. */
  notRunStatuses: z.array(z.int().min(400).max(599)).max(8),
  timeoutMs: z.int().min(50).max(600_000),
});

/** A customer; keys are kept as SHA-256 digests only. */
export const CustomerSchema = z.strictObject({
  name: Name,
  team: Name,
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(16),
  maxConcurrent: z.int().min(1).max(100_000),
  defaultClass: Name,
});

/** What operators asked of an availability zone. */
export const ZoneStateSchema = z.enum(["in", "out"]);

/** A change that has been applied, kept to settle answers lost on the way. */
export const AppliedChangeSchema = z.strictObject({
  changeId: z.string().min(1).max(64),
  author: z.string().min(1).max(64),
  revision: z.int().min(1),
  action: z.string().max(256),
});

/** The whole document. */
export const ConfigurationSchema = z.strictObject({
  revision: z.int().min(0),
  classes: z.array(ServiceClassSchema),
  models: z.array(ModelSchema),
  services: z.array(PlainServiceSchema),
  customers: z.array(CustomerSchema),
  /** Zones that were ever taken out or brought back; all others are in. */
  zones: z.record(z.string(), ZoneStateSchema),
  /** Gateways that confirm revisions for each other and own cold upstreams. */
  gateways: z.array(z.strictObject({
    id: Name,
    /** Identity of the process: a restarted gateway is another member. */
    incarnation: z.string().min(1).max(64),
    peerAddress: z.string(),
    callerAddress: z.string(),
    availabilityZone: z.string(),
  })),
  /** Latest changes, newest last. */
  changes: z.array(AppliedChangeSchema),
});

/** A class of work with its targets. */
export type ServiceClass = z.infer<typeof ServiceClassSchema>;
/** A model and how one copy of it is laid out. */
export type Model = z.infer<typeof ModelSchema>;
/** A plain service and its contract. */
export type PlainService = z.infer<typeof PlainServiceSchema>;
/** A customer. */
export type Customer = z.infer<typeof CustomerSchema>;
/** What operators asked of an availability zone. */
export type ZoneState = z.infer<typeof ZoneStateSchema>;
/** A change that has been applied. */
export type AppliedChange = z.infer<typeof AppliedChangeSchema>;
/** The whole document. */
export type Configuration = z.infer<typeof ConfigurationSchema>;
/** A gateway as the configuration lists it. */
export type GatewayMember = Configuration["gateways"][number];

/** Number of applied changes kept in the document. */
export const KEPT_CHANGES = 64;

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
 * Tells whether an availability zone takes new work.
 *
 * @example
 * ```ts
 * if (!zoneTakesWork(cfg, "lima-b")) continue;
 * ```
 */
export function zoneTakesWork(cfg: Configuration, zone: string): boolean {
  return cfg.zones[zone] !== "out";
}
