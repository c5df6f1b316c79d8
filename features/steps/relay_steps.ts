import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import { Confirmation } from "../../src/core/catalog/confirmation.ts";
import { RouteTable } from "../../src/core/catalog/route_table.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import { ColdPace, coldQuota } from "../../src/core/relay/cold_pace.ts";
import { RetryAllowance } from "../../src/core/relay/retry_allowance.ts";
import { StreamSplice } from "../../src/core/relay/stream_splice.ts";
import { LineBuffer } from "../../src/logging/line_buffer.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import { event } from "../../src/standins/fleet/scripted_upstreams.ts";
import type { CallerView } from "./relay_world.ts";
import { RelayedFleet } from "./relay_world.ts";

interface RelayWorld {
  fleet: RelayedFleet;
  view: CallerView;
  views: CallerView[];
  confirmation: Confirmation;
  clocks: { monotonic: number; wall: number };
  holder: CatalogHolder;
  routes: RouteTable;
  repeats: number[];
  coldSends: number[];
  spliced: string | undefined;
  registry: HostRegistry;
  written: string[];
  lines: LineBuffer;
  timers: VirtualTimers;
}

Given(
  "a relay before {int} groups of {string}",
  function (this: RelayWorld, count: number, model: string) {
    this.fleet = new RelayedFleet();
    this.fleet.addGroups(count, model);
  },
);

Given(
  "a relay before {int} hosts of the counter service",
  function (this: RelayWorld, count: number) {
    this.fleet = new RelayedFleet();
    this.fleet.addCounters(count);
  },
);

Given(
  "the first group falls silent after {int} events",
  function (this: RelayWorld, events: number) {
    this.fleet.upstreams.scriptFirst({ kind: "silent_after", events });
  },
);

Given(
  "the first group is reset within event {int}",
  function (this: RelayWorld, id: number) {
    this.fleet.upstreams.scriptFirst({ kind: "reset_after", events: id - 1 });
  },
);

Given(
  "every group pauses for {int} milliseconds after its first {int} events",
  function (this: RelayWorld, pauseMs: number, firstEvents: number) {
    for (const id of ["i-0-0", "i-1-0"]) {
      this.fleet.upstreams.script(id, {
        kind: "pause_after",
        firstEvents,
        pauseMs,
      });
    }
  },
);

Given("the first host is reset before it answers", function (this: RelayWorld) {
  this.fleet.upstreams.scriptFirst({ kind: "reset_unanswered" });
});

Given("the first host refuses as not run", function (this: RelayWorld) {
  this.fleet.upstreams.scriptFirst({ kind: "refuse_not_run" });
});

Given(
  "the first host answers with status {int}",
  function (this: RelayWorld, status: number) {
    this.fleet.upstreams.scriptFirst({ kind: "status", status });
  },
);

Given("every host is silent", function (this: RelayWorld) {
  for (const id of ["counter-0", "counter-1"]) {
    this.fleet.upstreams.script(id, { kind: "silent" });
  }
});

Given(
  "the catalog was last confirmed {int} seconds ago",
  async function (this: RelayWorld, seconds: number) {
    await this.fleet.timers.run(seconds * 1_000);
  },
);

Given(
  "a peer confirmed the same version {int} second ago",
  function (this: RelayWorld, seconds: number) {
    this.fleet.catalog.confirmedByPeer(1, seconds * 1_000);
  },
);

async function askFor(world: RelayWorld, path: string, events: number) {
  world.fleet.upstreams.events = events;
  world.view = world.fleet.ask(path);
  await world.fleet.timers.run(6_000);
}

When(
  "a stream of {int} events is asked for",
  function (this: RelayWorld, events: number) {
    return askFor(this, "/draft/", events);
  },
);

When(
  "a stream of {int} events that may not be resumed is asked for",
  function (this: RelayWorld, events: number) {
    return askFor(this, "/once/", events);
  },
);

When(
  "a stream of {int} events is asked for and its caller leaves after {int} events",
  function (this: RelayWorld, events: number, leaveAfter: number) {
    this.fleet.leaveAfterEvents = leaveAfter;
    return askFor(this, "/draft/", events);
  },
);

When("an order is placed", function (this: RelayWorld) {
  return askFor(this, "/order/", 0);
});

When("an order is looked up", function (this: RelayWorld) {
  return askFor(this, "/look/", 0);
});

When(
  "a stream is asked for with the key {string}",
  async function (this: RelayWorld, key: string) {
    this.view = this.fleet.ask("/draft/", key);
    await this.fleet.timers.run(1_000);
  },
);

