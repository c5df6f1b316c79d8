/**
 * Path of the settings file that the platform provides.
 *
 * @module
 */
import process from "node:process";

/**
 * Returns the path of the settings file; undefined outside the platform.
 *
 * @example
 * ```ts
 * const file = args.settings ?? platformSettingsPath();
 * ```
 */
export function platformSettingsPath(): string | undefined {
  return process.env.OLEANDERARCH_SETTINGS;
}
