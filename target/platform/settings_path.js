/**
 * Where the platform puts the settings file.
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
export function platformSettingsPath() {
    return process.env.OLEANDERARCH_SETTINGS;
}