When(
  "{int} streams are asked for within a second",
  async function (this: RelayWorld, count: number) {
    this.fleet.upstreams.events = 30;
    this.views = [];
    for (let i = 0; i < count; i++) {
      this.views.push(this.fleet.ask("/draft/"));
      await this.fleet.timers.run(1_000 / count);
    }
    await this.fleet.timers.run(6_000);
  },
);

Then(
  "the caller has events {int} to {int} and a whole answer after {int} send(s)",
  function (this: RelayWorld, from: number, to: number, sends: number) {
    const ids = Array.from({ length: to - from + 1 }, (_, i) => from + i);
    assert.deepEqual(this.view.eventIds, ids);
    assert.equal(this.view.isWhole, true);
    assert.equal(this.fleet.upstreams.sends.length, sends);
  },
);

Then("the head is the first group's", function (this: RelayWorld) {
  const [first] = this.fleet.upstreams.sends;
  assert.deepEqual(this.view.headers, ["x-host", first.host]);
});

Then(
  "the answer is cut after {int} events and {int} send",
  function (this: RelayWorld, events: number, sends: number) {
    assert.equal(this.view.eventIds.length, events);
    assert.equal(this.view.isCut, true);
    assert.equal(this.view.isWhole, false);
    assert.equal(this.fleet.upstreams.sends.length, sends);
  },
);

Then(
  "the caller gets {string} after {int} send",
  function (this: RelayWorld, kind: string, sends: number) {
    assert.equal(this.view.refusal?.kind, kind);
    assert.equal(this.fleet.upstreams.sends.length, sends);
  },
);

Then(
  "the caller has a whole answer with status {int} after {int} send(s)",
  function (this: RelayWorld, status: number, sends: number) {
    assert.equal(this.view.status, status);
    assert.equal(this.view.isWhole, true);
    assert.equal(this.fleet.upstreams.sends.length, sends);
  },
);

Then(
  "the caller gets {string} after {int} milliseconds",
  function (this: RelayWorld, kind: string, ms: number) {
    assert.equal(this.view.refusal?.kind, kind);
    assert.equal(this.view.endedMs, ms);
  },
);

Then(
  "the caller gets {string} within {int} milliseconds, with a time to come back",
  function (this: RelayWorld, kind: string, ms: number) {
    assert.equal(this.view.refusal?.kind, kind);
    assert.ok((this.view.endedMs ?? Infinity) <= ms);
    assert.ok((this.view.refusal?.retryAfterMs ?? 0) > 0);
  },
);

Then("some are refused as {string}", function (this: RelayWorld, kind: string) {
  const refused = this.views.filter((view) => view.refusal?.kind === kind);
  assert.ok(refused.length > 0);
  const others = this.views.filter((view) =>
    view.refusal !== undefined && view.refusal.kind !== kind
  );
  assert.deepEqual(others, []);
});

Then(
  "{int} in 100 of those sent have their first event within the goal",
  function (this: RelayWorld, percent: number) {
    const sent = this.views.filter((view) => view.firstMs !== undefined);
    const onTime = sent.filter((view) => (view.firstMs ?? Infinity) <= 200);
    assert.ok(sent.length > 20);
    assert.ok(onTime.length / sent.length >= percent / 100);
  },
);

Then("no group works on it any more", function (this: RelayWorld) {
  assert.equal(this.view.eventIds.length, 3);
  assert.equal(this.fleet.upstreams.working, 0);
  assert.equal(this.fleet.relay.inFlight, 0);
});

Then(
  "the caller gets {string} and nothing was sent",
  function (this: RelayWorld, kind: string) {
    assert.equal(this.view.refusal?.kind, kind);
    assert.deepEqual(this.fleet.upstreams.sends, []);
  },
);

Given("a confirmation taken now", function (this: RelayWorld) {
  this.clocks = { monotonic: 1_000, wall: 50_000 };
  this.confirmation = new Confirmation(
    () => this.clocks.monotonic,
    () => this.clocks.wall,
  );
  this.confirmation.confirmed(this.confirmation.now());
});

When(
  "the monotonic clock stands still while the time of day moves {int} seconds",
  function (this: RelayWorld, seconds: number) {
    this.clocks.wall += seconds * 1_000;
  },
);

When(
  "the time of day is set back {int} seconds",
  function (this: RelayWorld, seconds: number) {
    this.clocks.wall -= seconds * 1_000;
  },
);

Then(
  "the confirmation is {int} seconds old",
  function (this: RelayWorld, seconds: number) {
    assert.equal(this.confirmation.ageMs, seconds * 1_000);
  },
);

Then(
  "the confirmation is {int} seconds old by the monotonic clock",
  function (this: RelayWorld, seconds: number) {
    assert.equal(this.confirmation.ageMs, seconds * 1_000);
  },
);

