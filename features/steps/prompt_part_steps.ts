/**
 * Steps of prompt_parts.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Buffer } from "node:buffer";
import type { RecordedResponse } from "./relay_fixture.ts";
import { RelayFleet } from "./relay_fleet.ts";

interface SentPrompt {
  readonly at: number;
  readonly isDeadly: boolean;
  readonly sharesFirstPart: boolean;
  readonly response: RecordedResponse;
}

interface PromptPartWorld {
  fleet: RelayFleet;
  deadlyPart: string;
  /** Monotonic time of each crash. */
  crashTimes: number[];
  prompts: SentPrompt[];
}

/** First parts of prompts; those with the deadly part have the first one. */
const FIRST_PARTS = 6;

Given(
  "{int} relay(s) with {int} replica groups of {string}",
  function (this: PromptPartWorld, relays: number, groups: number, model) {
    this.fleet = new RelayFleet(relays, groups, model);
    this.crashTimes = [];
    this.prompts = [];
    this.fleet.onCrash = () => this.crashTimes.push(this.fleet.timers.now());
  },
);

Given(
  "the prompt part {string} crashes each group that begins to answer it",
  function (this: PromptPartWorld, part: string) {
    this.deadlyPart = part;
    this.fleet.upstreams.poisonMarker = part;
  },
);

When(
  "{int} prompts arrive within {int} seconds, every {int}th with the deadly part",
  async function (
    this: PromptPartWorld,
    count: number,
    seconds: number,
    interval: number,
  ) {
    for (let i = 0; i < count; i++) {
      const isDeadly = i % interval === interval - 1;
      const first = isDeadly ? 0 : i % FIRST_PARTS;
      const second = isDeadly ? this.deadlyPart : `second-${i % 35}`;
      this.prompts.push({
        at: this.fleet.timers.now(),
        isDeadly,
        sharesFirstPart: first === 0,
        response: this.fleet.sendPrompt([`first-${first}`, second]),
      });
      await this.fleet.run(seconds * 1_000 / count);
    }
    await this.fleet.run(5_000);
  },
);

Then(
  "at most {int} attempts with the deadly part begin later than {int} seconds after the fifth crash",
  function (this: PromptPartWorld, max: number, seconds: number) {
    const since = fifthCrashAt(this) + seconds * 1_000;
    const late = this.fleet.attempts.filter(({ at, attempt }) =>
      at > since && Buffer.from(attempt.body).includes(this.deadlyPart)
    );
    assert.ok(
      late.length <= max,
      `${late.length} attempts, ${this.crashTimes.length} crashes`,
    );
  },
);

Then(
  "{int}% of the sound prompts with the same first part are served from {int} seconds after it",
  function (this: PromptPartWorld, percent: number, seconds: number) {
    const since = fifthCrashAt(this) + seconds * 1_000;
    const sound = this.prompts.filter((prompt) =>
      !prompt.isDeadly && prompt.sharesFirstPart && prompt.at > since
    );
    const served = sound.filter(({ response }) => response.isComplete);
    assert.ok(sound.length >= 20);
    assert.ok(
      served.length >= sound.length * percent / 100,
      `${served.length} of ${sound.length}`,
    );
  },
);

/** Time of the fifth crash, or of the last one if there were fewer. */
function fifthCrashAt({ crashTimes }: PromptPartWorld): number {
  assert.ok(crashTimes.length > 0, "no group crashed");
  return crashTimes[Math.min(4, crashTimes.length - 1)];
}
