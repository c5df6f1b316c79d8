/**
 * Steps of soak.feature, which test the promise checker and the plans of faults.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { Random } from "../../src/base/random.ts";
import type { FaultList } from "../../tools/soak/fault_plan.ts";
import { isGroupFault, planFaults } from "../../tools/soak/fault_plan.ts";
import type { SoakObservations } from "../../tools/soak/promise_checker.ts";
import { checkPromises } from "../../tools/soak/promise_checker.ts";

/** State that the steps of one scenario share. */
interface SoakWorld {
  observations: SoakObservations;
}

Given(
  "a soak of {int} requests, of which {int} succeed",
  function (this: SoakWorld, count: number, succeeded: number) {
    const results = Array.from({ length: count }, (_, i) => ({
      requestId: `c0-${i}`,
      path: `/look/c0-${i}`,
      key: "key-0",
      sentAt: i,
      status: i < succeeded ? 200 : 503,
      isComplete: i < succeeded,
      problem: undefined,
    }));
    this.observations = {
      results,
      journal: [],
      breaches: [],
      revokedKeyOwner: "customer-1",
      revokedKey: "key-1",
      revokedAt: undefined,
      storeFaultPeriods: [],
      unexpectedExits: 0,
      clockOffsetMs: 0,
    };
  },
);

Given(
  /^the store was (healthy|silent)$/,
  function (this: SoakWorld, state: string) {
    const storeFaultPeriods = state === "silent"
      ? [{ from: 0, until: this.observations.results.length }]
      : [];
    this.observations = { ...this.observations, storeFaultPeriods };
  },
);

Then(/^the soak finds (nothing|".*")$/, function (this: SoakWorld, problem) {
  const expected = problem === "nothing" ? [] : [problem.slice(1, -1)];
  assert.deepEqual(checkPromises(this.observations), expected);
});

Then(
  "a default plan of 15 seconds with seed {int} has the faults {string}",
  function (seed: number, kinds: string) {
    const plan = planFaults(new Random(seed), 15_000, 4);
    assert.equal(plan.map((fault) => fault.kind).join(" "), kinds);
  },
);

Then(
  "two plans of {string} faults with seed {int} are equal and have faults on groups",
  function (list: FaultList, seed: number) {
    const draw = () => planFaults(new Random(seed), 30_000, 4, list);
    assert.deepEqual(draw(), draw());
    assert.ok(draw().some((fault) => isGroupFault(fault.kind)));
  },
);
