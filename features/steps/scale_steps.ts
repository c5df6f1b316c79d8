/**
 * Steps of scale.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { LoopMonitor } from "../../src/base/loop_monitor.ts";
import { failure } from "../../src/base/outcome.ts";
import { Random } from "../../src/base/random.ts";
import type { Timers } from "../../src/base/timers.ts";
import { sleep } from "../../src/base/timers.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import {
  HostRegistry,
  UNLISTED_MEMBER_MS,
} from "../../src/core/fleet/host_registry.ts";
import { groupKey } from "../../src/core/fleet/replica.ts";
import type { LoadStatus } from "../../src/core/gossip/messages.ts";
import { CommandSender } from "../../src/core/orchestrator/command_sender.ts";
import { HostStateTracker } from "../../src/core/orchestrator/host_state_tracker.ts";
import { ReportCollector } from "../../src/core/orchestrator/report_collector.ts";
import { LoadTracker } from "../../src/core/relay/load_tracker.ts";
import type { PlacementQuery } from "../../src/core/relay/placer.ts";
import type { QueueEntry } from "../../src/core/relay/request_queue.ts";
import { RequestQueue } from "../../src/core/relay/request_queue.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";
import { RelayFixture } from "./relay_fixture.ts";
import { RecordedLog, SimulatedFleet } from "./simulated_fleet.ts";

/** Timers whose clock a test sets, to play a loop that is behind. */
class ManualTimers implements Pick<Timers, "now" | "subscribe"> {
  time = 0;
  tick: () => void = () => {};

  now(): number {
    return this.time;
  }

  subscribe(_periodMs: number, callback: () => void) {
    this.tick = callback;
    return { cancel() {} };
  }
}

interface ScaleWorld {
  differences: string[];
  hosts: ServingHost[];
  asked: { id: string; at: number }[];
  maxInFlight: number;
  timers: VirtualTimers;
  collector: ReportCollector;
  states: HostStateTracker;
  manual: ManualTimers;
  monitor: LoopMonitor;
  fleet: SimulatedFleet;
  fixture: RelayFixture;
  commands: number;
  reconcileMs: number;
}

function createHost(id: string, group?: string): ServingHost {
  return {
    id,
    address: `${id}:1`,
    service: "pool",
    zone: "zone-0",
    slots: 18,
    draining: false,
    coldLeftMs: 0,
    born: 1,
    domain: "domain-0",
    staged: ["small"],
    models: ["small"],
    membership: group === undefined
      ? undefined
      : { group, epoch: 1, rank: Number(id.at(-1)), state: "open" },
  };
}

When(
  "the groups are compared with a walk after each of {int} random changes",
  function (this: ScaleWorld, changes: number) {
    this.differences = [];
    const random = new Random(1);
    const registry = new HostRegistry();
    const unlisted = new Map<string, { host: ServingHost; since: number }>();
    for (let i = 0; i < changes; i++) {
      const now = i * 10;
      const id = `i-${random.int(40)}`;
      if (random.float() < 0.2) {
        const host = registry.get(id);
        if ((host?.membership?.rank ?? 0) > 0 && host !== undefined) {
          unlisted.set(id, { host, since: now });
        }
        registry.withdraw(id, now, false);
      } else {
        const group = random.float() < 0.2 ? undefined : `g-${random.int(6)}`;
        registry.announce(createHost(id, group), now);
        unlisted.delete(id);
      }
      registry.expire(now);
      for (const [key, { since }] of unlisted) {
        if (now - since >= UNLISTED_MEMBER_MS) unlisted.delete(key);
      }
      const kept = [...registry.groups].map(([key, { members }]) =>
        `${key}: ${members.map((host) => host.id).sort()}`
      );
      const walked = walkGroups(
        [...registry.hosts()],
        [...unlisted.values()].map(({ host }) => host),
      );
      if (kept.sort().join() !== walked.sort().join()) {
        this.differences.push(`after change ${i}`);
      }
    }
  },
);

function walkGroups(
  listed: readonly ServingHost[],
  unlisted: readonly ServingHost[],
): string[] {
  const keys = new Set(listed.flatMap((host) => keyOf(host) ?? []));
  return [...keys].map((key) => {
    const members = [...listed, ...unlisted].filter((host) =>
      keyOf(host) === key
    );
    return `${key}: ${members.map((host) => host.id).sort()}`;
  });
}

