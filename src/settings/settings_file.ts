/**
 * Loads settings from INI files and validates them against a schema. Binaries do
 * this before they open a port or connection.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { isIP } from "node:net";
import { parse } from "ini";
import * as z from "zod";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";

/** Exit code of a binary for invalid settings, arguments or input files. */
export const EXIT_INVALID_INPUT = 2;

/**
 * A problem found in a settings file. Section and key are empty where they don't
 * apply.
 */
export interface SettingsProblem {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly expected: string;
}

/**
 * Loads and validates a settings file.
 *
 * @example
 * ```ts
 * const settings = loadSettings("gateway.ini", GatewaySettingsSchema);
 * if (!settings.ok) console.error(settings.err.map(formatProblem).join("\n"));
 * ```
 */
export function loadSettings<T extends z.ZodType>(
  file: string,
  schema: T,
): Outcome<z.infer<T>, SettingsProblem[]> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (err) {
    const expected = `a readable file (${(err as Error).message})`;
    return failure([{ file, section: "", key: "", expected }]);
  }
  return parseSettings(file, text, schema);
}

/** Parses and validates the text of a settings file. */
export function parseSettings<T extends z.ZodType>(
  file: string,
  text: string,
  schema: T,
): Outcome<z.infer<T>, SettingsProblem[]> {
  const res = schema.safeParse(toPlainObject(parse(text)));
  if (res.success) return success(res.data);
  const problems = res.error.issues.map((issue) => toProblem(file, issue));
  return failure(problems);
}

/**
 * Formats a problem as a line of text.
 *
 * @example
 * ```ts
 * formatProblem(problem); // "gateway.ini: [gateway] id: expected a name"
 * ```
 */
export function formatProblem(problem: SettingsProblem): string {
  const section = problem.section === "" ? "" : ` [${problem.section}]`;
  const key = problem.key === "" ? "" : ` ${problem.key}`;
  return `${problem.file}:${section}${key}: expected ${problem.expected}`;
}

/** An IP address and port, such as `127.0.0.1:7001` or `[::1]:7001`. */
export const IpPort = z.string().refine(
  isIpPort,
  "an IP address and port, such as 127.0.0.1:7001; host names are not accepted",
);

/** An HTTP URL with an IP address, such as `http://127.0.0.1:2379`. */
export const IpEndpoint = z.string().refine(
  (text) => /^https?:\/\//.test(text) && isIpPort(text.replace(/^.*\/\//, "")),
  "a URL with an IP address and port, such as http://127.0.0.1:2379",
);

/** A name of lower-case letters, digits, dots and dashes. */
export const Name = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/,
  "a name of lower-case letters, digits, dots and dashes",
);

/** A size with a unit: `B`, `KiB` or `MiB`. Parsed to bytes. */
export const Bytes = z.string().regex(
  /^\d+\s*(B|KiB|MiB)$/,
  "a size with a unit, such as 512KiB or 4MiB",
).transform((text) => applyUnit(text, { B: 1, KiB: 1024, MiB: 1_048_576 }));

/** A duration with a unit: `ms`, `s` or `min`. Parsed to milliseconds. */
export const Duration = z.string().regex(
  /^\d+\s*(ms|s|min)$/,
  "a duration with a unit, such as 250ms or 5s",
).transform((text) => applyUnit(text, { ms: 1, s: 1_000, min: 60_000 }));

function applyUnit(
  text: string,
  units: Readonly<Record<string, number>>,
): number {
  const [, digits, unit] = /^(\d+)\s*(\w+)$/.exec(text) ?? [];
  return Number(digits) * units[unit];
}

function isIpPort(text: string): boolean {
  const [, bracketed, plain, port] =
    /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text) ?? [];
  const address = bracketed ?? plain ?? "";
  return isIP(address) !== 0 && Number(port) > 0 && Number(port) < 65_536;
}

/**
 * Converts parsed sections, which have no prototype, to the ordinary objects that
 * the schema expects.
 */
function toPlainObject(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

function toProblem(file: string, issue: z.core.$ZodIssue): SettingsProblem {
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    const expected = path.length === 0
      ? "no section of this name"
      : "no key of this name";
    const names = issue.keys.join(", ");
    return path.length === 0
      ? { file, section: names, key: "", expected }
      : { file, section: path.join("."), key: names, expected };
  }
  const section = path[0] ?? "";
  const key = path.slice(1).join(".");
  const expected = issue.code === "invalid_type" && key === ""
    ? "this section"
    : issue.message;
  return { file, section, key, expected };
}
