#!/bin/sh
# The stand-ins are plain modules of Node.js: nothing is compiled, each is only parsed.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
[ -f ../target/oleander_node.js ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
