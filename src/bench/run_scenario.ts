/**
 * Runs one scenario with one implementation.
 *
 * @module
 */
import { Random } from "../base/random.ts";
import { Callers } from "./callers.ts";
import type { Breach } from "./checker.ts";
import { Checker } from "./checker.ts";
import type { Variant } from "./cluster.ts";
import { Cluster } from "./cluster.ts";
import type { Deployment } from "./deployment.ts";
import type { RunMeasures } from "./measures.ts";
import { MetricsSampler } from "./measures.ts";
import type { Scenario } from "./scenarios.ts";

/** Load before the events begin: caches fill and upstreams get warm. */
const WARM_UP_MS = 40_000;
/** Part of the warm-up in which the load grows. */
const RAMP_MS = 30_000;
/** Time for the last answers to come in. */
const COOL_DOWN_MS = 65_000;

/** What one run brought. */
export interface ScenarioResult {
  readonly measures: RunMeasures;
  readonly breaches: readonly Breach[];
  readonly cluster: Cluster;
  readonly callers: Callers;
}

/** What to run. */
export interface ScenarioOptions {
  readonly deployment: Deployment;
  readonly variant: Variant;
  readonly seed: number;
}

/**
 * Sets a deployment up, warms it, plays the scenario under load and judges it.
 *
 * @example
 * ```ts
 * const run = await runScenario(scenario, { deployment, variant: "product", seed: 1 });
 * ```
 */
export async function runScenario(
  scenario: Scenario,
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const { deployment, variant, seed } = options;
  const cluster = new Cluster(deployment, variant, seed);
  const checker = new Checker(cluster);
  const callers = new Callers(cluster, seed + 2);
  await cluster.settle();
  callers.start(scenario.loadFactor ?? 1, RAMP_MS);
  await cluster.timers.run(WARM_UP_MS);
  const sampler = new MetricsSampler(cluster);
  const random = new Random(seed + 3);
  // Events are driven from within virtual time: several plays may run at once.
  let finished = false;
  const completion = scenario.run({
    cluster,
    callers,
    checker,
    random,
  }).then(() => {
    finished = true;
  });
  while (!finished) await cluster.timers.run(100);
  await completion;
  callers.stop();
  sampler.stop();
  await cluster.timers.run(COOL_DOWN_MS);
  checker.finish(callers);
  const measures = sampler.finish(callers, checker.counts());
  return { measures, breaches: checker.breaches, cluster, callers };
}
