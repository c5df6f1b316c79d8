/**
 * Parses hosts' entries in the store, and their reports.
 *
 * @module
 */
import * as z from "zod";
import type {
  HostReport,
  Membership,
  ServingHost,
} from "../world/serving_host.ts";

const GroupSchema = z.object({
  name: z.string(),
  epoch: z.int(),
  rank: z.int(),
  state: z.enum(["joining", "ready", "open", "closing", "broken"]),
});

/** Fields that store entries and reports have in common. */
const SHARED_FIELDS = {
  born: z.int().optional(),
  models: z.array(z.object({ name: z.string() })).default([]),
  staged: z.array(z.string()).default([]),
  group: GroupSchema.nullish(),
};

const EntrySchema = z.object({
  service: z.string(),
  address: z.string().regex(/^[\d.]+:\d+$/),
  zone: z.string(),
  slots: z.int().min(1),
  state: z.enum(["ready", "draining"]),
  cold_left_ms: z.number(),
  domain: z.union([z.string(), z.number()]).nullish(),
  ...SHARED_FIELDS,
});

const ReportSchema = z.object({
  seq: z.int(),
  busy: z.boolean().default(false),
  queued: z.number().default(0),
  active: z.number().default(0),
  ...SHARED_FIELDS,
});

/**
 * Parses a host's entry in the store; returns undefined when it describes no
 * usable host.
 *
 * @example
 * ```ts
 * const host = parseHostEntry("i-7f3a91c2", JSON.parse(text));
 * ```
 */
export function parseHostEntry(
  id: string,
  value: unknown,
): ServingHost | undefined {
  const res = EntrySchema.safeParse(value);
  if (!res.success) return undefined;
  const entry = res.data;
  return {
    id,
    service: entry.service,
    address: entry.address,
    zone: entry.zone,
    slots: entry.slots,
    draining: entry.state === "draining",
    coldLeftMs: entry.cold_left_ms,
    domain: String(entry.domain ?? ""),
    ...toSharedFields(entry),
  };
}

/**
 * Parses a host's report; returns undefined when it doesn't match the schema.
 *
 * @example
 * ```ts
 * const report = parseHostReport(body);
 * ```
 */
export function parseHostReport(value: unknown): HostReport | undefined {
  const res = ReportSchema.safeParse(value);
  if (!res.success) return undefined;
  const { seq, busy, queued, active } = res.data;
  return { seq, busy, queued, active, ...toSharedFields(res.data) };
}

function toSharedFields(entry: z.infer<z.ZodObject<typeof SHARED_FIELDS>>) {
  return {
    born: entry.born ?? 0,
    staged: entry.staged,
    models: entry.models.map((model) => model.name),
    membership: toMembership(entry.group),
  };
}

function toMembership(
  group: z.infer<typeof GroupSchema> | null | undefined,
): Membership | undefined {
  if (group === null || group === undefined) return undefined;
  const { name, epoch, rank, state } = group;
  return { group: name, epoch, rank, state };
}
