import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { HostStateTracker } from "../../src/core/orchestrator/host_state_tracker.ts";
import type {
  FreeHost,
  LayoutStep,
} from "../../src/core/orchestrator/layout.ts";
import { planLayout } from "../../src/core/orchestrator/layout.ts";
import { LoadLimiter } from "../../src/core/orchestrator/load_limiter.ts";
import {
  EXAMPLE_MODELS,
  exampleCatalog,
} from "../../src/standins/fleet/example_catalog.ts";
import type { HostReport, ServingHost } from "../../src/world/serving_host.ts";
import { SimulatedFleet } from "./simulated_fleet.ts";

interface GroupWorld {
  states: HostStateTracker;
  host: ServingHost;
  fleet: SimulatedFleet;
  chosenHostId: string;
  /** The chosen host as it was last announced. */
  unlisted: ServingHost | undefined;
  free: FreeHost[];
  steps: LayoutStep[];
  loadLimiter: LoadLimiter;
}

const FREE_HOST: ServingHost = {
  id: "h",
  service: "pool",
  address: "h:1",
  zone: "z",
  slots: 18,
  draining: false,
  coldLeftMs: 0,
  born: 1,
  domain: "d",
  staged: ["large"],
  models: ["large"],
  membership: undefined,
};

Given(
  "{int} fabric domains of {int} engine hosts",
  function (this: GroupWorld, domains: number, hosts: number) {
    this.fleet = new SimulatedFleet(domains, hosts);
  },
);

Given(
  "the next {int} responses of every host are lost",
  function (this: GroupWorld, count: number) {
    for (const host of this.fleet.hosts.hosts()) {
      this.fleet.engine.dropNextResponse(host.id);
    }
    if (count < 2) return;
    this.fleet.timers.after(6_000, () => {
      for (const host of this.fleet.hosts.hosts()) {
        this.fleet.engine.dropNextResponse(host.id);
      }
    });
  },
);

Given(
  "two hosts of each domain take {int} seconds longer to join",
  function (this: GroupWorld, seconds: number) {
    for (const id of ["i-0-1", "i-0-5", "i-1-1", "i-1-5"]) {
      this.fleet.engine.delayJoins(id, seconds * 1_000);
    }
  },
);

Given("another process holds the lease", function (this: GroupWorld) {
  this.fleet.isLeader = false;
});

When(
  "the fleet runs for {int} seconds",
  async function (this: GroupWorld, seconds: number) {
    await this.fleet.run(seconds * 1_000);
  },
);

When(
  "the fleet runs for {int} milliseconds",
  async function (this: GroupWorld, ms: number) {
    await this.fleet.run(ms);
  },
);

When(
  /^(a member|the head) of a group of "(.*)" stops responding and is suspected$/,
  async function (this: GroupWorld, who: string, model: string) {
    const group = this.fleet.groupOf(model);
    this.fleet.engine.stopResponding(group.members[who === "the head" ? 0 : 1]);
    await this.fleet.suspect(group.key);
  },
);

When(
  "the head of a group of {string} is partitioned and is suspected",
  async function (this: GroupWorld, model: string) {
    const group = this.fleet.groupOf(model);
    this.chosenHostId = group.members[0];
    this.fleet.engine.isolate(this.chosenHostId);
    await this.fleet.suspect(group.key);
  },
);

When("the partition of the head heals", function (this: GroupWorld) {
  this.fleet.engine.restore(this.chosenHostId);
});

When(
  "a member of a group of {string} starts draining",
  function (this: GroupWorld, model: string) {
    this.chosenHostId = this.fleet.groupOf(model).members[1];
    this.fleet.engine.drain(this.chosenHostId);
  },
);

When(
  "the head of a group of {string} starts draining",
  function (this: GroupWorld, model: string) {
    [this.chosenHostId] = this.fleet.groupOf(model).members;
    this.fleet.engine.drain(this.chosenHostId);
  },
);

When(
  "two members of a group of {string} start draining {int} milliseconds apart",
  async function (this: GroupWorld, model: string, gapMs: number) {
    const [, first, second] = this.fleet.groupOf(model).members;
    this.fleet.engine.drain(first);
    await this.fleet.run(gapMs);
    this.fleet.engine.drain(second);
  },
);

