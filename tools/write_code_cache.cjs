/**
 * Compiles a bundle and writes the code for the processes that will run it.
 *
 * Usage: `node FLAGS tools/write_code_cache.cjs CODE CACHE`, with the flags of
 * those processes: V8 rejects code that was compiled with others.
 *
 * @module
 */
"use strict";

const { readFileSync, writeFileSync } = require("node:fs");
const process = require("node:process");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

const [codeFile, cacheFile] = process.argv.slice(2);
const source = readFileSync(codeFile, "utf8");
// Otherwise functions are compiled at their first call, in the starting process.
setFlagsFromString("--no-lazy");
const script = new Script(source, { filename: codeFile });
// The cache bears the flags at the time at which it is created.
setFlagsFromString("--lazy");
writeFileSync(cacheFile, script.createCachedData());
