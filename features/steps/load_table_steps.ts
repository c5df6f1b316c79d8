/**
 * Steps of load_table.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Then, When } from "@cucumber/cucumber";
import { computeFigures } from "../../tools/load/load_figures.ts";
import { engineBehaviour } from "../../tools/load/load_kinds.ts";
import type { LoadResult } from "../../tools/load/load_result.ts";
import {
  drawArrivals,
  LOAD_SCENARIOS,
} from "../../tools/load/load_scenarios.ts";
import { runOracle } from "../../tools/load/oracle_run.ts";
import { ProductRun } from "../../tools/load/product_run.ts";
import { RelayBuild } from "../../tools/load/relay_build.ts";

const DIST = join(dirname(fileURLToPath(import.meta.url)), "../..");
const SEED = 1;

interface PlayedLoad {
  readonly offeredCount: number;
  readonly relay: readonly LoadResult[];
  readonly oracle: readonly LoadResult[];
}

interface LoadTableWorld {
  replay: (seed: number) => Promise<PlayedLoad>;
  played: PlayedLoad;
}

async function play(
  load: string,
  seconds: number,
  seed: number,
): Promise<PlayedLoad> {
  const scenario = LOAD_SCENARIOS.find(({ name }) => name === load);
  assert.ok(scenario !== undefined, `no load ${load}`);
  const engine = engineBehaviour(93);
  const durationMs = seconds * 1_000;
  const offered = drawArrivals(scenario, engine, durationMs, seed);
  const settings = {
    scenario,
    engine,
    offered,
    durationMs,
    seed,
    nodeCount: 6,
    statusIntervalMs: 150,
  };
  const build = await RelayBuild.load(DIST);
  return {
    offeredCount: offered.length,
    relay: await new ProductRun(build, settings).run(),
    oracle: await runOracle(settings),
  };
}

When(
  "the load {word} is played for {int} seconds",
  async function (this: LoadTableWorld, load: string, seconds: number) {
    this.replay = (seed) => play(load, seconds, seed);
    this.played = await this.replay(SEED);
  },
);

Then(
  "playing it again with the same seed gives equal results",
  async function (this: LoadTableWorld) {
    assert.deepEqual(await this.replay(SEED), this.played);
  },
);

Then(
  "playing it again with another seed gives other results",
  async function (this: LoadTableWorld) {
    assert.notDeepEqual(await this.replay(SEED + 1), this.played);
  },
);

Then("each offered request has one result", function (this: LoadTableWorld) {
  const { offeredCount, relay, oracle } = this.played;
  for (const results of [relay, oracle]) {
    const indexes = new Set(results.map(({ offered }) => offered.index));
    assert.equal(indexes.size, offeredCount);
    assert.equal(results.length, offeredCount);
  }
});

Then(
  "the shares in time, late, refused and failed add up to one",
  function (this: LoadTableWorld) {
    for (const results of [this.played.relay, this.played.oracle]) {
      const figures = computeFigures(results);
      const { inTime, lateFirst, latePause, refused, failed } = figures;
      const sum = inTime + lateFirst + latePause + refused + failed;
      assert.ok(Math.abs(sum - 1) < 1e-9, `sum ${sum}`);
      assert.equal(figures.offered + figures.counts.left, results.length);
    }
  },
);

Then(
  "the oracle's share in time is at least the relay's",
  function (this: LoadTableWorld) {
    const oracle = computeFigures(this.played.oracle).inTime;
    const relay = computeFigures(this.played.relay).inTime;
    assert.ok(oracle >= relay, `oracle ${oracle}, relay ${relay}`);
  },
);