function keyOf({ membership }: ServingHost): string | undefined {
  return membership && groupKey(membership.group, membership.epoch);
}

When(
  "the sums of loads are compared with a walk after each of {int} random changes",
  function (this: ScaleWorld, changes: number) {
    this.differences = [];
    const random = new Random(2);
    const tracker = new LoadTracker();
    const reports = new Map<string, { loads: LoadStatus[]; sentAt: number }>();
    let now = 0;
    for (let i = 0; i < changes; i++) {
      now += random.int(90);
      const node = `node-${random.int(6)}`;
      const loads = Array.from({ length: random.int(4) }, (_, k) => ({
        key: `g-${k}`,
        inFlight: random.int(5),
        pendingPromptTokens: random.int(900),
        silentMs: random.int(50),
      }));
      const ageMs = random.int(300);
      tracker.recordPeerLoads(node, loads, now, ageMs);
      reports.set(node, { loads, sentAt: now - ageMs });
      if (random.float() < 0.05) tracker.expire(now);
      for (let k = 0; k < 4; k++) {
        const fresh = [...reports.values()].filter(({ sentAt }) =>
          now - sentAt <= 1_000
        );
        const walked = fresh.flatMap((report) =>
          report.loads.filter(({ key }) => key === `g-${k}`)
        ).reduce((sum, load) => sum + load.inFlight, 0);
        const kept = tracker.totalLoad(`g-${k}`, now).inFlight;
        if (kept !== walked) this.differences.push(`${kept}, not ${walked}`);
      }
    }
  },
);

When(
  "the queued requests are compared with a walk after each of {int} random changes",
  function (this: ScaleWorld, changes: number) {
    this.differences = [];
    const random = new Random(3);
    const [service] = exampleCatalog(1).services;
    let room = -10_000;
    const placed: string[] = [];
    // A replica has room for requests with up to `room` prompt tokens, and for
    // larger ones that are less urgent.
    const fits = (query: PlacementQuery) =>
      query.promptTokens - query.firstByteLimitMs <= room - 100;
    const queue = new RequestQueue({
      place: (query) =>
        fits(query)
          ? {
            kind: "send",
            expectedMs: 1,
            forecast: undefined,
            load: { inFlight: 0, pendingPromptTokens: 0 },
            considered: 1,
            replica: REPLICA,
          }
          : { kind: "full", expectedMs: 900 },
      costOf: ({ promptTokens }) => ({ engineMs: 1, leastMs: promptTokens }),
      rateOf: () => 1,
      position: () => ({ size: 1, rank: 0 }),
      onReturned: () => {},
    });
    const waiting: (QueueEntry & { id: string })[] = [];
    for (let i = 0; i < changes; i++) {
      // No request fits.
      room = -10_000;
      const entry = {
        id: `r${i}`,
        service,
        model: "small",
        promptTokens: 1 + random.int(1_000),
        firstByteLimitMs: 100 + random.int(3),
        gapLimitMs: Infinity,
        arrivedAt: i,
        queueDeadline: i + random.int(60),
        priority: random.int(3),
        isRetry: false,
        customer: undefined,
        fingerprint: `r${i}`,
        contract: { route: { goalMs: 10_000 }, deadline: i + 10_000 },
        firstByteMs: undefined,
        excludes: () => false,
        onPlaced: () => placed.push(entry.id),
        onNotPlaced: () => {},
      };
      queue.placeOrEnqueue(entry, i);
      if (entry.queueDeadline > i) waiting.push(entry);
      if (random.float() < 0.7) continue;
      room = random.int(1_000);
      placed.length = 0;
      const expected = waiting
        .filter(fits)
        .sort((a, b) => a.priority - b.priority || a.arrivedAt - b.arrivedAt)
        .map((other) => other.id);
      queue.dispatch(i);
      if (placed.join() !== expected.join()) {
        this.differences.push(`${placed.join()}, not ${expected.join()}`);
      }
      const gone = new Set(placed);
      const rest = waiting.filter((other) =>
        !gone.has(other.id) && other.queueDeadline > i
      );
      waiting.splice(0, waiting.length, ...rest);
      if (queue.size !== waiting.length) this.differences.push("size");
    }
  },
);

