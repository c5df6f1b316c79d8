/**
 * Steps of prompt_parts.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Buffer } from "node:buffer";
import {
  mergePartStatuses,
  takePartStatuses,
} from "../../src/core/gossip/part_statuses.ts";
import { PromptPartTracker } from "../../src/core/retries/prompt_part_tracker.ts";
import { encodeBatch } from "../../src/core/gossip/message_codec.ts";
import { sampleStatus } from "./sample_status.ts";
import type { RecordedResponse } from "./relay_fixture.ts";
import { RelayFleet } from "./relay_fleet.ts";

interface SentPrompt {
  readonly at: number;
  readonly isDeadly: boolean;
  readonly sharesFirstPart: boolean;
  readonly response: RecordedResponse;
}

interface PromptPartWorld {
  tracker: PromptPartTracker;
  now: number;
  fleet: RelayFleet;
  deadlyPart: string;
  /** Monotonic time of each crash. */
  crashTimes: number[];
  prompts: SentPrompt[];
}

const MODEL = "small";
/** Pause between crashes that happen one after the other. */
const CRASH_INTERVAL_MS = 400;
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

When(
  "the relays are replaced one by one, each {int} seconds after the other",
  async function (this: PromptPartWorld, seconds: number) {
    for (let i = 0; i < this.fleet.relays.length; i++) {
      this.fleet.replaceRelay(i);
      await this.fleet.run(seconds * 1_000);
    }
  },
);

Given("a tracker of prompt parts", function (this: PromptPartWorld) {
  this.tracker = new PromptPartTracker();
  this.now = 10_000;
});

When(
  /^groups? "(.*?)" crash(?:es)?( at once| one after the other|) with "(.*?)"(?: and "(.*?)")? in flight$/,
  function (
    this: PromptPartWorld,
    groups: string,
    order: string,
    prompt: string,
    other: string | null,
  ) {
    const prompts = other === null ? [prompt] : [prompt, other];
    const suspects = prompts.map((text) => ({
      model: MODEL,
      parts: partsOf(text),
    }));
    for (const group of groups.split(", ")) {
      this.tracker.recordCrash(`${group}@1`, suspects, this.now);
      this.now += order === " at once" ? 1 : CRASH_INTERVAL_MS;
    }
  },
);

When(
  "{int} responses to other prompts begin",
  function (this: PromptPartWorld, count: number) {
    for (let i = 0; i < count; i++) begin(this, [`other-${i}`]);
  },
);

When(
  "a response to {string} begins",
  function (this: PromptPartWorld, prompt: string) {
    begin(this, partsOf(prompt));
  },
);

When(
  "{int} groups crash, each with another prompt of {int} parts in flight",
  function (this: PromptPartWorld, count: number, parts: number) {
    for (let i = 0; i < count; i++) {
      const names = Array.from({ length: parts }, (_, n) => `part-${i}-${n}`);
      const suspect = { model: MODEL, parts: names };
      this.tracker.recordCrash(`g-${i}@1`, [suspect], this.now++);
    }
    this.tracker.expire(this.now);
  },
);

Then(
  /^a prompt of "(.*)" is (accepted|refused)$/,
  function (this: PromptPartWorld, prompt: string, verdict: string) {
    const isRefused = this.tracker.isRefused(partsOf(prompt));
    assert.equal(isRefused, verdict === "refused");
  },
);

Then(
  "peers learn that {string} is sound",
  function (this: PromptPartWorld, part: string) {
    const peer = new PromptPartTracker();
    for (const group of ["g-1", "g-2", "g-3"]) {
      const suspects = [{ model: MODEL, parts: [part] }];
      peer.recordCrash(`${group}@1`, suspects, this.now - 1_500);
    }
    mergePartStatuses(peer, takePartStatuses(this.tracker, this.now), this.now);
    assert.deepEqual(peer.takeShared(this.now), []);
  },
);

Then(
  "no request may probe {string} within {int} seconds",
  function (this: PromptPartWorld, prompt: string, seconds: number) {
    const at = this.now + seconds * 1_000 - CRASH_INTERVAL_MS;
    assert.equal(this.tracker.takeProbe(partsOf(prompt), at), false);
  },
);

Then(
  "one request may probe {string} after {int} seconds",
  function (this: PromptPartWorld, prompt: string, seconds: number) {
    this.now += seconds * 1_000;
    assert.equal(this.tracker.takeProbe(partsOf(prompt), this.now), true);
    assert.equal(this.tracker.takeProbe(partsOf(prompt), this.now), false);
  },
);

Then(
  "the tracker keeps at most {int} parts",
  function (this: PromptPartWorld, max: number) {
    assert.ok(this.tracker.size <= max);
  },
);

Then(
  "a datagram of {int} statuses fits into {int} bytes",
  function (this: PromptPartWorld, count: number, max: number) {
    const parts = takePartStatuses(this.tracker, this.now);
    assert.ok(parts.suspectParts.length > 0);
    const statuses = Array(count).fill({ ...sampleStatus(), ...parts });
    const batch = { isForwarded: true, isUrgent: false, statuses };
    const { byteLength } = encodeBatch(batch);
    assert.ok(byteLength < max, `${byteLength} bytes`);
  },
);

function partsOf(prompt: string): string[] {
  return prompt.split(", ");
}

function begin(world: PromptPartWorld, parts: readonly string[]): void {
  world.now += 10;
  world.tracker.recordBegun(MODEL, parts, world.now, world.now);
}

/** Time of the fifth crash, or of the last one if there were fewer. */
function fifthCrashAt({ crashTimes }: PromptPartWorld): number {
  assert.ok(crashTimes.length > 0, "no group crashed");
  return crashTimes[Math.min(4, crashTimes.length - 1)];
}
