/**
 * Steps of engine_hosts.feature, which test the simulated hosts.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import type { HostCommand } from "../../src/ports/host_control.ts";
import type { EngineHostSettings } from "../../src/standins/fleet/engine_hosts.ts";
import { EngineHosts } from "../../src/standins/fleet/engine_hosts.ts";
import { EXAMPLE_MODELS } from "../../src/standins/fleet/example_catalog.ts";
import type { HostReport } from "../../src/world/serving_host.ts";

const IDS = ["h-0", "h-1", "h-2"];
const OWN = { group: "g-1", epoch: 1 };
const LATE = { group: "g-late", epoch: 2 };
const SETTINGS = { reportLagMs: 0, closeMs: 100, excusesLostMembers: false };

interface EngineHostsWorld {
  timers: VirtualTimers;
  engine: EngineHosts;
  bornBefore: number;
}

Given("3 simulated hosts", function (this: EngineHostsWorld) {
  startHosts(this);
});

Given(
  "a group of 3 simulated hosts that serves",
  async function (this: EngineHostsWorld) {
    startHosts(this);
    await formGroup(this);
  },
);

Given(
  "reports lag by {int} milliseconds",
  async function (this: EngineHostsWorld, reportLagMs: number) {
    startHosts(this, { reportLagMs });
    await formGroup(this);
  },
);

Given(
  /^3 simulated hosts that (excuse|don't excuse) lost members$/,
  function (this: EngineHostsWorld, excuse: string) {
    startHosts(this, { excusesLostMembers: excuse === "excuse" });
  },
);

When(
  "they join a group, and one of them crashes after {int} milliseconds",
  async function (this: EngineHostsWorld, ms: number) {
    for (const id of IDS) await send(this, id, join(OWN));
    await this.timers.run(ms);
    this.engine.crash("h-1");
    await this.timers.run(20_000);
  },
);

When(
  "the head is told to open the group",
  async function (this: EngineHostsWorld) {
    await send(this, "h-0", { ...OWN, kind: "open" });
  },
);

Then(
  "{int} group was opened in part",
  function (this: EngineHostsWorld, count: number) {
    const rules = this.engine.breaches.map((breach) => breach.rule);
    assert.deepEqual(rules, Array(count).fill("partial_group"));
  },
);

function startHosts(
  world: EngineHostsWorld,
  settings: Partial<EngineHostSettings> = {},
): void {
  world.timers = new VirtualTimers();
  world.engine = new EngineHosts(world.timers, EXAMPLE_MODELS, {
    onAnnounced() {},
    onWithdrawn() {},
  }, { ...SETTINGS, ...settings });
  for (const id of IDS) world.engine.add(id, "domain-0", "zone-0");
}

async function formGroup(world: EngineHostsWorld): Promise<void> {
  for (const id of IDS) await send(world, id, join(OWN));
  await world.timers.run(20_000);
  await send(world, "h-0", { ...OWN, kind: "open" });
  await world.timers.run(1_000);
  assert.equal(world.engine.servingGroups.length, 1);
}

function join(group: { group: string; epoch: number }): HostCommand {
  return { ...group, kind: "join", model: "small", members: IDS };
}

async function send(
  world: EngineHostsWorld,
  id: string,
  command: HostCommand,
  expected?: number,
): Promise<void> {
  void world.engine.command({ id, address: "" }, command, expected);
  await world.timers.run(5);
}

async function report(
  world: EngineHostsWorld,
  id: string,
): Promise<HostReport> {
  const pending = world.engine.report({ id, address: "" });
  await world.timers.run(5);
  const res = await pending;
  assert.ok(res.ok);
  return res.value;
}

/** Lets something happen to a host. */
async function disturb(
  world: EngineHostsWorld,
  id: string,
  event: string,
): Promise<void> {
  const { engine } = world;
  switch (event) {
    case "crashes":
      return engine.crash(id);
    case "restarts":
      engine.crash(id);
      return engine.restart(id);
    case "is cut off":
      return engine.stopResponding(id);
    case "is briefly away":
      engine.stopResponding(id);
      await world.timers.run(2_000);
      return engine.restore(id);
    case "leaves":
      return await send(world, id, { ...OWN, kind: "leave" });
    case "joins again":
      return await send(world, id, join(OWN));
    case "is closing":
      return await send(world, id, { ...OWN, kind: "close", mode: "finish" });
    default:
      assert.equal(event, "goes on");
  }
}