When(
  /^a member of a group of "(.*)" is no longer announced, (?:and|but) its streams bring (none|events|events until it fails)$/,
  async function (this: GroupWorld, model: string, evidence: string) {
    const { key, members } = this.fleet.groupOf(model);
    [, this.chosenHostId] = members;
    if (evidence !== "none") this.fleet.progressing.add(key);
    const { hosts, timers } = this.fleet;
    this.unlisted = hosts.get(this.chosenHostId);
    hosts.withdraw(this.chosenHostId, timers.now(), false);
    timers.subscribe(1_000, () => hosts.expire(timers.now()));
    if (evidence !== "events until it fails") return;
    await this.fleet.run(500);
    assert.equal(this.fleet.log.named("group_dissolving").length, 0);
    this.fleet.engine.stopResponding(this.chosenHostId);
    this.fleet.progressing.delete(key);
    await this.fleet.suspect(key);
  },
);

When("the member is announced again", function (this: GroupWorld) {
  const { hosts, timers } = this.fleet;
  assert.ok(this.unlisted);
  hosts.announce(this.unlisted, timers.now());
});

Then("no group was dissolved", function (this: GroupWorld) {
  assert.equal(this.fleet.log.named("group_dissolving").length, 0);
});

Then("no group serves with a draining host", function (this: GroupWorld) {
  for (const { members } of this.fleet.engine.servingGroups) {
    for (const id of members) {
      assert.ok(!this.fleet.hosts.get(id)?.draining, id);
    }
  }
});

Then("one group was dissolved", function (this: GroupWorld) {
  assert.equal(this.fleet.log.named("group_dissolving").length, 1);
});

When("another node becomes the leader", async function (this: GroupWorld) {
  this.fleet.replaceOrchestrator();
  await this.fleet.run(100);
});

/** Group of another leader. */
const OTHER_GROUP = { group: "g-other", epoch: 5_000 };

When(
  "another node leads, and the spares start again under their ids and serve in a group",
  async function (this: GroupWorld) {
    const { fleet } = this;
    const { engine, timers } = fleet;
    const spares = [...fleet.hosts.hosts()].filter(({ membership }) =>
      membership?.group.startsWith("s-")
    );
    assert.ok(spares.length >= 2);
    fleet.isLeader = false;
    // The store shows nothing of what follows.
    fleet.announcementDelayMs = () => 3_600_000;
    const members = spares.map(({ id }) => id);
    const [model] = spares[0].staged;
    for (const host of spares) {
      engine.crash(host.id);
      engine.restart(host.id);
      const join = { ...OTHER_GROUP, kind: "join", model, members } as const;
      engine.command(host, join, 0);
    }
    await timers.run(20_000);
    engine.command(spares[0], { ...OTHER_GROUP, kind: "open" }, 1);
    await timers.run(1_000);
    assert.equal(engine.membershipOf(members[0])?.state, "open");
  },
);

When(
  "this node leads again, and reports are lost for {int} milliseconds",
  async function (this: GroupWorld, ms: number) {
    const { fleet } = this;
    fleet.losesReports = true;
    fleet.lagMs = 100;
    fleet.regainLease();
    await fleet.run(ms);
    fleet.losesReports = false;
    fleet.lagMs = 0;
  },
);

When(
  "the store shows a member of a group of {string} as free",
  function (this: GroupWorld, model: string) {
    const { hosts, timers, reportCounts } = this.fleet;
    this.chosenHostId = this.fleet.groupOf(model).members[1];
    const host = hosts.get(this.chosenHostId);
    assert.ok(host);
    reportCounts.clear();
    hosts.announce({ ...host, membership: undefined }, timers.now());
  },
);

Then(
  /^the member was asked for (\d+)(?: to (\d+))? reports?$/,
  function (this: GroupWorld, min: string, max: string | undefined) {
    const count = this.fleet.reportCounts.get(this.chosenHostId) ?? 0;
    assert.ok(count >= Number(min) && count <= Number(max ?? min), `${count}`);
  },
);

