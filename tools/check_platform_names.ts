/**
 * Checks that names of the platform's protocol appear only in the folders that
 * translate or simulate it.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const ROOT = "src";
/** Folders that use the platform's protocol or simulate the platform. */
const EXEMPT_FOLDERS = ["src/platform/", "src/standins/"];
const PLATFORM_NAMES =
  /oleanderarch-|kv-(key|range|watch|txn|keep|lease)|\bop\/(config|evacuate)|OLEANDERARCH_SETTINGS|store-era/i;

function listFiles(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listFiles(path);
    return entry.name.endsWith(".ts") ? [path] : [];
  });
}

const files = listFiles(ROOT).filter((file) =>
  !EXEMPT_FOLDERS.some((folder) => file.startsWith(folder))
);
let problems = 0;
for (const file of files) {
  for (const [i, line] of readFileSync(file, "utf8").split("\n").entries()) {
    if (!PLATFORM_NAMES.test(line)) continue;
    problems += 1;
    process.stderr.write(
      `${file}:${i + 1} uses a platform name: ${line.trim()}\n`,
    );
  }
}
process.stdout.write(`${files.length} files, ${problems} platform names\n`);
process.exitCode = problems === 0 ? 0 : 1;
