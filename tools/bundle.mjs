/**
 * Bundles the node into one file and compiles it, so that a starting process
 * neither reads several hundred modules nor compiles them.
 *
 * Usage: `node tools/bundle.mjs OUTFILE`. Writes OUTFILE, which is run, and beside
 * it NAME.code.js and NAME.code.cache. The code is compiled for the flags in
 * deploy/system.toml; with others, a process compiles it itself.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { build } from "esbuild";

const [outfile] = process.argv.slice(2);
if (outfile === undefined) {
  process.stderr.write("usage: node tools/bundle.mjs OUTFILE\n");
  process.exit(2);
}
const codeFile = outfile.replace(/\.js$/, ".code.js");
const cacheFile = outfile.replace(/\.js$/, ".code.cache");

/**
 * Modules that stand for a package in the bundle, with what the node uses of it
 * alone: no `fetch`, interceptors and test doubles of undici, and no push gateway
 * and cluster of prom-client. undici does without HTTP/2 if it is not there.
 */
const USED_PARTS = {
  undici: `
    const Dispatcher = require("undici/lib/dispatcher/dispatcher");
    Object.assign(Dispatcher.prototype, require("undici/lib/api"));
    exports.Agent = require("undici/lib/dispatcher/agent");
    exports.buildConnector = require("undici/lib/core/connect");
  `,
  "prom-client": `
    exports.Registry = require("prom-client/lib/registry");
    exports.Counter = require("prom-client/lib/counter");
    exports.Gauge = require("prom-client/lib/gauge");
    exports.Histogram = require("prom-client/lib/histogram");
  `,
  "node:http2": 'throw new Error("HTTP/2 is not used");',
};

const usedParts = {
  name: "used-parts",
  setup({ onLoad, onResolve }) {
    const names = Object.keys(USED_PARTS).join("|");
    onResolve({ filter: new RegExp(`^(${names})$`) }, ({ path }) => ({
      path,
      namespace: "used-parts",
    }));
    onLoad({ filter: /./, namespace: "used-parts" }, ({ path }) => ({
      contents: USED_PARTS[path],
      resolveDir: process.cwd(),
    }));
  },
};

// V8 tells code of another source by its length alone, so none may be left over.
rmSync(cacheFile, { force: true });
await build({
  entryPoints: ["src/bin/oleander_node.ts"],
  outfile: codeFile,
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: "none",
  logLevel: "warning",
  plugins: [usedParts],
  // The program's file calls the function that the code evaluates to.
  banner: { js: "(function(exports,require,module,__filename,__dirname){" },
  footer: { js: "})" },
});
copyFileSync("tools/cached_start.cjs", outfile);
// The package's own type would make the program an ES module.
writeFileSync(join(dirname(outfile), "package.json"), '{"type":"commonjs"}\n');

const [, flags] = /^run = "node ((?:--\S+ )*)/m.exec(
  readFileSync("deploy/system.toml", "utf8"),
) ?? [];
execFileSync(process.execPath, [
  ...(flags ?? "").split(" ").filter((flag) => flag !== ""),
  "tools/write_code_cache.cjs",
  codeFile,
  cacheFile,
], { stdio: "inherit" });
