import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { RecordedResponse } from "./relay_fixture.ts";
import { RelayFixture } from "./relay_fixture.ts";

interface RelayWorld {
  fixture: RelayFixture;
  response: RecordedResponse;
  responses: RecordedResponse[];
}

Given(
  "a relay with {int} replica group(s) of {string}",
  function (this: RelayWorld, count: number, model: string) {
    this.fixture = new RelayFixture();
    this.fixture.addGroups(count, model);
  },
);

Given(
  "a relay with {int} host(s) of the counter service",
  function (this: RelayWorld, count: number) {
    this.fixture = new RelayFixture();
    this.fixture.addCounterHosts(count);
  },
);

Given(
  "the first group stalls after {int} events",
  function (this: RelayWorld, events: number) {
    this.fixture.upstreams.setNextScript({ kind: "silent_after", events });
  },
);

Given(
  "the first group resets the connection within event {int}",
  function (this: RelayWorld, id: number) {
    this.fixture.upstreams.setNextScript({
      kind: "reset_after",
      events: id - 1,
    });
  },
);

Given(
  "every group pauses for {int} milliseconds after its first {int} events",
  function (this: RelayWorld, pauseMs: number, firstEvents: number) {
    for (const id of ["i-0-0", "i-1-0"]) {
      this.fixture.upstreams.setScript(id, {
        kind: "pause_after",
        firstEvents,
        pauseMs,
      });
    }
  },
);

Given(
  "a stream of {int} events is in progress",
  async function (this: RelayWorld, events: number) {
    this.fixture.upstreams.eventsPerStream = events;
    this.fixture.sendRequest("/draft/");
    await this.fixture.timers.run(300);
    // Only the attempts of later requests are counted.
    this.fixture.upstreams.attempts.length = 0;
  },
);

When(
  "host {string} is no longer announced",
  function (this: RelayWorld, id: string) {
    this.fixture.withdraw(id);
  },
);

When(
  "{int} milliseconds pass",
  async function (this: RelayWorld, ms: number) {
    await this.fixture.timers.run(ms);
  },
);

Then(
  "the caller gets {string}",
  function (this: RelayWorld, outcome: string) {
    assert.equal(this.response.refusal?.kind, outcome);
  },
);

When(
  "host {string} announces that it is leaving",
  function (this: RelayWorld, id: string) {
    this.fixture.drain(id);
  },
);

When(
  "{int} streams are requested, one every {int} milliseconds",
  async function (this: RelayWorld, count: number, intervalMs: number) {
    for (let i = 0; i < count; i++) {
      this.fixture.sendRequest("/draft/");
      await this.fixture.timers.run(intervalMs);
    }
  },
);

function countAttemptsByHost(world: RelayWorld): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { host } of world.fixture.upstreams.attempts) {
    counts.set(host, (counts.get(host) ?? 0) + 1);
  }
  return counts;
}

Then(
  "they are sent to at most {int} groups",
  function (this: RelayWorld, max: number) {
    const counts = countAttemptsByHost(this);
    assert.ok(counts.size <= max, `${counts.size} groups`);
  },
);

Then(
  "they are sent to at least {int} groups, at most {int} to each",
  function (this: RelayWorld, min: number, max: number) {
    const counts = countAttemptsByHost(this);
    const largest = Math.max(...counts.values());
    const message = `${counts.size} groups, at most ${largest}`;
    assert.ok(counts.size >= min && largest <= max, message);
  },
);

Given(
  "the first host resets the connection before it responds",
  function (this: RelayWorld) {
    this.fixture.upstreams.setNextScript({ kind: "reset_before_response" });
  },
);

Given(
  "the first host refuses the request as not run",
  function (this: RelayWorld) {
    this.fixture.upstreams.setNextScript({ kind: "refuse_not_run" });
  },
);

Given(
  "the first host responds with status {int}",
  function (this: RelayWorld, status: number) {
    this.fixture.upstreams.setNextScript({ kind: "status", status });
  },
);

Given("no host responds", function (this: RelayWorld) {
  for (const id of ["counter-0", "counter-1"]) {
    this.fixture.upstreams.setScript(id, { kind: "silent" });
  }
});

Given(
  "the catalog was last confirmed {int} seconds ago",
  async function (this: RelayWorld, seconds: number) {
    // The fixture confirmed the catalog when it was created.
    await this.fixture.timers.run(seconds * 1_000);
  },
);

Given(
  "a peer confirmed the same version {int} second ago",
  function (this: RelayWorld, seconds: number) {
    this.fixture.catalog.recordPeerConfirmation(1, seconds * 1_000);
  },
);

async function requestAndWait(world: RelayWorld, path: string, events: number) {
  world.fixture.upstreams.eventsPerStream = events;
  world.response = world.fixture.sendRequest(path);
  await world.fixture.timers.run(6_000);
}

When(
  "a stream of {int} events is requested",
  function (this: RelayWorld, events: number) {
    return requestAndWait(this, "/draft/", events);
  },
);

