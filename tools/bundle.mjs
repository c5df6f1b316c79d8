/**
 * Bundles the node into one file, so that a starting process reads one module
 * instead of several hundred.
 *
 * Usage: `node tools/bundle.mjs OUTFILE`
 *
 * @module
 */
import process from "node:process";
import { build } from "esbuild";

const [outfile] = process.argv.slice(2);
if (outfile === undefined) {
  process.stderr.write("usage: node tools/bundle.mjs OUTFILE\n");
  process.exit(2);
}

await build({
  entryPoints: ["src/bin/oleander_node.ts"],
  outfile,
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: "none",
  logLevel: "warning",
  // Bundled CommonJS packages load built-in modules with `require`.
  banner: {
    js: 'import { createRequire } from "node:module";' +
      "const require = createRequire(import.meta.url);",
  },
});
