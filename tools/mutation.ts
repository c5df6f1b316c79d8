/**
 * Switches each mechanism off in turn and shows that its scenarios then fail.
 *
 * @module
 */
import { cpSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { spawnSync } from "node:child_process";
import { join } from "node:path";
import process from "node:process";
import type { Mutation } from "./mutations.ts";
import { MUTATIONS } from "./mutations.ts";

const MUTANTS = ".mutants";
const RUN_LIMIT_MS = 180_000;

/** Makes a copy of the build without one mechanism. */
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

/** Runs the promise's scenarios against the copy; true when some of them fail. */
function isKilled(mutation: Mutation, folder: string): boolean {
  const runner = join(folder, "tools/run_tests.js");
  const tag = mutation.tag ?? `@promise-${mutation.promise}`;
  const args = [runner, tag, folder];
  const { status, stdout } = spawnSync(process.execPath, args, {
    encoding: "utf8",
    timeout: RUN_LIMIT_MS,
  });
  const [, failed] = /(\d+) failed\n*$/.exec(stdout) ?? [];
  return status !== 0 && Number(failed) > 0;
}

let survivors = 0;
MUTATIONS.forEach((mutation, i) => {
  const folder = join(MUTANTS, String(i));
  const made = makeMutant(mutation, folder);
  const killed = made && isKilled(mutation, folder);
  if (!killed) survivors += 1;
  const verdict = !made
    ? "NOT FOUND"
    : killed
    ? "fails as it should"
    : "SURVIVED";
  const line =
    `promise ${mutation.promise}: without "${mutation.mechanism}": ${verdict}`;
  process.stdout.write(`${line}\n`);
});
rmSync(MUTANTS, { recursive: true, force: true });
process.stdout.write(
  `${MUTATIONS.length - survivors} killed, ${survivors} survived\n`,
);
process.exitCode = survivors === 0 ? 0 : 1;