When(
  "a stream of {int} events is requested while the event loop is {int} milliseconds behind",
  function (this: RelayWorld, events: number, lagMs: number) {
    this.fixture.lagMs = lagMs;
    return requestAndWait(this, "/draft/", events);
  },
);

When(
  "a stream of {int} events that is not resumable is requested",
  function (this: RelayWorld, events: number) {
    return requestAndWait(this, "/once/", events);
  },
);

When(
  "a stream of {int} events is requested and its caller disconnects after {int} events",
  function (this: RelayWorld, events: number, disconnectAfter: number) {
    this.fixture.disconnectAfterEvents = disconnectAfter;
    return requestAndWait(this, "/draft/", events);
  },
);

Given("every host responds with status 500", function (this: RelayWorld) {
  for (let i = 0; i < 4; i++) {
    const script = { kind: "status", status: 500 } as const;
    this.fixture.upstreams.setScript(`counter-${i}`, script);
  }
});

When(
  "an order is looked up, and each host that receives it leaves the list",
  async function (this: RelayWorld) {
    const { fixture } = this;
    this.response = fixture.sendRequest("/look/");
    for (let ms = 0; ms < 2_000; ms++) {
      for (const { host } of fixture.upstreams.attempts) fixture.withdraw(host);
      await fixture.timers.run(1);
    }
  },
);

Then(
  "the host list has lost {int} hosts after {int} attempts",
  function (this: RelayWorld, hosts: number, attempts: number) {
    const { status, isComplete } = this.response;
    assert.deepEqual([status, isComplete], [500, true]);
    assert.equal(countAttemptsByHost(this).size, hosts);
    assert.equal(this.fixture.upstreams.attempts.length, attempts);
  },
);

When("an order is placed", function (this: RelayWorld) {
  return requestAndWait(this, "/order/", 0);
});

When("an order is looked up", function (this: RelayWorld) {
  return requestAndWait(this, "/look/", 0);
});

When(
  "a stream is requested with the key {string}",
  async function (this: RelayWorld, key: string) {
    this.response = this.fixture.sendRequest("/draft/", key);
    await this.fixture.timers.run(1_000);
  },
);

When(
  "{int} streams are requested within a second",
  async function (this: RelayWorld, count: number) {
    this.fixture.upstreams.eventsPerStream = 30;
    this.responses = [];
    for (let i = 0; i < count; i++) {
      this.responses.push(this.fixture.sendRequest("/draft/"));
      await this.fixture.timers.run(1_000 / count);
    }
    await this.fixture.timers.run(6_000);
  },
);

Then(
  "the caller has events {int} to {int} and a complete response after {int} attempt(s)",
  function (this: RelayWorld, from: number, to: number, attempts: number) {
    const ids = Array.from({ length: to - from + 1 }, (_, i) => from + i);
    assert.deepEqual(this.response.eventIds, ids);
    assert.equal(this.response.isComplete, true);
    assert.equal(this.fixture.upstreams.attempts.length, attempts);
  },
);

Then("the response head is the first group's", function (this: RelayWorld) {
  const [first] = this.fixture.upstreams.attempts;
  assert.deepEqual(this.response.headers, ["x-host", first.host]);
});

Then(
  "the response is aborted after {int} events and {int} attempt(s)",
  function (this: RelayWorld, events: number, attempts: number) {
    assert.equal(this.response.eventIds.length, events);
    assert.equal(this.response.isAborted, true);
    assert.equal(this.response.isComplete, false);
    assert.equal(this.fixture.upstreams.attempts.length, attempts);
  },
);

Then(
  "the caller gets {string} after {int} attempt(s)",
  function (this: RelayWorld, kind: string, attempts: number) {
    assert.equal(this.response.refusal?.kind, kind);
    assert.equal(this.fixture.upstreams.attempts.length, attempts);
  },
);

Then(
  "the caller has a complete response with status {int} after {int} attempt(s)",
  function (this: RelayWorld, status: number, attempts: number) {
    assert.equal(this.response.status, status);
    assert.equal(this.response.isComplete, true);
    assert.equal(this.fixture.upstreams.attempts.length, attempts);
  },
);

Then(
  "the caller gets {string} after {int} milliseconds",
  function (this: RelayWorld, kind: string, ms: number) {
    assert.equal(this.response.refusal?.kind, kind);
    assert.equal(this.response.endedMs, ms);
  },
);

Then(
  "the caller gets {string} within {int} milliseconds, with a retry delay",
  function (this: RelayWorld, kind: string, ms: number) {
    assert.equal(this.response.refusal?.kind, kind);
    assert.ok((this.response.endedMs ?? Infinity) <= ms);
    assert.ok((this.response.refusal?.retryAfterMs ?? 0) > 0);
  },
);

Then("some are refused as {string}", function (this: RelayWorld, kind: string) {
  const refused = this.responses.filter((response) =>
    response.refusal?.kind === kind
  );
  assert.ok(refused.length > 0);
  const others = this.responses.filter((response) =>
    response.refusal !== undefined && response.refusal.kind !== kind
  );
  assert.deepEqual(others, []);
});

