/**
 * Settings of the node.
 *
 * @module
 */
import { z } from "zod";
import { LogSettingsSchema } from "./gateway_settings.ts";
import { Duration, IpPort, Name } from "./settings_file.ts";

const Port = z.string().regex(/^\d{1,5}$/, "a port").transform(Number);
const Ratio = z.string().regex(/^\d+(\.\d+)?$/, "a number").transform(Number);
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
    /** Control addresses of other nodes; may be stale. */
    seeds: AddressList,
  }),
  platform: z.object({ store: IpPort, heartbeat: Duration }),
  bounds: z.object({
    confirm_keys_within: Duration,
    change_in_force_within: Duration,
    shutdown_within: Duration,
    stall: Duration,
    retry_ratio: Ratio,
    retry_window: Duration,
    retry_slack: Ratio,
    load_window: Duration,
    address_ttl_max: Duration,
  }),
  log: LogSettingsSchema.default({ format: "json", level: "info" }),
});

/** Validated settings of `node.ini`. */
export type NodeSettings = z.infer<typeof NodeSettingsSchema>;
