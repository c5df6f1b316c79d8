/**
 * Steps of responses.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import process from "node:process";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { Random } from "../../src/base/random.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import type { CallerResult } from "../../tools/fuzz/caller_result.ts";
import { FuzzRelay } from "../../tools/fuzz/fuzz_relay.ts";
import { RawHost } from "../../tools/fuzz/raw_host.ts";
import type {
  LateWriteKind,
  RawResponse,
} from "../../tools/fuzz/raw_responses.ts";
import {
  bodyOf,
  FAULTY_RESPONSES,
  lateWrite,
  SOUND_RESPONSES,
  stopsWithinBody,
} from "../../tools/fuzz/raw_responses.ts";
import type { FuzzResult } from "../../tools/fuzz/response_fuzz.ts";
import { fuzzResponses } from "../../tools/fuzz/response_fuzz.ts";
import type { RecordedResponse, RelayFixture } from "./relay_fixture.ts";

const BYTES_PER_MB = 1_048_576;
/** Time in which a closed connection is closed on the host's side, too. */
const CLOSE_MS = 400;
/** Time after a response in which its connection can be used again. */
const CONNECTION_FREE_MS = 3;
const FIRST_EVENTS = 4;
const OTHER_STREAMS = 3;

interface ResponseWorld {
  rawHosts: RawHost[];
  /** Responses of a single host to its next requests. */
  script: RawResponse[];
  relay: FuzzRelay;
  results: CallerResult[];
  residentBefore: number;
  residentMax: number;
  fuzz: FuzzResult;
  fixture: RelayFixture;
  response: RecordedResponse;
}

After(function (this: ResponseWorld) {
  for (const host of this.rawHosts ?? []) host.close();
});

Given(
  "a relay before a host that responds {string} and {int} sound hosts",
  async function (this: ResponseWorld, name: string, soundHosts: number) {
    const timers = new SystemTimers();
    const random = new Random(1);
    const response = [...FAULTY_RESPONSES, ...SOUND_RESPONSES]
      .find((candidate) => candidate.name === name);
    assert.ok(response, name);
    const [whole] = SOUND_RESPONSES;
    this.rawHosts = [new RawHost("first", timers, random, () => response)];
    for (let i = 0; i < soundHosts; i++) {
      this.rawHosts.push(
        new RawHost(`sound-${i}`, timers, random, () => whole),
      );
    }
    await Promise.all(this.rawHosts.map((host) => host.listen()));
    this.relay = new FuzzRelay(this.rawHosts, 1);
  },
);

Given("a relay before one host", async function (this: ResponseWorld) {
  const timers = new SystemTimers();
  this.script = [];
  const host = new RawHost("first", timers, new Random(1), () => {
    const response = this.script.shift();
    assert.ok(response, "an unexpected request");
    return response;
  });
  this.rawHosts = [host];
  await host.listen();
  this.relay = new FuzzRelay(this.rawHosts, 1);
});

Given(
  /^the host writes a late (copy|refusal|version|status) (\d+) milliseconds after its first response$/,
  function (this: ResponseWorld, kind: LateWriteKind, ms: number) {
    this.script.push(lateWrite(kind, Number(ms)));
  },
);

Given(
  "its second response has status {int} and stops within its body of {int} bytes",
  function (this: ResponseWorld, status: number, bytes: number) {
    this.script.push(stopsWithinBody(status, bytes));
  },
);

When(
  "two requests are sent on one connection, one right after the other",
  async function (this: ResponseWorld) {
    const first = await this.relay.send("r0", false);
    await sleep(this.relay.timers, CONNECTION_FREE_MS);
    this.results = [first, await this.relay.send("r1", false)];
    const [, second] = this.rawHosts[0].received;
    assert.equal(second.previous?.requestId, "r0");
  },
);

Then(
  "the first caller has a complete response",
  function (this: ResponseWorld) {
    const [{ isComplete, body }] = this.results;
    assert.ok(isComplete);
    assert.equal(body, bodyOf("r0"));
  },
);

Then(
  "the second caller gets {string} and no byte of the late write",
  function (this: ResponseWorld, kind: string) {
    const [, { refusal, body, isComplete }] = this.results;
    assert.equal(isComplete, false);
    assert.equal(refusal?.kind, kind);
    assert.equal(body, "");
  },
);

When(
  "{int} requests that are {word} repeatable are sent to the first host",
  function (this: ResponseWorld, count: number, _not: string) {
    return sendToFirst(this, count, false);
  },
);

When(
  "{int} requests that are repeatable are sent to the first host",
  function (this: ResponseWorld, count: number) {
    return sendToFirst(this, count, true);
  },
);

/** Sends requests until `count` of them have reached the first host. */
async function sendToFirst(
  world: ResponseWorld,
  count: number,
  isRepeatable: boolean,
): Promise<void> {
  const [first] = world.rawHosts;
  world.residentBefore = process.memoryUsage.rss();
  world.residentMax = world.residentBefore;
  const meter = world.relay.timers.subscribe(10, () => {
    const resident = process.memoryUsage.rss();
    world.residentMax = Math.max(world.residentMax, resident);
  });
  const all: CallerResult[] = [];
  for (let i = 0; first.received.length < count && i < count * 40; i++) {
    all.push(await world.relay.send(`r${i}`, isRepeatable));
  }
  meter.cancel();
  const ids = new Set(first.received.map((request) => request.requestId));
  world.results = all.filter((result) => ids.has(result.requestId));
  assert.equal(world.results.length, count);
}

