/**
 * Disables each mechanism in turn and checks that its scenarios then fail.
 *
 * Usage: `npm run mutation -- [--tag @gossip]`.
 *
 * @module
 */
import { cpSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { spawnSync } from "node:child_process";
import { join } from "node:path";
import process from "node:process";
import { cac } from "cac";
import type { Mutation } from "./mutations.ts";
import { MUTATIONS } from "./mutations.ts";

const MUTANTS_FOLDER = ".mutants";
const RUN_TIMEOUT_MS = 180_000;

/**
 * Copies the build and disables one mechanism in it. Returns false if an edit
 * does not match exactly once.
 */
function makeMutant(mutation: Mutation, folder: string): boolean {
  rmSync(folder, { recursive: true, force: true });
  cpSync("dist", folder, { recursive: true });
  return mutation.edits.every((edit) => {
    const file = join(folder, "src/core", edit.file);
    const text = readFileSync(file, "utf8");
    if (text.split(edit.find).length !== 2) return false;
    writeFileSync(file, text.replace(edit.find, edit.replace));
    return true;
  });
}

/** Runs the mutation's scenarios on the copy; returns whether any failed. */
function isKilled(mutation: Mutation, folder: string): boolean {
  const runner = join(folder, "tools/run_tests.js");
  const tag = mutation.tag ?? `@promise-${mutation.promise}`;
  const args = [runner, tag, folder];
  const { status, stdout } = spawnSync(process.execPath, args, {
    encoding: "utf8",
    timeout: RUN_TIMEOUT_MS,
  });
  const [, failed] = /(\d+) failed\n*$/.exec(stdout) ?? [];
  return status !== 0 && Number(failed) > 0;
}

function main({ tag }: { readonly tag?: string }): void {
  const selected = MUTATIONS.filter((m) => tag === undefined || m.tag === tag);
  if (selected.length === 0) {
    process.stderr.write(`No mutation has the tag ${tag}\n`);
    process.exit(2);
  }
  let survivors = 0;
  selected.forEach((mutation, i) => {
    const folder = join(MUTANTS_FOLDER, String(i));
    const isApplied = makeMutant(mutation, folder);
    const killed = isApplied && isKilled(mutation, folder);
    if (!killed) survivors += 1;
    const verdict = !isApplied ? "NOT FOUND" : killed ? "killed" : "SURVIVED";
    const { promise, mechanism } = mutation;
    const line = `promise ${promise}: without "${mechanism}": ${verdict}`;
    process.stdout.write(`${line}\n`);
  });
  rmSync(MUTANTS_FOLDER, { recursive: true, force: true });
  process.stdout.write(
    `${selected.length - survivors} killed, ${survivors} survived\n`,
  );
  process.exitCode = survivors === 0 ? 0 : 1;
}

const cli = cac("mutation");
cli.command("", "Disable mechanisms, one at a time")
  .option("--tag <tag>", "Only the mutations with this tag")
  .action(main);
cli.help();
cli.parse();
