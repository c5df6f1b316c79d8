/**
 * Steps of relay.feature that test single components of the relay.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import { Confirmation } from "../../src/core/catalog/confirmation.ts";
import { RouteTable } from "../../src/core/catalog/route_table.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import {
  ColdHostLimiter,
  coldHostQuota,
} from "../../src/core/relay/cold_host_limiter.ts";
import { FleetRetryBudget } from "../../src/core/relay/fleet_retry_budget.ts";
import { StreamSplice } from "../../src/core/streams/mod.ts";
import { LineBuffer } from "../../src/logging/line_buffer.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import { streamEvent } from "../../src/standins/fleet/scripted_upstreams.ts";
import { RelayFixture } from "./relay_fixture.ts";

/** State that the steps of one scenario share. */
interface RelayComponentsWorld {
  fixture: RelayFixture;
  confirmation: Confirmation;
  clocks: { monotonic: number; wall: number };
  catalog: CatalogHolder;
  routes: RouteTable;
  retries: number[];
  coldRequests: number[];
  spliced: string | undefined;
  registry: HostRegistry;
  written: string[];
  lineBuffer: LineBuffer;
  timers: VirtualTimers;
}

Given("a confirmation recorded now", function (this: RelayComponentsWorld) {
  this.clocks = { monotonic: 1_000, wall: 50_000 };
  this.confirmation = new Confirmation(
    () => this.clocks.monotonic,
    () => this.clocks.wall,
  );
  this.confirmation.record(this.confirmation.readClocks());
});

When(
  "the monotonic clock stops while the wall clock advances {int} seconds",
  function (this: RelayComponentsWorld, seconds: number) {
    this.clocks.wall += seconds * 1_000;
  },
);

When(
  "the wall clock is set back {int} seconds",
  function (this: RelayComponentsWorld, seconds: number) {
    this.clocks.wall -= seconds * 1_000;
  },
);

Then(
  "the confirmation is {int} seconds old",
  function (this: RelayComponentsWorld, seconds: number) {
    assert.equal(this.confirmation.ageMs, seconds * 1_000);
  },
);

Then(
  "the confirmation is {int} seconds old by the monotonic clock",
  function (this: RelayComponentsWorld, seconds: number) {
    assert.equal(this.confirmation.ageMs, seconds * 1_000);
  },
);

Given(
  "a catalog holder with version {int}",
  function (this: RelayComponentsWorld, version: number) {
    this.catalog = new CatalogHolder(() => 0, () => 0);
    this.catalog.installIfNewer(exampleCatalog(version));
  },
);

When(
  "version {int} is received",
  function (this: RelayComponentsWorld, version: number) {
    this.catalog.installIfNewer(exampleCatalog(version));
  },
);

Then(
  "version {int} is in force",
  function (this: RelayComponentsWorld, version: number) {
    assert.equal(this.catalog.version, version);
  },
);

Given(
  "routes with the prefixes {string}, {string} and {string}",
  function (this: RelayComponentsWorld, a: string, b: string, c: string) {
    const prefixes = [a, b, c];
    const catalog = exampleCatalog(1);
    const [route] = catalog.routes;
    const routes = prefixes.map((pathPrefix) => ({ ...route, pathPrefix }));
    this.routes = new RouteTable({ ...catalog, routes });
  },
);