Then(
  "each caller has a complete response within {int} milliseconds",
  function (this: ResponseWorld, limitMs: number) {
    for (const result of this.results) {
      assert.equal(result.refusal, undefined);
      assert.equal(result.body, bodyOf(result.requestId));
      assert.ok(result.isComplete);
      const { endedAfterMs = Infinity } = result;
      assert.ok(endedAfterMs <= limitMs, `${endedAfterMs} ms`);
    }
  },
);

Then(
  "each caller gets {string} within {int} milliseconds",
  function (this: ResponseWorld, kind: string, limitMs: number) {
    for (const result of this.results) {
      assert.equal(result.refusal?.kind, kind);
      const { endedAfterMs = Infinity } = result;
      assert.ok(endedAfterMs <= limitMs, `${endedAfterMs} ms`);
    }
  },
);

Then(
  "the process has grown by less than {int} MB",
  function (this: ResponseWorld, limitMb: number) {
    const grownMb = (this.residentMax - this.residentBefore) / BYTES_PER_MB;
    assert.ok(grownMb < limitMb, `${grownMb.toFixed(1)} MB`);
  },
);

Then(
  "the first host's connections are closed",
  async function (this: ResponseWorld) {
    await sleep(this.relay.timers, CLOSE_MS);
    assert.equal(this.rawHosts[0].openConnections, 0);
  },
);

Then("no attempt is in flight", function (this: ResponseWorld) {
  assert.equal(this.relay.inFlight, 0);
  for (const host of this.rawHosts) assert.equal(this.relay.loadOf(host), 0);
});

When(
  "{int} callers send {int} requests each to hosts with the responses of seed {int}",
  { timeout: 60_000 },
  async function (
    this: ResponseWorld,
    lanes: number,
    perLane: number,
    seed: number,
  ) {
    this.fuzz = await fuzzResponses(seed, lanes, perLane);
  },
);

Then("every caller received what the rules allow", function (
  this: ResponseWorld,
) {
  assert.deepEqual(this.fuzz.problems, []);
  // A run in which nothing is answered would prove nothing.
  const answered = this.fuzz.outcomes.get("status 200") ?? 0;
  assert.ok(answered > this.fuzz.requests / 4, `${answered} answered`);
});

Given(
  "the first host sends {int} bytes of its response, then resets the connection",
  function (this: ResponseWorld, bytes: number) {
    this.fixture.upstreams.setNextScript({ kind: "reset_after_bytes", bytes });
  },
);

Then(
  "the response is aborted after {int} attempt",
  function (this: ResponseWorld, attempts: number) {
    assert.equal(this.response.isAborted, true);
    assert.equal(this.response.isComplete, false);
    assert.equal(this.fixture.upstreams.attempts.length, attempts);
  },
);

Given(
  "the first group ends its stream after {int} events",
  function (this: ResponseWorld, events: number) {
    this.fixture.upstreams.setNextScript({ kind: "end_after", events });
  },
);

Given(
  /^the first group sends only a (byte|comment) now and then after 4 events$/,
  function (this: ResponseWorld, bytes: "byte" | "comment") {
    const events = FIRST_EVENTS;
    this.fixture.upstreams.setNextScript({ kind: "drip_after", events, bytes });
  },
);

Given(
  "the first group pauses its first stream for {int} milliseconds after 4 events",
  function (this: ResponseWorld, pauseMs: number) {
    this.fixture.upstreams.setNextScript({
      kind: "first_pauses_after",
      firstEvents: FIRST_EVENTS,
      pauseMs,
    });
  },
);

When(
  "a stream of {int} events is requested on a group that serves others, and a second group opens",
  async function (this: ResponseWorld, events: number) {
    const { fixture } = this;
    fixture.upstreams.eventsPerStream = events;
    this.response = fixture.sendRequest("/draft/");
    for (let i = 0; i < OTHER_STREAMS; i++) fixture.sendRequest("/draft/");
    await fixture.timers.run(300);
    fixture.addGroups(2, "small");
    await fixture.timers.run(4_000);
    await fixture.timers.run(2_000);
  },
);

Then(
  "the caller has events 1 to {int} and a complete response after {int} attempt(s) of its own",
  function (this: ResponseWorld, events: number, attempts: number) {
    const { response, fixture } = this;
    assert.ok(response.isComplete);
    const expected = Array.from({ length: events }, (_, i) => i + 1);
    assert.deepEqual(response.eventIds, expected);
    const [{ attempt }] = fixture.upstreams.attempts;
    const own = fixture.upstreams.attempts.filter((other) =>
      other.attempt.requestId === attempt.requestId
    );
    assert.equal(own.length, attempts);
  },
);
