/**
 * Settings of the gateway.
 *
 * @module
 */
import * as z from "zod";
import { Bytes, IpEndpoint, IpPort, Name } from "./settings_file.ts";

/** Schema of the `[log]` section. */
export const LogSettingsSchema = z.strictObject({
  format: z.enum(["json", "pretty"]).default("json"),
  level: z.enum(["error", "warn", "info", "debug"]).default("info"),
});

/** Schema of the `[platform]` section. */
export const PlatformSettingsSchema = z.strictObject({
  store: IpEndpoint,
  host_list: IpEndpoint,
});

const AddressList = z.string().default("").transform((text) =>
  text.split(/[\s,]+/).filter((part) => part !== "")
).pipe(z.array(IpPort));

/** Schema of the `[peers]` section. */
export const PeerSettingsSchema = z.strictObject({
  key: z.string().min(16, "a shared secret of at least 16 characters"),
  /** Addresses of peers to contact until a configuration is known. */
  seeds: AddressList,
});

/** Schema of `gateway.ini`. */
export const GatewaySettingsSchema = z.strictObject({
  gateway: z.strictObject({
    id: Name,
    availability_zone: Name,
    caller_address: IpPort,
    peer_address: IpPort,
  }),
  platform: PlatformSettingsSchema,
  peers: PeerSettingsSchema,
  limits: z.strictObject({
    max_body: Bytes.default(4 * 1_048_576),
  }).default({ max_body: 4 * 1_048_576 }),
  log: LogSettingsSchema.default({ format: "json", level: "info" }),
});

/** Validated settings of `gateway.ini`. */
export type GatewaySettings = z.infer<typeof GatewaySettingsSchema>;
/** Validated settings of the `[log]` section. */
export type LogSettings = z.infer<typeof LogSettingsSchema>;
