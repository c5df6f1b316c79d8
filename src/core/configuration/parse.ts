/**
 * Validation of documents read from the key-value store.
 *
 * @module
 */
import { z } from "zod";
import type { Configuration } from "../../world/configuration.ts";
import { ConfigurationSchema } from "../../world/configuration.ts";
import type { DomainRecord } from "../../world/replica_group.ts";

const DomainRecordSchema = z.object({
  fabricDomain: z.string(),
  availabilityZone: z.string(),
  revision: z.int().min(0),
  fence: z.int().min(0),
  groups: z.array(z.object({
    id: z.string(),
    epoch: z.int().min(1),
    model: z.string(),
    version: z.string(),
    members: z.array(z.object({
      hostId: z.string(),
      bootId: z.string(),
      address: z.string(),
    })).min(1),
    state: z.enum(["loading", "open", "draining", "releasing"]),
    changedBy: z.string(),
  })),
});

/**
 * Parses the configuration document. Returns undefined when it is malformed.
 */
export function parseConfiguration(text: string): Configuration | undefined {
  const res = ConfigurationSchema.safeParse(parseJson(text));
  return res.success ? res.data : undefined;
}

/** Parses a domain record. Returns undefined when it is malformed. */
export function parseDomainRecord(text: string): DomainRecord | undefined {
  const res = DomainRecordSchema.safeParse(parseJson(text));
  return res.success ? res.data : undefined;
}

/** Parses JSON. Returns undefined when it is malformed. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