Then(
  "at least {int} percent of those sent have their first event within the goal",
  function (this: RelayWorld, percent: number) {
    const sent = this.responses.filter((response) =>
      response.firstByteMs !== undefined
    );
    // The goal of the route for drafts is 200 milliseconds.
    const onTime = sent.filter((response) =>
      (response.firstByteMs ?? Infinity) <= 200
    );
    assert.ok(sent.length > 20);
    assert.ok(onTime.length / sent.length >= percent / 100);
  },
);

Then("no group still runs it", function (this: RelayWorld) {
  assert.equal(this.response.eventIds.length, 3);
  assert.equal(this.fixture.upstreams.runningCount, 0);
  assert.equal(this.fixture.relay.inFlight, 0);
});

Then(
  "the caller gets {string} and nothing was sent",
  function (this: RelayWorld, kind: string) {
    assert.equal(this.response.refusal?.kind, kind);
    assert.deepEqual(this.fixture.upstreams.attempts, []);
  },
);

Given(
  "a relay with {int} plain hosts that start again after a crash",
  function (this: RelayWorld, hosts: number) {
    this.fixture = new RelayFixture();
    this.fixture.addCounterHosts(hosts);
    this.fixture.upstreams.onCrash = (id) =>
      this.fixture.restartCounterHost(id);
  },
);

When(
  "the call is sent {int} times, {int} milliseconds apart",
  async function (this: RelayWorld, times: number, gapMs: number) {
    const { catalog, timers } = this.fixture;
    for (let i = 0; i < times; i++) {
      // Keys are trusted only if the catalog was confirmed recently.
      catalog.recordConfirmation(1, catalog.readClocks());
      this.response = this.fixture.sendRequest("/look/", "bindery-key", true);
      await timers.run(gapMs);
    }
  },
);

Given(
  /^a request that crashes every (?:group|host) as it begins to run$/,
  function (this: RelayWorld) {
    this.fixture.upstreams.poisonMarker = "poison";
  },
);

When(
  "it is sent repeatedly along with other requests",
  async function (this: RelayWorld) {
    this.responses = [];
    for (let i = 0; i < 8; i++) {
      // Keys are trusted only if the catalog was confirmed recently.
      this.fixture.catalog.recordConfirmation(
        1,
        this.fixture.catalog.readClocks(),
      );
      for (let other = 0; other < 4; other++) {
        this.responses.push(this.fixture.sendRequest("/draft/"));
      }
      this.response = this.fixture.sendRequest("/draft/", "bindery-key", true);
      await this.fixture.timers.run(1_500);
    }
    await this.fixture.timers.run(6_000);
  },
);

Then(
  /^at most (\d+) (?:groups|hosts) crash and it is refused as "(\w+)"$/,
  function (this: RelayWorld, max: string, kind: string) {
    assert.ok(this.fixture.upstreams.crashedHostIds.length <= Number(max));
    assert.equal(this.response.refusal?.kind, kind);
  },
);

Then("no other request is refused as a suspect", function (this: RelayWorld) {
  const refused = this.responses.filter((response) =>
    response.refusal?.kind === "crashes_upstreams"
  );
  assert.deepEqual(refused, []);
});

Then("no request is refused as a suspect", function (this: RelayWorld) {
  const { suspectRequests } = this.fixture.relay;
  const [suspect] = suspectRequests.shared(
    this.fixture.timers.now(),
    1,
  );
  assert.ok(
    suspect === undefined || !suspectRequests.isRefused(suspect.fingerprint),
  );
});

When(
  "{int} streams of unknown models are requested",
  async function (this: RelayWorld, count: number) {
    this.fixture.sendRequest("/draft/");
    for (let i = 0; i < count; i++) {
      this.fixture.sendRequest("/draft/", "bindery-key", false, `unknown-${i}`);
    }
    await this.fixture.timers.run(100);
  },
);

Then(
  "the demand contains only {string}",
  function (this: RelayWorld, model: string) {
    const demand = this.fixture.relay.demand.engineMsPerSecond(
      this.fixture.timers.now(),
    );
    assert.deepEqual(Object.keys(demand), [model]);
  },
);

Then("its log events are {string}", function (this: RelayWorld, names: string) {
  const { events } = this.fixture.log;
  const lines = events.filter((line) => line.fields.request === "request-0");
  assert.equal(lines.map((line) => line.event).join(", "), names);
});

Then(
  "the metrics count {int} request as {string}, {int} attempt as {string} and {int} first byte",
  async function (
    this: RelayWorld,
    requests: number,
    outcome: string,
    attempts: number,
    attemptOutcome: string,
    firstBytes: number,
  ) {
    const text = await this.fixture.metrics.registry.metrics();
    const assertIncludes = (line: string) =>
      assert.ok(text.includes(line), line);
    assertIncludes(
      `oleander_requests_total{route="draft",outcome="${outcome}"} ${requests}`,
    );
    assertIncludes(
      `oleander_attempts_total{outcome="${attemptOutcome}"} ${attempts}`,
    );
    assertIncludes(
      `oleander_first_byte_seconds_count{route="draft"} ${firstBytes}`,
    );
    assertIncludes("oleander_requests_in_flight 0");
  },
);
