/**
 * Settings of the node.
 *
 * @module
 */
import * as z from "zod";
import { LogSettingsSchema } from "./gateway_settings.ts";
import { Duration, IpPort, Name } from "./settings_file.ts";

const Port = z.string().regex(/^\d{1,5}$/, "a port").transform(Number);
const DecimalNumber = z.string().regex(/^\d+(\.\d+)?$/, "a number").transform(
  Number,
);
const PositiveNumber = DecimalNumber.refine(
  (value) => value > 0,
  "a number above 0",
);
const AddressList = z.string().default("").transform((text) =>
  text.split(/[\s,]+/).filter((part) => part !== "")
).pipe(z.array(IpPort));

/** Schema of `node.ini`. Ignores keys that this version does not know. */
export const NodeSettingsSchema = z.object({
  node: z.object({
    id: Name,
    availability_zone: Name,
    region: Name,
    ip: z.ipv4("an IPv4 address"),
    caller_address: IpPort,
    ready_address: IpPort,
    directory_address: IpPort,
    internal_port: Port,
    metrics_port: Port,
    /** Bandwidth of this host's link, in megabits per second. */
    link: DecimalNumber.default(1_000),
    /**
     * Memory that the process may use, in megabytes; without it, the bodies of
     * requests have no bound on their sum.
     */
    memory: PositiveNumber.optional(),
    /**
     * Share of a core's time that the process may use, to choose addresses for
     * callers by capacity; without it, callers get the addresses of all nodes.
     */
    processor_share: PositiveNumber.optional(),
    /** Cores to which `processor_share` applies, or speed of the one core. */
    cores: PositiveNumber.default(1),
    /**
     * Addresses of other nodes, which may be stale. Only the IP address is used; the
     * port is `internal_port`.
     */
    seeds: AddressList,
  }),
  platform: z.object({
    store: IpPort,
    /** Interval between the heartbeats that renew a host's announcement. */
    heartbeat: Duration,
  }),
  /**
   * Limits that the deployment sets. `change_in_force_within`, `stall` and
   * `address_ttl_max` are validated but not used.
   */
  bounds: z.object({
    /** Time within which all nodes must refuse a revoked API key. */
    confirm_keys_within: Duration,
    change_in_force_within: Duration,
    /** Time within which nodes send a leaving host no more requests. */
    drain_within: Duration,
    /** Time from SIGTERM until the platform kills the process. */
    shutdown_within: Duration,
    stall: Duration,
    /** Ratio of retries to requests that the fleet may reach in one `retry_window`. */
    retry_ratio: DecimalNumber,
    retry_window: Duration,
    /** Retries that the whole fleet may make in one window beyond the ratio. */
    retry_slack: DecimalNumber,
    /** Sliding window to which the rate limit of weight loads applies. */
    load_window: Duration,
    address_ttl_max: Duration,
  }),
  log: LogSettingsSchema.default({ format: "json", level: "info" }),
});

/** Validated settings of `node.ini`. */
export type NodeSettings = z.infer<typeof NodeSettingsSchema>;