const REPLICA = {
  key: "g@1",
  service: "pool",
  model: "small",
  host: createHost("i-0"),
  members: ["i-0"],
  isCrossDomain: false,
  hasUnlistedMember: false,
};

Then("they never differed", function (this: ScaleWorld) {
  assert.deepEqual(this.differences, []);
});

Given(
  "{int} hosts, of which {int} are in a broken group and {int} are free",
  function (this: ScaleWorld, count: number, broken: number, free: number) {
    this.hosts = Array.from({ length: count }, (_, i) => {
      if (i < broken) return createHost(`broken-${i}`, "broken");
      if (i < broken + free) return createHost(`free-${i}`);
      return createHost(`serving-${i}`, "serving");
    }).reverse();
  },
);

When(
  "a node gains the lease, and each report takes {int} milliseconds",
  async function (this: ScaleWorld, reportMs: number) {
    this.timers = new VirtualTimers();
    this.asked = [];
    this.maxInFlight = 0;
    let inFlight = 0;
    this.collector = new ReportCollector({
      requestReport: async (host) => {
        this.asked.push({ id: host.id, at: this.timers.now() });
        inFlight += 1;
        this.maxInFlight = Math.max(this.maxInFlight, inFlight);
        await sleep(this.timers, reportMs);
        inFlight -= 1;
        return true;
      },
      onReport: () => {},
    });
    const needs = ["broken", "free", "serving"];
    this.collector.begin(
      this.hosts,
      (host) => needs.indexOf(host.id.split("-")[0]),
    );
    await this.timers.run(500);
  },
);

Then(
  "the hosts of the broken group and then the free ones are asked first",
  function (this: ScaleWorld) {
    const kinds = this.asked.slice(0, 13).map(({ id }) => id.split("-")[0]);
    const expected = [
      ...Array(8).fill("broken"),
      ...Array(4).fill("free"),
      "serving",
    ];
    assert.deepEqual(kinds, expected);
  },
);

Then(
  "at most {int} reports are requested at once",
  function (this: ScaleWorld, limit: number) {
    assert.equal(this.maxInFlight, limit);
  },
);

Then(
  "the state of every host is known after 500 milliseconds",
  function (this: ScaleWorld) {
    const unknown = this.hosts.filter(({ id }) => this.collector.isAwaited(id));
    assert.equal(unknown.length, 0);
  },
);

Given(
  "a fleet whose groups serve, and whose hosts report to a new leader after {int} seconds",
  async function (this: ScaleWorld, seconds: number) {
    this.fleet = new SimulatedFleet(2, 9);
    await this.fleet.run(30_000);
    const { engine, timers } = this.fleet;
    const report = engine.report.bind(engine);
    engine.report = async (host) => {
      await sleep(timers, seconds * 1_000);
      return report(host);
    };
    this.commands = this.fleet.log.named("command").length;
    this.fleet.replaceOrchestrator();
  },
);

When(
  "a host of a group is lost and the new leader has acted for {int} seconds",
  function (this: ScaleWorld, seconds: number) {
    const { hosts, timers } = this.fleet;
    const [, member] = this.fleet.groupOf("small").members;
    hosts.withdraw(member, timers.now(), false);
    return this.fleet.run(seconds * 1_000);
  },
);

When(
  "the new leader has acted for {int} more seconds",
  function (this: ScaleWorld, seconds: number) {
    return this.fleet.run(seconds * 1_000);
  },
);

Then(
  "it has dissolved no group and sent no command",
  function (this: ScaleWorld) {
    const sent = this.fleet.log.named("command").length - this.commands;
    assert.equal(sent, 0);
    assert.equal(this.fleet.log.named("group_dissolving").length, 0);
  },
);

Then("it has dissolved a group", function (this: ScaleWorld) {
  assert.ok(this.fleet.log.named("group_dissolving").length > 0);
});