Given(
  "a holder of catalog version {int}",
  function (this: RelayWorld, version: number) {
    this.holder = new CatalogHolder(() => 0, () => 0);
    this.holder.offer(exampleCatalog(version));
  },
);

When("version {int} is offered", function (this: RelayWorld, version: number) {
  this.holder.offer(exampleCatalog(version));
});

Then(
  "version {int} is in force",
  function (this: RelayWorld, version: number) {
    assert.equal(this.holder.version, version);
  },
);

Given(
  "routes with the prefixes {string}, {string} and {string}",
  function (this: RelayWorld, a: string, b: string, c: string) {
    const prefixes = [a, b, c];
    const catalog = exampleCatalog(1);
    const [route] = catalog.routes;
    const routes = prefixes.map((pathPrefix) => ({ ...route, pathPrefix }));
    this.routes = new RouteTable({ ...catalog, routes });
  },
);

Then(
  "{string} goes to {string}, {string} to {string}, {string} to {string} and {string} to {string}",
  function (
    this: RelayWorld,
    p1: string,
    r1: string,
    p2: string,
    r2: string,
    p3: string,
    r3: string,
    p4: string,
    r4: string,
  ) {
    for (const [path, prefix] of [[p1, r1], [p2, r2], [p3, r3], [p4, r4]]) {
      const route = this.routes.find("album.example", path);
      assert.equal(route?.pathPrefix, prefix, path);
    }
    assert.equal(this.routes.find("other.example", p1), undefined);
  },
);

Given(
  "{int} processes that share a budget of 0.2 repeats a request and {int} more in 10 seconds",
  function (this: RelayWorld, _processes: number, _slack: number) {
    this.repeats = [];
  },
);

When(
  "each has {int} requests in 10 seconds that all want to be repeated",
  function (this: RelayWorld, requests: number) {
    const bounds = { ratio: 0.2, windowMs: 10_000, slack: 136 };
    const all = Array.from(
      { length: 5 },
      () => new RetryAllowance(() => bounds, () => 5),
    );
    for (let now = 0; now < 40_000; now += 10_000 / requests) {
      for (const allowance of all) {
        allowance.request("pool", now);
        if (allowance.spend("pool", now)) this.repeats.push(now);
      }
    }
  },
);

Then(
  "at most {int} repeats were sent in any 10 seconds",
  function (this: RelayWorld, most: number) {
    assert.ok(this.repeats.length > 100);
    for (const from of this.repeats) {
      const inWindow = this.repeats.filter((at) =>
        at >= from && at < from + 10_000
      );
      assert.ok(inWindow.length <= most, `${inWindow.length} from ${from}`);
    }
  },
);

Given(
  "{int} processes that each send as much as they may to a host that bears {int} a second",
  function (this: RelayWorld, processes: number, perSecond: number) {
    this.coldSends = [];
    const paces = Array.from({ length: processes }, () => new ColdPace());
    for (let now = 0; now < 5_000; now += 3) {
      for (const [rank, pace] of paces.entries()) {
        const quota = coldQuota(perSecond * 1.1, processes, rank);
        if (!pace.mayStart("h", quota, now)) continue;
        pace.started("h", now);
        this.coldSends.push(now);
      }
    }
  },
);

Then(
  "the host gets at most {int} requests in any second",
  function (this: RelayWorld, most: number) {
    assert.ok(this.coldSends.length > 50);
    for (const from of this.coldSends) {
      const sends = this.coldSends.filter((at) =>
        at >= from && at < from + 1e3
      );
      assert.ok(sends.length <= most);
    }
  },
);

function splice(attempts: readonly Buffer[], size: number): string | undefined {
  const stream = new StreamSplice(undefined);
  let passed = "";
  for (const bytes of attempts) {
    for (let at = 0; at < bytes.length; at += size) {
      const part = stream.push(bytes.subarray(at, at + size));
      if (part === undefined) return undefined;
      for (const chunk of part.chunks) passed += Buffer.from(chunk).toString();
    }
    stream.restart();
  }
  return passed;
}

Given(
  "events {int} to {int} cut into pieces of {int} bytes, of two attempts that overlap",
  function (this: RelayWorld, from: number, to: number, size: number) {
    const ids = Array.from({ length: to - from + 1 }, (_, i) => from + i);
    const first = Buffer.concat([...ids.slice(0, 5).map(event), event(6)]);
    const second = Buffer.concat(ids.slice(3).map(event));
    this.spliced = splice([first.subarray(0, -4), second], size);
  },
);

Then(
  "the spliced stream holds events {int} to {int} once each",
  function (this: RelayWorld, from: number, to: number) {
    const ids = Array.from({ length: to - from + 1 }, (_, i) => from + i);
    assert.equal(this.spliced, Buffer.concat(ids.map(event)).toString());
  },
);