function assertServing(
  fleet: SimulatedFleet,
  large: number,
  small: number,
): void {
  const models = fleet.engine.servingGroups.map((group) => group.model);
  const count = (model: string) => models.filter((m) => m === model).length;
  assert.deepEqual([count("large"), count("small")], [large, small]);
}

Then(
  "{int} groups of {string} and {int} groups of {string} serve",
  function (
    this: GroupWorld,
    large: number,
    _large: string,
    small: number,
    _small: string,
  ) {
    assertServing(this.fleet, large, small);
  },
);

Then(
  "{int} groups of {string} and {int} groups of {string} serve without the draining host",
  function (
    this: GroupWorld,
    large: number,
    _large: string,
    small: number,
    _small: string,
  ) {
    assertServing(this.fleet, large, small);
    const members = this.fleet.engine.servingGroups.flatMap((g) => g.members);
    assert.ok(!members.includes(this.chosenHostId));
  },
);

When("the store becomes unreachable", function (this: GroupWorld) {
  this.fleet.isStoreUnreachable = true;
});

When("the store becomes reachable again", function (this: GroupWorld) {
  this.fleet.isStoreUnreachable = false;
});

Then("the node publishes no host state", function (this: GroupWorld) {
  assert.deepEqual(this.fleet.orchestrator.updatedHosts(), []);
});

Then(
  "the node's host registry shows them as open",
  function (this: GroupWorld) {
    for (const { members } of this.fleet.engine.servingGroups) {
      const head = this.fleet.hosts.get(members[0]);
      assert.equal(head?.membership?.state, "open");
    }
    assert.ok(this.fleet.orchestrator.updatedHosts().length > 0);
  },
);

Then("no group invariant was violated", function (this: GroupWorld) {
  assert.deepEqual(this.fleet.engine.breaches, []);
});

Then("no command was sent", function (this: GroupWorld) {
  assert.deepEqual(this.fleet.log.named("command"), []);
});

function loadedHosts(domain: string, count: number, from: number): FreeHost[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `${domain}-${from + i}`,
    domain,
    loadedModel: "large",
    staged: ["large"],
    isLoading: false,
    loadingModel: undefined,
    isCold: false,
    idleMs: 5_000,
    zone: "z",
    crossDomainGroup: undefined,
  }));
}

function plan(free: readonly FreeHost[]): LayoutStep[] {
  return planLayout({
    models: EXAMPLE_MODELS,
    free,
    groups: [],
    needed: new Map([["large", 2], ["small", 0.01]]),
    usableHosts: new Map([["a", 9], ["b", 9]]),
    loadsAreCheap: false,
    loadBudget: 0,
  });
}

Given(
  "hosts that can join {string} at once: {int} in domain {string}, {int} in domain {string} of one zone",
  function (
    this: GroupWorld,
    _model: string,
    inA: number,
    a: string,
    inB: number,
    b: string,
  ) {
    this.free = [...loadedHosts(a, inA, 0), ...loadedHosts(b, inB, 0)];
  },
);

When(
  "the layout is planned while there are too few groups of {string}",
  function (this: GroupWorld, _model: string) {
    this.steps = plan(this.free);
  },
);

Then("one group across both domains is planned", function (this: GroupWorld) {
  const [step, ...rest] = this.steps;
  assert.deepEqual(rest, []);
  assert.ok(step.kind === "form" && step.model === "large");
  assert.deepEqual([...step.members].sort(), ["a-0", "a-1", "b-0", "b-1"]);
});

When(
  "one more host can join in domain {string} and {int} more in domain {string}",
  function (this: GroupWorld, a: string, more: number, _a: string) {
    const joined = this.free.map((host) => ({
      ...host,
      crossDomainGroup: "g-1@1",
    }));
    this.steps = plan([...joined, ...loadedHosts(a, 1 + more, 2)]);
  },
);

Then(
  "the cross-domain group is dissolved to reclaim its hosts",
  function (this: GroupWorld) {
    assert.deepEqual(this.steps[0], {
      kind: "reclaim",
      crossDomainGroups: ["g-1@1"],
    });
  },
);

