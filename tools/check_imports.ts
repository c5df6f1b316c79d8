/**
 * Checks that each folder imports only what its `imports.list` allows, and that
 * no modules import each other in a circle.
 *
 * @module
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize, relative } from "node:path";
import process from "node:process";

const ROOT = "src";
const IMPORT = /^(?:import|export)\s[^;]*?from\s+"([^"]+)"/gms;

function listFiles(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listFiles(path);
    return entry.name.endsWith(".ts") ? [path] : [];
  });
}

function importsOf(file: string): string[] {
  const text = readFileSync(file, "utf8");
  return [...text.matchAll(IMPORT)].map(([, target]) => target);
}

/** The allowed folders, relative to the source root, and packages. */
function allowedIn(folder: string): Set<string> | undefined {
  const list = join(folder, "imports.list");
  if (existsSync(list)) {
    const lines = readFileSync(list, "utf8").split("\n");
    return new Set(lines.map((line) => line.trim()).filter((l) => l !== ""));
  }
  return folder === ROOT || folder === "."
    ? undefined
    : allowedIn(dirname(folder));
}

function packageOf(target: string): string {
  if (target.startsWith("node:")) return "node:*";
  const parts = target.split("/");
  return target.startsWith("@") ? parts.slice(0, 2).join("/") : parts[0];
}

/** The name under which a list mentions an import: a folder or a package. */
function allowedNames(file: string, target: string): string[] {
  if (!target.startsWith(".")) return [packageOf(target)];
  const folder = dirname(
    relative(ROOT, normalize(join(dirname(file), target))),
  );
  const parts = folder.split("/");
  return parts.map((_, i) => parts.slice(0, i + 1).join("/"));
}

function checkFile(file: string): string[] {
  const folder = dirname(file);
  const allowed = allowedIn(folder);
  if (allowed === undefined) return [`${folder} has no imports.list`];
  const own = relative(ROOT, folder);
  return importsOf(file).flatMap((target) => {
    const names = allowedNames(file, target);
    const fine = names.includes(own) || names.some((n) => allowed.has(n));
    return fine ? [] : [`${file} may not import ${target}`];
  });
}

function findCircles(files: readonly string[]): string[] {
  const state = new Map<string, "open" | "done">();
  const circles: string[] = [];
  const visit = (file: string, path: readonly string[]) => {
    if (state.get(file) === "done") return;
    if (state.get(file) === "open") {
      circles.push(`Circle: ${[...path, file].join(" -> ")}`);
      return;
    }
    state.set(file, "open");
    for (const target of importsOf(file)) {
      if (!target.startsWith(".")) continue;
      visit(normalize(join(dirname(file), target)), [...path, file]);
    }
    state.set(file, "done");
  };
  for (const file of files) visit(file, []);
  return circles;
}

const files = listFiles(ROOT);
const problems = [...files.flatMap(checkFile), ...findCircles(files)];
for (const problem of problems) process.stderr.write(`${problem}\n`);
process.stdout.write(
  `${files.length} files, ${problems.length} import problems\n`,
);
process.exitCode = problems.length === 0 ? 0 : 1;
