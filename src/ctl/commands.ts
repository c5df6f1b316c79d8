/**
 * The commands of `oleanderctl`.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import process from "node:process";
import { match } from "ts-pattern";
import { z } from "zod";
import { sha256 } from "../base/hash.ts";
import type { AdminResponse } from "./admin_client.ts";
import { AdminClient } from "./admin_client.ts";

/**
 * Exit codes: success, refused by the API, invalid input, no response from the
 * API.
 */
export const EXIT_CODES = {
  done: 0,
  refused: 1,
  invalidInput: 2,
  noResponse: 3,
} as const;

/** Options shared by all commands. */
export interface CtlOptions {
  readonly address: string;
  readonly token: string;
  readonly team: string;
  readonly baseRevision?: number;
  readonly changeId?: string;
  readonly json?: boolean;
}

/** One invocation of the command line. */
export interface CtlCommand {
  readonly name: string;
  readonly args: readonly string[];
  readonly options: CtlOptions;
}

type Action = Record<string, unknown>;

const DeclarationsSchema = z.strictObject({
  classes: z.array(z.looseObject({ name: z.string() })).default([]),
  models: z.array(z.looseObject({ name: z.string() })).default([]),
  services: z.array(z.looseObject({ name: z.string() })).default([]),
  customers: z.array(z.looseObject({ name: z.string() })).default([]),
});

/**
 * Runs a command and returns the exit code.
 *
 * @example
 * ```ts
 * process.exitCode = await runCtlCommand({ name: "config", args: [], options });
 * ```
 */
export async function runCtlCommand(command: CtlCommand): Promise<number> {
  const { options, args } = command;
  const client = new AdminClient(options);
  try {
    return await match(command.name)
      .with("config", () => showResource(client, "configuration", options))
      .with("fleet", () => showResource(client, "fleet", options))
      .with("decisions", () => showResource(client, "decisions", options))
      .with("groups", () => showGroups(client, options))
      .with(
        "zone-out",
        () => submitChange(client, setZoneAction(args[0], "out"), options),
      )
      .with(
        "zone-in",
        () => submitChange(client, setZoneAction(args[0], "in"), options),
      )
      .with(
        "remove",
        () => submitChange(client, removeAction(args, options), options),
      )
      .with("apply", () => applyDeclarations(client, args[0], options))
      .with("order", () => showResource(client, orderPath(args), options))
      .with("order-settle", () => settleOrder(client, args, options))
      .with("hash-key", () => hashKey())
      .otherwise((name) => usageError(`Unknown command "${name}"`));
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    process.stderr.write(
      `oleanderctl: request to ${options.address} failed: ${detail}\n`,
    );
    return EXIT_CODES.noResponse;
  }
}

function setZoneAction(zone: string, state: "in" | "out"): Action {
  return { kind: "set_zone", zone, state };
}

function removeAction(args: readonly string[], options: CtlOptions): Action {
  const [what, name] = args;
  return { kind: "remove", what, name, team: options.team };
}

async function showResource(
  client: AdminClient,
  resource: string,
  options: CtlOptions,
): Promise<number> {
  const response = await client.get(resource);
  if (response.status >= 400) return printError(response, options);
  const indent = options.json ? 0 : 2;
  process.stdout.write(`${JSON.stringify(response.body, null, indent)}\n`);
  return EXIT_CODES.done;
}

function orderPath(args: readonly string[]): string {
  const segments = args.slice(0, 3).map(encodeURIComponent);
  return `orders/${segments.join("/")}`;
}

async function settleOrder(
  client: AdminClient,
  args: readonly string[],
  options: CtlOptions,
): Promise<number> {
  const response = await client.settleOrder(orderPath(args), args[3]);
  if (response.status >= 400) return printError(response, options);
  process.stdout.write(`${JSON.stringify(response.body)}\n`);
  return EXIT_CODES.done;
}

async function showGroups(
  client: AdminClient,
  options: CtlOptions,
): Promise<number> {
  const response = await client.get("fleet");
  if (response.status >= 400) return printError(response, options);
  const domains = response.body.domains as Array<{
    availabilityZone: string;
    groups: Array<
      { id: string; epoch: number; state: string; members: unknown[] }
    >;
  }>;
  const groups = domains.flatMap((domain) =>
    domain.groups.map((g) => ({ zone: domain.availabilityZone, ...g }))
  );
  if (options.json) {
    process.stdout.write(`${JSON.stringify(groups)}\n`);
    return EXIT_CODES.done;
  }
  for (const { zone, id, epoch, state, members } of groups) {
    const line = `${zone}\t${id}@${epoch}\t${state}\t${members.length} hosts`;
    process.stdout.write(`${line}\n`);
  }
  return EXIT_CODES.done;
}

async function submitChange(
  client: AdminClient,
  action: Action,
  options: CtlOptions,
): Promise<number> {
  const baseRevision = options.baseRevision;
  const response = await client.submit({
    changeId: options.changeId ?? randomUUID(),
    ...(baseRevision === undefined
      ? {}
      : { baseRevision: Number(baseRevision) }),
    action,
  });
  if (response.status >= 400) return printError(response, options);
  const { revision, action: actionSummary, changeId } = response.body;
  process.stdout.write(
    options.json
      ? `${JSON.stringify(response.body)}\n`
      : `In force everywhere: ${actionSummary}, revision ${revision}, change ${changeId}\n`,
  );
  return EXIT_CODES.done;
}

/**
 * Applies the declarations in a file, each object after the objects that it refers
 * to. Stops at the first one that the API refuses.
 */
async function applyDeclarations(
  client: AdminClient,
  file: string,
  options: CtlOptions,
): Promise<number> {
  const parsed = readDeclarations(file);
  if (typeof parsed === "string") return usageError(`${file}: ${parsed}`);
  const actions: Action[] = [
    ...parsed.classes.map((value) => ({ kind: "set_class", value })),
    ...parsed.models.map((value) => ({ kind: "set_model", value })),
    ...parsed.services.map((value) => ({ kind: "set_service", value })),
    ...parsed.customers.map((value) => ({ kind: "set_customer", value })),
  ];
  for (const action of actions) {
    const code = await submitChange(client, action, options);
    if (code !== EXIT_CODES.done) return code;
  }
  return EXIT_CODES.done;
}

function readDeclarations(
  file: string,
): z.infer<typeof DeclarationsSchema> | string {
  let json: unknown;
  try {
    json = JSON.parse(readFileSync(file, "utf8"));
  } catch (err) {
    return (err as Error).message;
  }
  const res = DeclarationsSchema.safeParse(json);
  if (res.success) return res.data;
  const [issue] = res.error.issues;
  return `${issue.path.join(".")}: ${issue.message}`;
}

function hashKey(): number {
  const key = readFileSync(0, "utf8").trim();
  if (key === "") return usageError("No key on standard input");
  process.stdout.write(`${sha256(key)}\n`);
  return EXIT_CODES.done;
}

function printError(response: AdminResponse, options: CtlOptions): number {
  const { outcome, detail } = response.body;
  process.stderr.write(
    options.json
      ? `${JSON.stringify(response.body)}\n`
      : `${outcome}: ${detail}\n`,
  );
  return EXIT_CODES.refused;
}

function usageError(message: string): number {
  process.stderr.write(`oleanderctl: ${message}\n`);
  return EXIT_CODES.invalidInput;
}