When(
  "a host doesn't reply to a report request while the event loop is {int} milliseconds behind",
  async function (this: ScaleWorld, lagMs: number) {
    this.timers = new VirtualTimers();
    this.states = new HostStateTracker();
    const silent = failure({ kind: "silent" as const, detail: "timeout" });
    const sender = new CommandSender({
      timers: this.timers,
      control: {
        report: () => Promise.resolve(silent),
        command: () => Promise.resolve(silent),
      },
      states: this.states,
      log: new RecordedLog(),
      isLeader: () => true,
      loopLag: { worstSince: () => lagMs },
    });
    await sender.requestReport(createHost("i-0"));
  },
);

Then(
  /^the host counts as (silent|usable)$/,
  function (this: ScaleWorld, state: string) {
    const { isSilent } = this.states.get(createHost("i-0"), 0);
    assert.equal(isSilent, state === "silent");
  },
);

Given("a loop monitor", function (this: ScaleWorld) {
  this.manual = new ManualTimers();
  this.monitor = new LoopMonitor(this.manual as unknown as Timers);
  this.monitor.start();
});

When(
  "the event loop is blocked for {int} milliseconds",
  function (this: ScaleWorld, ms: number) {
    // Ticks in time; the next one is due 100 ms later.
    for (let i = 0; i < 5; i++) {
      this.manual.time += 100;
      this.manual.tick();
    }
    this.manual.time += ms;
  },
);

Then(
  "a lag of {int} milliseconds is known for work that began before, and none for later work",
  function (this: ScaleWorld, lagMs: number) {
    assert.equal(this.monitor.worstSince(500), lagMs);
    this.manual.tick();
    assert.equal(this.monitor.worstSince(500), lagMs);
    this.manual.time += 100;
    this.manual.tick();
    assert.equal(this.monitor.worstSince(this.manual.time - 10), 0);
  },
);

Given(
  "a relay whose event loop was {int} milliseconds behind",
  function (this: ScaleWorld, lagMs: number) {
    this.fixture = new RelayFixture();
    this.fixture.addGroups(4, "small");
    this.fixture.lagMs = lagMs;
  },
);

When(
  /^20 streams are requested by callers that (have left|still wait)$/,
  function (this: ScaleWorld, callers: string) {
    this.fixture.disconnectAtOnce = callers === "have left";
    for (let i = 0; i < 20; i++) this.fixture.sendRequest("/draft/");
    return this.fixture.timers.run(1_000);
  },
);

Then("{int} of them are sent", function (this: ScaleWorld, sent: number) {
  assert.equal(this.fixture.upstreams.attempts.length, sent);
});

Then(
  "the hosts are given at most {int} milliseconds",
  function (this: ScaleWorld, limitMs: number) {
    const times = this.fixture.upstreams.attempts.map(({ attempt }) =>
      attempt.deadlineMs
    );
    assert.equal(times.length, 20);
    assert.ok(Math.max(...times) <= limitMs, `${Math.max(...times)} ms`);
  },
);

Given(
  "a fleet whose reconciliations each take {int} milliseconds",
  async function (this: ScaleWorld, ms: number) {
    this.fleet = new SimulatedFleet(2, 9);
    await this.fleet.run(30_000);
    this.reconcileMs = 0;
    const { hosts, timers } = this.fleet;
    const ofService = hosts.ofService.bind(hosts);
    // Each reconciliation reads a service's hosts once.
    let ahead = 0;
    const now = timers.now.bind(timers);
    timers.now = () => now() + ahead;
    hosts.ofService = (service) => {
      this.reconcileMs += ms;
      ahead += ms;
      return ofService(service);
    };
  },
);

When(
  "{int} seconds pass with a change of a host every {int} milliseconds",
  async function (this: ScaleWorld, seconds: number, intervalMs: number) {
    const { hosts } = this.fleet;
    const [host] = hosts.hosts();
    for (let ms = 0; ms < seconds * 1_000; ms += intervalMs) {
      hosts.announce({ ...host }, this.fleet.timers.now());
      await this.fleet.run(intervalMs);
    }
  },
);

Then(
  "reconciliations took at most {int} milliseconds in all",
  function (this: ScaleWorld, limitMs: number) {
    assert.ok(this.reconcileMs > 0);
    assert.ok(this.reconcileMs <= limitMs, `${this.reconcileMs} ms`);
  },
);
