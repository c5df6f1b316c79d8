/**
 * Steps of soak.feature, which run the promise checker on constructed results.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
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
