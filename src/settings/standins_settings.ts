/**
 * Settings of the stand-ins for the platform and its hosts.
 *
 * @module
 */
import * as z from "zod";
import { LogSettingsSchema } from "./gateway_settings.ts";
import { Duration, IpPort, Name } from "./settings_file.ts";

const Count = z.string().regex(/^\d+$/, "a whole number").transform(Number);
const Names = z.string().transform((text) => text.split(/[\s,]+/))
  .pipe(z.array(Name).min(1));

/** Schema of `standins.ini`. */
export const StandinsSettingsSchema = z.strictObject({
  /** Addresses on which the store and the host list listen. */
  platform: z.strictObject({ store: IpPort, host_list: IpPort }),
  fleet: z.strictObject({
    zones: Names,
    domains_per_zone: Count,
    hosts_per_domain: Count,
    /** Number of domains, counted from the first, with one additional host. */
    extra_hosts: Count.default(0),
    accelerators_per_host: Count.default(8),
    service: Name,
    /** IPv4 address of all hosts; their ports are numbered from `first_port`. */
    address: z.ipv4("an IPv4 address"),
    first_port: Count,
  }),
  engine: z.strictObject({
    load_time: Duration.default(3_000),
    token_time: Duration.default(25),
    capacity: Count.default(16),
  }).default({ load_time: 3_000, token_time: 25, capacity: 16 }),
  log: LogSettingsSchema.default({ format: "json", level: "info" }),
});

/** Validated settings of `standins.ini`. */
export type StandinsSettings = z.infer<typeof StandinsSettingsSchema>;