When(
  "its head crashes and restarts",
  async function (this: EngineHostsWorld) {
    this.bornBefore = this.engine.bornAt("h-0") ?? 0;
    this.engine.crash("h-0");
    await this.timers.run(50);
    this.engine.restart("h-0");
  },
);

Then(
  "the head reports 0 commands, no group and its staged model",
  async function (this: EngineHostsWorld) {
    const { seq, membership, staged, models } = await report(this, "h-0");
    assert.deepEqual({ seq, membership, staged, models }, {
      seq: 0,
      membership: undefined,
      staged: ["small"],
      models: [],
    });
  },
);

Then(
  "the head's start is newer than before",
  function (this: EngineHostsWorld) {
    assert.ok((this.engine.bornAt("h-0") ?? 0) > this.bornBefore);
  },
);

Then("the group does not serve", function (this: EngineHostsWorld) {
  assert.deepEqual(this.engine.servingGroups, []);
});

When("a member leaves the group", async function (this: EngineHostsWorld) {
  await disturb(this, "h-1", "leaves");
});

Then(
  /^the member reports (\d) commands? and no group$/,
  async function (this: EngineHostsWorld, count: string) {
    await assertReport(this, Number(count));
  },
);

Then(
  /^(\d+) milliseconds later it reports (\d) commands and no group$/,
  async function (this: EngineHostsWorld, ms: string, count: string) {
    await this.timers.run(Number(ms));
    await assertReport(this, Number(count));
  },
);

async function assertReport(
  world: EngineHostsWorld,
  count: number,
): Promise<void> {
  const { seq, membership } = await report(world, "h-1");
  assert.deepEqual([seq, membership], [count, undefined]);
}

When(
  "a join that expects {int} command(s) is sent to a host and takes {int} milliseconds",
  async function (this: EngineHostsWorld, expected: number, ms: number) {
    this.engine.delayNextCommand("h-1", ms);
    await send(this, "h-1", join(LATE), expected);
  },
);

When(
  /^the host accepts (\d) other commands? and (.*)$/,
  async function (this: EngineHostsWorld, count: string, event: string) {
    for (let i = 0; i < Number(count); i++) {
      await send(this, "h-1", { kind: "stage", model: "small" });
    }
    await disturb(this, "h-1", event);
  },
);

When(
  "the fleet of simulated hosts runs for {int} milliseconds",
  async function (this: EngineHostsWorld, ms: number) {
    await this.timers.run(ms);
  },
);

Then(
  /^the host is in (the late|no) group$/,
  function (this: EngineHostsWorld, which: string) {
    const expected = which === "no" ? undefined : LATE.group;
    assert.equal(this.engine.membershipOf("h-1")?.group, expected);
  },
);

When(
  /^(?:a|the) (member|head) (leaves|crashes|restarts|joins again|is cut off|is briefly away|is closing|goes on)$/,
  async function (this: EngineHostsWorld, who: string, event: string) {
    await disturb(this, who === "head" ? "h-0" : "h-1", event);
  },
);

Then(
  /^the head is (open|broken)$/,
  function (this: EngineHostsWorld, state: string) {
    assert.equal(this.engine.membershipOf("h-0")?.state, state);
  },
);

When(
  "the last member is sent a join of another group",
  async function (this: EngineHostsWorld) {
    await send(this, "h-2", join(LATE));
    assert.equal(this.engine.membershipOf("h-2")?.group, LATE.group);
  },
);

Then(
  "{int} hosts were in two groups",
  function (this: EngineHostsWorld, count: number) {
    const rules = this.engine.breaches.map((breach) => breach.rule);
    assert.deepEqual(rules, Array(count).fill("two_groups"));
  },
);
