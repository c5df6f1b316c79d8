/**
 * Settings of the controller.
 *
 * @module
 */
import * as z from "zod";
import {
  LogSettingsSchema,
  PeerSettingsSchema,
  PlatformSettingsSchema,
} from "./gateway_settings.ts";
import { IpPort, Name } from "./settings_file.ts";

/** Schema of a `[token.NAME]` section. */
export const TokenSettingsSchema = z.strictObject({
  role: z.enum(["viewer", "team", "operator"]),
  /** The team whose objects a `team` token may change. */
  team: Name.optional(),
  hash: z.string().regex(/^[0-9a-f]{64}$/, "the SHA-256 digest of the token"),
});

/** Schema of `controller.ini`. */
export const ControllerSettingsSchema = z.strictObject({
  controller: z.strictObject({ id: Name, admin_address: IpPort }),
  platform: PlatformSettingsSchema,
  peers: PeerSettingsSchema,
  token: z.record(Name, TokenSettingsSchema),
  log: LogSettingsSchema.default({ format: "json", level: "info" }),
});

/** Validated settings of `controller.ini`. */
export type ControllerSettings = z.infer<typeof ControllerSettingsSchema>;
/** Validated settings of one token. */
export type TokenSettings = z.infer<typeof TokenSettingsSchema>;
