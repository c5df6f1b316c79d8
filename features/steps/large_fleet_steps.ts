/**
 * Steps of groups.feature that play fleets which lose hosts all the time.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { LargeFleet, LOSSY_SHAPES } from "./large_fleet.ts";

interface LargeFleetWorld {
  large: LargeFleet;
  needed: { readonly large: number; readonly small: number };
}

/** Demand in engine milliseconds that one group is meant to take a second. */
const GROUP_MS = 700;

Given(
  /^a (small|grown|grown_short) fleet of engine hosts by seed (\d+)$/,
  async function (
    this: LargeFleetWorld,
    shape: keyof typeof LOSSY_SHAPES,
    seed: string,
  ) {
    const { demand } = LOSSY_SHAPES[shape];
    this.needed = {
      large: demand.large / GROUP_MS,
      small: demand.small / GROUP_MS,
    };
    this.large = new LargeFleet(LOSSY_SHAPES[shape], Number(seed));
    await this.large.start();
  },
);

When(
  "pairs of hosts are lost each {int} seconds and a domain is dark for {int} seconds",
  function (this: LargeFleetWorld, period: number, dark: number) {
    this.large.loseHosts(period * 1_000);
    this.large.addHosts(2_500);
    this.large.kept.timers.after(8_000, () => {
      this.large.darken(1, dark * 1_000);
    });
  },
);

When(
  "{int} hosts a second are replaced by empty ones until {int} percent are",
  function (this: LargeFleetWorld, perSecond: number, percent: number) {
    this.large.kept.timers.after(12_000, () => {
      this.large.replaceHosts(perSecond, percent / 100);
    });
  },
);

Then(
  "over {int} seconds {int} percent of what both models need is in service",
  async function (this: LargeFleetWorld, seconds: number, percent: number) {
    await this.large.run(seconds * 1_000);
    const { samples } = this.large;
    const shares = samples.map(({ large, small }) =>
      Math.min(1, large / this.needed.large, small / this.needed.small)
    );
    const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
    assert.ok(mean * 100 >= percent, `${(mean * 100).toFixed(1)} percent`);
  },
);

Then(
  "no rule of groups was broken in that fleet",
  function (this: LargeFleetWorld) {
    assert.deepEqual(this.large.kept.engine.breaches, []);
  },
);
