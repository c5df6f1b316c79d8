/**
 * Checks that the platform's names stay inside the folder that translates.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const ROOT = "src";
/** Folders that speak with the platform, or stand in for it. */
const EXEMPT_FOLDERS = ["src/platform/", "src/standins/"];
const PLATFORM_NAMES =
  /oleanderarch-|kv-(key|range|watch|txn|keep|lease)|\bop\/(config|evacuate)|OLEANDERARCH_SETTINGS/i;

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
      `${file}:${i + 1} names the platform: ${line.trim()}\n`,
    );
  }
}
process.stdout.write(`${files.length} files, ${problems} platform names\n`);
process.exitCode = problems === 0 ? 0 : 1;
