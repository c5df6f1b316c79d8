/**
 * Plays faulty responses of hosts against a relay, by seed.
 *
 * Usage: `node dist/tools/fuzz_responses.js [--seed N] [--seeds N]`. Exits with 1
 * if a caller received what no rule allows.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { fuzzResponses } from "./fuzz/response_fuzz.ts";

const LANES = 4;
const REQUESTS_PER_LANE = 25;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "20" },
  },
});
const first = parseCount("seed", values.seed);
const count = parseCount("seeds", values.seeds);
const outcomes = new Map<string, number>();
let problems = 0;
for (let seed = first; seed < first + count; seed++) {
  const result = await fuzzResponses(seed, LANES, REQUESTS_PER_LANE);
  for (const [outcome, n] of result.outcomes) {
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + n);
  }
  problems += result.problems.length;
  for (const problem of result.problems) process.stdout.write(`${problem}\n`);
}
for (const [outcome, n] of [...outcomes].sort((a, b) => b[1] - a[1])) {
  process.stdout.write(`${String(n).padStart(6)} ${outcome}\n`);
}
process.stdout.write(`${count} seeds, ${problems} problems\n`);
process.exit(problems === 0 ? 0 : 1);

/** Parses a positive whole number, or ends the process with a message. */
function parseCount(name: string, text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value > 0) return value;
  process.stderr.write(
    `--${name} needs a whole number above 0, not "${text}"\n`,
  );
  process.exit(2);
}
