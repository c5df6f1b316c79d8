/**
 * Starts the bundled node with the code that V8 compiled when it was built.
 *
 * Its file is the program that runs; NAME.code.js beside it is the bundle, and
 * NAME.code.cache the compiled code. Without a cache that fits this Node.js and
 * its flags, the bundle is compiled as usual, which takes longer.
 *
 * @module
 */
"use strict";

const { existsSync, readFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { dirname } = require("node:path");
const { Script } = require("node:vm");

const base = __filename.replace(/\.js$/, "");
const file = `${base}.code.js`;
const cacheFile = `${base}.code.cache`;

const script = new Script(readFileSync(file, "utf8"), {
  filename: file,
  cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
});
globalThis.oleanderCodeIsCached = script.cachedDataRejected === false;
const load = script.runInThisContext();
const loaded = { exports: {} };
load(loaded.exports, createRequire(file), loaded, file, dirname(file));
