/**
 * Steps of groups.feature for simulated fleets that keep losing hosts.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { LOSSY_SHAPES, LossyFleet } from "./lossy_fleet.ts";

interface LossyFleetWorld {
  lossyFleet: LossyFleet;
  needed: { readonly large: number; readonly small: number };
}

/** Engine milliseconds per second that one group is expected to serve. */
const GROUP_MS = 700;

Given(
  /^a (small|grown|grown_short) fleet of engine hosts with seed (\d+)$/,
  async function (
    this: LossyFleetWorld,
    shape: keyof typeof LOSSY_SHAPES,
    seed: string,
  ) {
    const { demand } = LOSSY_SHAPES[shape];
    this.needed = {
      large: demand.large / GROUP_MS,
      small: demand.small / GROUP_MS,
    };
    this.lossyFleet = new LossyFleet(LOSSY_SHAPES[shape], Number(seed));
    await this.lossyFleet.start();
  },
);

When(
  "pairs of hosts are lost every {int} seconds and a domain is unreachable for {int} seconds",
  function (this: LossyFleetWorld, period: number, unreachable: number) {
    this.lossyFleet.loseHosts(period * 1_000);
    // New hosts replace some of the lost ones.
    this.lossyFleet.addHosts(2_500);
    this.lossyFleet.fleet.timers.after(8_000, () => {
      this.lossyFleet.disconnectDomain(1, unreachable * 1_000);
    });
  },
);

When(
  "{int} hosts a second are replaced by empty ones until {int} percent have been",
  function (this: LossyFleetWorld, perSecond: number, percent: number) {
    this.lossyFleet.fleet.timers.after(12_000, () => {
      this.lossyFleet.replaceHosts(perSecond, percent / 100);
    });
  },
);

When(
  /^the store shows announcements up to (\d+) milliseconds late, in any order$/,
  function (this: LossyFleetWorld, delayMs: string) {
    this.lossyFleet.delayAnnouncements(Number(delayMs));
  },
);

When(
  "all hosts are listed again every {int} milliseconds",
  function (this: LossyFleetWorld, periodMs: number) {
    const { fleet } = this.lossyFleet;
    fleet.timers.subscribe(periodMs, () => fleet.relist());
  },
);

When(
  "another node becomes a leader every {int} seconds, beside those before",
  function (this: LossyFleetWorld, seconds: number) {
    const { fleet } = this.lossyFleet;
    fleet.timers.subscribe(seconds * 1_000, () => fleet.replaceOrchestrator());
  },
);

When(
  "the lossy fleet runs for {int} seconds",
  async function (this: LossyFleetWorld, seconds: number) {
    await this.lossyFleet.run(seconds * 1_000);
  },
);

Then(
  "over {int} seconds at least {int} percent of the capacity that both models need is in service",
  async function (this: LossyFleetWorld, seconds: number, percent: number) {
    await this.lossyFleet.run(seconds * 1_000);
    const { samples } = this.lossyFleet;
    const shares = samples.map(({ large, small }) =>
      Math.min(1, large / this.needed.large, small / this.needed.small)
    );
    const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
    assert.ok(mean * 100 >= percent, `${(mean * 100).toFixed(1)} percent`);
  },
);

Then(
  "no host was in two groups in the lossy fleet",
  function (this: LossyFleetWorld) {
    const { breaches } = this.lossyFleet.fleet.engine;
    assert.deepEqual(breaches.filter(({ rule }) => rule === "two_groups"), []);
  },
);

Then(
  "no group invariant was violated in the lossy fleet",
  function (this: LossyFleetWorld) {
    assert.deepEqual(this.lossyFleet.fleet.engine.breaches, []);
  },
);
