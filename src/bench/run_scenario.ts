/**
 * Runs one scenario with the product or the baseline.
 *
 * @module
 */
import { Random } from "../base/random.ts";
import { SimulatedCallers } from "./callers.ts";
import type { Breach } from "./checker.ts";
import { Checker } from "./checker.ts";
import type { Variant } from "./cluster.ts";
import { Cluster } from "./cluster.ts";
import type { Deployment } from "./deployment.ts";
import type { RunMetrics } from "./run_metrics.ts";
import { MetricsSampler } from "./run_metrics.ts";
import type { Scenario } from "./scenarios.ts";

/**
 * Time under load before the scenario, in which caches fill and upstreams warm
 * up.
 */
const WARM_UP_MS = 40_000;
/** Part of the warm-up in which the load increases to its full rate. */
const RAMP_MS = 30_000;
/**
 * Time allowed for the last responses to arrive; longer than the callers'
 * timeout.
 */
const COOL_DOWN_MS = 65_000;

/** Result of one run. */
export interface ScenarioResult {
  readonly metrics: RunMetrics;
  readonly breaches: readonly Breach[];
  readonly cluster: Cluster;
  readonly callers: SimulatedCallers;
}

/** Deployment, implementation and random seed of a run. */
export interface ScenarioOptions {
  readonly deployment: Deployment;
  readonly variant: Variant;
  readonly seed: number;
}

/**
 * Starts a deployment, warms it up, runs the scenario under load, checks the
 * promises and computes the metrics.
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
  const callers = new SimulatedCallers(cluster, seed + 2);
  await cluster.deploy();
  callers.start(scenario.loadFactor ?? 1, RAMP_MS);
  await cluster.timers.run(WARM_UP_MS);
  const sampler = new MetricsSampler(cluster);
  const random = new Random(seed + 3);
  // The scenario sleeps in virtual time, so the clock has to advance meanwhile. A
  // scenario doesn't advance the clock itself, as two may run concurrently.
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
  const metrics = sampler.finish(callers, checker.counts());
  return { metrics, breaches: checker.breaches, cluster, callers };
}