Given(
  "events {int} to {int} followed by event {int}",
  function (this: RelayWorld, from: number, to: number, next: number) {
    const ids = Array.from({ length: to - from + 1 }, (_, i) => from + i);
    const bytes = Buffer.concat([...ids.map(event), event(next)]);
    this.spliced = splice([bytes], 16);
  },
);

Then("the spliced stream is broken", function (this: RelayWorld) {
  assert.equal(this.spliced, undefined);
});

Given(
  "a host that a listing after an outage does not name",
  function (this: RelayWorld) {
    this.fleet = new RelayedFleet();
    this.registry = new HostRegistry();
    this.registry.announce({
      id: "h",
      service: "pool",
      address: "h:1",
      zone: "z",
      slots: 1,
      draining: false,
      coldLeftMs: 0,
      born: 1,
      domain: "d",
      staged: [],
      models: [],
      membership: undefined,
    }, 0);
    this.registry.replaceAll([], 1_000, true);
  },
);

Then(
  "it is kept for {int} milliseconds and then dropped",
  function (this: RelayWorld, ms: number) {
    this.registry.expire(1_000 + ms - 1);
    assert.ok(this.registry.get("h"));
    this.registry.expire(1_000 + ms);
    assert.equal(this.registry.get("h"), undefined);
  },
);

Given("a log buffer whose reader is slow", function (this: RelayWorld) {
  this.timers = new VirtualTimers();
  this.written = [];
  this.lines = new LineBuffer(this.timers, (text) => {
    this.written.push(text);
    return false;
  });
});

When(
  "{int} long lines are written at once",
  async function (this: RelayWorld, count: number) {
    for (let i = 0; i < count; i++) this.lines.push("x".repeat(1_000));
    await this.timers.run(150);
  },
);

Then(
  "memory stays bounded and the number of dropped lines is told",
  function (this: RelayWorld) {
    const text = this.written.join("");
    assert.ok(text.length < 300_000);
    const kept = text.split("\n").filter((line) => line.startsWith("x")).length;
    assert.match(text, new RegExp(`"count":${10_000 - kept}\\b`));
  },
);

Given(
  "a request that crashes every group as it begins to run",
  function (this: RelayWorld) {
    this.fleet.upstreams.poison = "poison";
  },
);

When(
  "it is sent again and again with other requests beside it",
  async function (this: RelayWorld) {
    this.views = [];
    for (let i = 0; i < 8; i++) {
      this.fleet.catalog.confirmed(1, this.fleet.catalog.now());
      for (let other = 0; other < 4; other++) {
        this.views.push(this.fleet.ask("/draft/"));
      }
      this.view = this.fleet.ask("/draft/", "bindery-key", true);
      await this.fleet.timers.run(1_500);
    }
    await this.fleet.timers.run(6_000);
  },
);

Then(
  "at most {int} groups crash by it and it is refused as {string}",
  function (this: RelayWorld, most: number, kind: string) {
    assert.ok(this.fleet.upstreams.crashed.length <= most);
    assert.equal(this.view.refusal?.kind, kind);
  },
);

Then("the other requests are not refused", function (this: RelayWorld) {
  const refused = this.views.filter((view) =>
    view.refusal?.kind === "crashes_upstreams"
  );
  assert.deepEqual(refused, []);
});

Then("nobody is refused", function (this: RelayWorld) {
  const { suspects } = this.fleet.relay;
  const [suspect] = suspects.news(this.fleet.timers.now());
  assert.ok(suspect === undefined || !suspects.isRefused(suspect.fingerprint));
});

When(
  "{int} streams of unknown models are asked for",
  async function (this: RelayWorld, count: number) {
    this.fleet.ask("/draft/");
    for (let i = 0; i < count; i++) {
      this.fleet.ask("/draft/", "bindery-key", false, `unknown-${i}`);
    }
    await this.fleet.timers.run(100);
  },
);

Then(
  "the demand names only {string}",
  function (this: RelayWorld, model: string) {
    const demand = this.fleet.relay.demand.perSecond(this.fleet.timers.now());
    assert.deepEqual(Object.keys(demand), [model]);
  },
);

Then("its lines are {string}", function (this: RelayWorld, names: string) {
  const { events } = this.fleet.log;
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
    const text = await this.fleet.metrics.registry.metrics();
    const has = (line: string) => assert.ok(text.includes(line), line);
    has(
      `oleander_requests_total{route="draft",outcome="${outcome}"} ${requests}`,
    );
    has(`oleander_attempts_total{outcome="${attemptOutcome}"} ${attempts}`);
    has(`oleander_first_byte_seconds_count{route="draft"} ${firstBytes}`);
    has("oleander_requests_in_flight 0");
  },
);