Given(
  "a limit of 4.5 loads a second over 5 seconds and 6 at once",
  function (this: GroupWorld) {
    this.loadLimiter = new LoadLimiter(5_000);
  },
);

Then(
  "at most {int} loads start at once and at most {int} in any 5 seconds",
  function (this: GroupWorld, atOnce: number, inWindow: number) {
    const engine = exampleCatalog(1).services[0].engine;
    assert.ok(engine);
    assert.equal(this.loadLimiter.available(engine, 0), atOnce);
    const startedAt: number[] = [];
    for (let now = 0; now < 20_000; now += 10) {
      const available = this.loadLimiter.available(engine, now);
      for (let i = 0; i < available; i++) {
        this.loadLimiter.record(now, 40);
        startedAt.push(now);
      }
      const recent = startedAt.filter((at) => now - at < 5_000).length;
      assert.ok(recent <= inWindow, `${recent} loads by ${now} ms`);
    }
    assert.ok(startedAt.length > inWindow);
  },
);

/** A report of the third command's effect. */
const REPORT: HostReport = {
  seq: 3,
  born: 1,
  busy: false,
  queued: 0,
  active: 0,
  staged: ["large"],
  models: ["large"],
  membership: { group: "g-1", epoch: 1, rank: 0, state: "open" },
};

Given(
  "a host that announced that it is free and reported later that its group is open",
  function (this: GroupWorld) {
    this.host = { ...FREE_HOST, membership: undefined };
    this.states = new HostStateTracker();
    this.states.get(this.host, 0);
    this.states.recordReport(this.host, REPORT, 1_000, false);
  },
);

When("it reports that it is free", function (this: GroupWorld) {
  const report = { ...REPORT, seq: 4, membership: undefined };
  this.states.recordReport(this.host, report, 3_000, false);
});

Then(
  "another report is requested {int} milliseconds after the report",
  function (this: GroupWorld, ms: number) {
    const now = 1_000 + ms;
    assert.ok(!this.states.get(this.host, now - 1).isContradicted);
    assert.ok(this.states.get(this.host, now).isContradicted);
  },
);

When(
  "another announcement says that it is free {int} milliseconds after the report",
  function (this: GroupWorld, ms: number) {
    this.host = { ...this.host };
    this.states.get(this.host, 1_000 + ms);
  },
);

Then(
  /^it is treated as (free|a member of the open group) (\d+) milliseconds later$/,
  function (this: GroupWorld, expected: string, ms: string) {
    const { membership } = this.states.get(this.host, 1_000 + Number(ms));
    assert.equal(membership?.state, expected === "free" ? undefined : "open");
  },
);

Given(
  "a host that was ready in a group and was sent another join for it",
  function (this: GroupWorld) {
    const membership = { group: "g-1", epoch: 1, rank: 1 };
    this.host = {
      ...FREE_HOST,
      membership: { ...membership, state: "ready" },
    };
    this.states = new HostStateTracker();
    const { born } = this.host;
    this.states.recordAccepted(
      this.host,
      {
        born,
        seq: 1,
        membership: undefined,
        models: [],
        from: "report",
        at: 0,
      },
      {
        kind: "join",
        group: "g-1",
        epoch: 1,
        model: "large",
        members: ["head", this.host.id],
      },
      0,
    );
  },
);

Then(
  "it is treated as joining for {int} milliseconds, whatever it announced before",
  function (this: GroupWorld, ms: number) {
    const state = this.states.get(this.host, ms - 1);
    assert.equal(state.membership?.state, "joining");
  },
);

Then(
  "it is treated as joining until it reports that it is ready",
  function (this: GroupWorld) {
    const later = this.states.get(this.host, 2_000);
    assert.equal(later.membership?.state, "joining");
    assert.ok(later.isContradicted);
    const { membership } = this.host;
    const report = { ...REPORT, seq: 2, membership };
    this.states.recordReport(this.host, report, 2_000, false);
    const { state } = this.states.get(this.host, 2_000).membership ?? {};
    assert.equal(state, "ready");
  },
);
