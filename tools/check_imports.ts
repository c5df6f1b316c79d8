/**
 * Checks that each folder imports only what its `imports.list` allows, and that
 * no modules import each other in a cycle.
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

function readImports(file: string): string[] {
  const text = readFileSync(file, "utf8");
  return [...text.matchAll(IMPORT)].map(([, specifier]) => specifier);
}

/**
 * Reads the nearest list of allowed imports: packages, and folders relative to
 * the source root. Returns undefined if there is no list.
 */
function findAllowedImports(folder: string): Set<string> | undefined {
  const listPath = join(folder, "imports.list");
  if (existsSync(listPath)) {
    const lines = readFileSync(listPath, "utf8").split("\n");
    return new Set(lines.map((line) => line.trim()).filter((l) => l !== ""));
  }
  return folder === ROOT || folder === "."
    ? undefined
    : findAllowedImports(dirname(folder));
}

function packageName(specifier: string): string {
  if (specifier.startsWith("node:")) return "node:*";
  const parts = specifier.split("/");
  return specifier.startsWith("@") ? parts.slice(0, 2).join("/") : parts[0];
}

/**
 * Returns the names that allow an import: its package, or its folder and every
 * folder above that.
 */
function importNames(file: string, specifier: string): string[] {
  if (!specifier.startsWith(".")) return [packageName(specifier)];
  const folder = dirname(
    relative(ROOT, normalize(join(dirname(file), specifier))),
  );
  const parts = folder.split("/");
  return parts.map((_, i) => parts.slice(0, i + 1).join("/"));
}

function checkFile(file: string): string[] {
  const folder = dirname(file);
  const allowed = findAllowedImports(folder);
  if (allowed === undefined) return [`${folder} has no imports.list`];
  const ownFolder = relative(ROOT, folder);
  return readImports(file).flatMap((specifier) => {
    const names = importNames(file, specifier);
    const isAllowed = names.includes(ownFolder) ||
      names.some((n) => allowed.has(n));
    return isAllowed ? [] : [`${file} may not import ${specifier}`];
  });
}

function findCycles(files: readonly string[]): string[] {
  const state = new Map<string, "open" | "done">();
  const cycles: string[] = [];
  const visit = (file: string, path: readonly string[]) => {
    if (state.get(file) === "done") return;
    if (state.get(file) === "open") {
      cycles.push(`Cycle: ${[...path, file].join(" -> ")}`);
      return;
    }
    state.set(file, "open");
    for (const specifier of readImports(file)) {
      if (!specifier.startsWith(".")) continue;
      visit(normalize(join(dirname(file), specifier)), [...path, file]);
    }
    state.set(file, "done");
  };
  for (const file of files) visit(file, []);
  return cycles;
}

const files = listFiles(ROOT);
const problems = [...files.flatMap(checkFile), ...findCycles(files)];
for (const problem of problems) process.stderr.write(`${problem}\n`);
process.stdout.write(
  `${files.length} files, ${problems.length} import problems\n`,
);
process.exitCode = problems.length === 0 ? 0 : 1;