Then(
  "{string} is routed to {string}, {string} to {string}, {string} to {string} and {string} to {string}",
  function (
    this: RelayComponentsWorld,
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
  "{int} processes that share a budget of 0.2 retries per request and {int} more in 10 seconds",
  function (this: RelayComponentsWorld, _processes: number, _slack: number) {
    // The next step creates the budgets, with the numbers of this text.
    this.retries = [];
  },
);

When(
  "each has {int} requests in 10 seconds that all need a retry",
  function (this: RelayComponentsWorld, requests: number) {
    const bounds = { ratio: 0.2, windowMs: 10_000, slack: 136 };
    const budgets = Array.from(
      { length: 5 },
      () => new FleetRetryBudget(() => bounds, () => 5),
    );
    for (let now = 0; now < 40_000; now += 10_000 / requests) {
      for (const budget of budgets) {
        budget.recordRequest("pool", now);
        if (budget.spend("pool", now)) this.retries.push(now);
      }
    }
  },
);

Then(
  "at most {int} retries are sent in any 10 seconds",
  function (this: RelayComponentsWorld, max: number) {
    assert.ok(this.retries.length > 100);
    for (const from of this.retries) {
      const inWindow = this.retries.filter((at) =>
        at >= from && at < from + 10_000
      );
      assert.ok(inWindow.length <= max, `${inWindow.length} from ${from}`);
    }
  },
);

Given(
  "{int} processes that each send as many requests as allowed to a cold host with a limit of {int} per second",
  function (this: RelayComponentsWorld, processes: number, perSecond: number) {
    this.coldRequests = [];
    const limiters = Array.from(
      { length: processes },
      () => new ColdHostLimiter(),
    );
    for (let now = 0; now < 5_000; now += 3) {
      for (const [rank, limiter] of limiters.entries()) {
        // The placer multiplies the limit by 1.1 too.
        const quota = coldHostQuota(perSecond * 1.1, processes, rank);
        if (!limiter.isAllowed("h", quota, now)) continue;
        limiter.recordStart("h", now);
        this.coldRequests.push(now);
      }
    }
  },
);

Then(
  "the host gets at most {int} requests in any second",
  function (this: RelayComponentsWorld, max: number) {
    assert.ok(this.coldRequests.length > 50);
    for (const from of this.coldRequests) {
      const inWindow = this.coldRequests.filter((at) =>
        at >= from && at < from + 1e3
      );
      assert.ok(inWindow.length <= max);
    }
  },
);

function splice(attempts: readonly Buffer[], size: number): string | undefined {
  const stream = new StreamSplice({
    lastEventId: undefined,
    isResumable: true,
    numbering: "consecutive",
  });
  let output = "";
  for (const bytes of attempts) {
    for (let at = 0; at < bytes.length; at += size) {
      const next = stream.push(bytes.subarray(at, at + size));
      if (next.fault !== undefined) return undefined;
      for (const chunk of next.chunks) output += Buffer.from(chunk).toString();
    }
    stream.beginAttempt();
  }
  return output;
}

Given(
  "events {int} to {int} of two overlapping attempts, in chunks of {int} bytes",
  function (
    this: RelayComponentsWorld,
    from: number,
    to: number,
    size: number,
  ) {
    const ids = Array.from({ length: to - from + 1 }, (_, i) => from + i);
    // The first attempt breaks off within event 6; the second begins at event 4.
    const first = Buffer.concat([
      ...ids.slice(0, 5).map(streamEvent),
      streamEvent(6),
    ]);
    const second = Buffer.concat(ids.slice(3).map(streamEvent));
    this.spliced = splice([first.subarray(0, -4), second], size);
  },
);

Then(
  "the spliced stream contains events {int} to {int} exactly once",
  function (this: RelayComponentsWorld, from: number, to: number) {
    const ids = Array.from({ length: to - from + 1 }, (_, i) => from + i);
    assert.equal(this.spliced, Buffer.concat(ids.map(streamEvent)).toString());
  },
);

Given(
  "events {int} to {int} followed by event {int}",
  function (
    this: RelayComponentsWorld,
    from: number,
    to: number,
    next: number,
  ) {
    const ids = Array.from({ length: to - from + 1 }, (_, i) => from + i);
    const bytes = Buffer.concat([...ids.map(streamEvent), streamEvent(next)]);
    this.spliced = splice([bytes], 16);
  },
);

Then("the spliced stream is rejected", function (this: RelayComponentsWorld) {
  assert.equal(this.spliced, undefined);
});

Given(
  "a host that is missing from the host list after an outage",
  function (this: RelayComponentsWorld) {
    this.fixture = new RelayFixture();
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
  function (this: RelayComponentsWorld, ms: number) {
    this.registry.expire(1_000 + ms - 1);
    assert.ok(this.registry.get("h"));
    this.registry.expire(1_000 + ms);
    assert.equal(this.registry.get("h"), undefined);
  },
);

Given("a log buffer with a slow reader", function (this: RelayComponentsWorld) {
  this.timers = new VirtualTimers();
  this.written = [];
  this.lineBuffer = new LineBuffer(this.timers, (text) => {
    this.written.push(text);
    return false;
  });
});

When(
  "{int} long lines are written at once",
  async function (this: RelayComponentsWorld, count: number) {
    for (let i = 0; i < count; i++) this.lineBuffer.push("x".repeat(1_000));
    await this.timers.run(150);
  },
);

Then(
  "memory stays bounded and the number of dropped lines is logged",
  function (this: RelayComponentsWorld) {
    const text = this.written.join("");
    assert.ok(text.length < 300_000);
    const kept = text.split("\n").filter((line) => line.startsWith("x")).length;
    assert.match(text, new RegExp(`"count":${10_000 - kept}\\b`));
  },
);
