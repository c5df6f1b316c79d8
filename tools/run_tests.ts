/**
 * Runs cucumber scenarios and prints the counts as the last line.
 *
 * Usage: `node dist/tools/run_tests.js [TAGS [DIST]]`. Runs the scenarios that
 * match the tag expression TAGS, by default all, on the build in the folder DIST,
 * by default `dist`.
 *
 * Scenarios tagged `@known-red` run and are listed, but don't affect the exit
 * code; KNOWN-RED.txt describes each of them.
 *
 * @module
 */
import process from "node:process";
import type { Envelope } from "@cucumber/messages";
import {
  loadConfiguration,
  loadSupport,
  runCucumber,
} from "@cucumber/cucumber/api";

/** Result of one scenario. */
interface ScenarioResult {
  readonly name: string;
  readonly knownRed: boolean;
  failed: boolean;
  /** Message of the first step that did not pass; empty if all passed. */
  message: string;
}

/** Collects the results of scenarios from cucumber's messages. */
class ResultCollector {
  readonly scenarios = new Map<string, ScenarioResult>();
  readonly #pickles = new Map<string, { name: string; tags: string[] }>();
  readonly #pickleIdByTestCase = new Map<string, string>();
  readonly #pickleIdByRun = new Map<string, string>();

  handleEnvelope(envelope: Envelope): void {
    const { pickle, testCase, testCaseStarted, testStepFinished } = envelope;
    if (pickle !== undefined) {
      const tags = pickle.tags.map((tag) => tag.name);
      this.#pickles.set(pickle.id, { name: pickle.name, tags });
    }
    if (testCase !== undefined) {
      this.#pickleIdByTestCase.set(testCase.id, testCase.pickleId);
    }
    if (testCaseStarted !== undefined) this.#startScenario(testCaseStarted);
    if (testStepFinished !== undefined) this.#finishStep(testStepFinished);
  }

  #startScenario(started: { id: string; testCaseId: string }): void {
    const pickleId = this.#pickleIdByTestCase.get(started.testCaseId) ?? "";
    const pickle = this.#pickles.get(pickleId);
    if (pickle === undefined) return;
    this.#pickleIdByRun.set(started.id, pickleId);
    this.scenarios.set(pickleId, {
      name: pickle.name,
      knownRed: pickle.tags.includes("@known-red"),
      failed: false,
      message: "",
    });
  }

  #finishStep(
    step: NonNullable<Envelope["testStepFinished"]>,
  ): void {
    const { status, message } = step.testStepResult;
    if (status === "PASSED") return;
    const pickleId = this.#pickleIdByRun.get(step.testCaseStartedId) ?? "";
    const scenario = this.scenarios.get(pickleId);
    if (scenario === undefined) return;
    scenario.failed = true;
    if (scenario.message === "") scenario.message = message ?? status;
  }
}

async function main(): Promise<void> {
  const [tags = "", dist = "dist"] = process.argv.slice(2);
  const { runConfiguration } = await loadConfiguration({
    provided: {
      paths: ["features/**/*.feature"],
      import: [`${dist}/features/**/*.js`],
      format: [],
      tags,
    },
  });
  const support = await loadSupport(runConfiguration);
  const results = new ResultCollector();
  const { success } = await runCucumber(
    { ...runConfiguration, support },
    {},
    (envelope) => results.handleEnvelope(envelope),
  );
  printReportAndExit(results, success);
}

function printReportAndExit(results: ResultCollector, success: boolean): void {
  const all = [...results.scenarios.values()];
  const counted = all.filter((scenario) => !scenario.knownRed);
  const failed = counted.filter((scenario) => scenario.failed);
  for (const scenario of all) {
    const status = scenario.failed ? "FAILED" : "ok";
    const suffix = scenario.knownRed ? " (known red)" : "";
    process.stdout.write(`${status}${suffix}: ${scenario.name}\n`);
    if (scenario.failed) process.stdout.write(`${excerpt(scenario.message)}\n`);
  }
  const passed = counted.length - failed.length;
  const otherFailure = !success && all.every((scenario) => !scenario.failed);
  if (otherFailure) process.stdout.write("The run failed outside a scenario\n");
  process.stdout.write(`${passed} passed, ${failed.length} failed\n`);
  const ok = failed.length === 0 && passed > 0 && !otherFailure;
  process.exit(ok ? 0 : 1);
}

/** Returns the first lines of a text, indented. */
function excerpt(text: string): string {
  return text.split("\n").slice(0, 12).map((line) => `    ${line}`).join("\n");
}

await main();
