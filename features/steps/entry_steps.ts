/**
 * Steps of entry.feature: the choice of addresses for callers, by simulated and
 * by whole nodes in virtual time.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  decodeBatch,
  encodeBatch,
} from "../../src/core/gossip/message_codec.ts";
import type { StatusMessage } from "../../src/core/gossip/messages.ts";
import type { NodeSettings } from "../../src/settings/node_settings.ts";
import { NodeSettingsSchema } from "../../src/settings/node_settings.ts";
import type { SettingsProblem } from "../../src/settings/settings_file.ts";
import { parseSettings } from "../../src/settings/settings_file.ts";
import { EntryFleet } from "./entry_fleet.ts";
import type { SimulatedNode } from "./entry_node.ts";
import { NodeFleet } from "./node_fleet.ts";
import { NODE_SETTINGS } from "./sample_settings.ts";
import { sampleStatus } from "./sample_status.ts";

const ZONES = ["zone-0", "zone-1", "zone-2", "zone-3", "zone-4"];
const LINK_MBPS = 200;
const TEMPLATE = "deploy/node.ini.tmpl";

interface EntryWorld {
  fleet: EntryFleet;
  zones: readonly string[];
  /** The node that a scenario singles out. */
  node: SimulatedNode;
  /** How often callers gained or lost the node's address. */
  changes: number;
  reads: number;
  answers: (readonly string[])[];
  status: StatusMessage;
  payload: Buffer;
  problems: SettingsProblem[];
  settings: NodeSettings;
  nodeFleet: NodeFleet;
}

function addNodes(
  world: EntryWorld,
  count: number,
  cores: number,
  linkMbps = LINK_MBPS,
): void {
  for (let i = 0; i < count; i++) {
    const zone = world.zones[i % world.zones.length];
    world.fleet.addNodes(zone, 1, { cores, linkMbps });
  }
}

/** Capacity of a zone's nodes, in cores. */
function capacityOf(world: EntryWorld, zone: string): number {
  return world.fleet.nodesOf(zone)
    .reduce((sum, { capacity }) => sum + capacity.cores, 0);
}

function loadZone(world: EntryWorld, zone: string, percent: number): void {
  world.fleet.setDemand(zone, capacityOf(world, zone) * percent / 100);
}

function addressesOf(nodes: readonly SimulatedNode[]): string[] {
  return nodes.map(({ address }) => address).sort();
}

function callersOf(world: EntryWorld, zone: string) {
  return world.fleet.callers.filter((caller) => caller.zone === zone);
}

Given(
  "{int} alike nodes in {int} zones, each with callers that load it to {int} percent",
  function (this: EntryWorld, count: number, zones: number, percent: number) {
    this.fleet = new EntryFleet();
    this.zones = ZONES.slice(0, zones);
    addNodes(this, count, 1);
    for (const zone of this.zones) loadZone(this, zone, percent);
  },
);

Given(
  /^(\d+) nodes? of ([\d.]+) cores? and (\d+) of ([\d.]+) cores? in (\d+) zones?$/,
  function (
    this: EntryWorld,
    strong: string,
    strongCores: string,
    weak: string,
    weakCores: string,
    zones: string,
  ) {
    this.fleet = new EntryFleet();
    this.zones = ZONES.slice(0, Number(zones));
    addNodes(this, Number(strong), Number(strongCores));
    addNodes(this, Number(weak), Number(weakCores));
  },
);

Given(
  "{int} nodes of 1 core and {int} Mbit\\/s and {int} of 1 core and {int} Mbit\\/s in 1 zone",
  function (
    this: EntryWorld,
    wide: number,
    wideMbps: number,
    narrow: number,
    narrowMbps: number,
  ) {
    this.fleet = new EntryFleet();
    this.zones = ZONES.slice(0, 1);
    addNodes(this, wide, 1, wideMbps);
    addNodes(this, narrow, 1, narrowMbps);
  },
);

Given(
  /^callers (?:that )?need ([\d.]+) cores? in each zone$/,
  function (this: EntryWorld, cores: string) {
    for (const zone of this.zones) this.fleet.setDemand(zone, Number(cores));
  },
);

Given(
  /^(\d+) nodes? (?:is|are) of an earlier version$/,
  function (this: EntryWorld, count: string) {
    const nodes = this.fleet.nodes.slice(-Number(count));
    for (const node of nodes) node.isRated = false;
    this.node = nodes[0];
  },
);

When(
  "callers use the fleet for {int} seconds",
  { timeout: 60_000 },
  function (this: EntryWorld, seconds: number) {
    const lists = () =>
      this.node !== undefined &&
      this.fleet.callers.some(({ addresses }) =>
        addresses.includes(this.node.address)
      );
    let isListed = lists();
    this.fleet.run(seconds * 1_000, () => {
      if (lists() === isListed) return;
      isListed = !isListed;
      this.changes = (this.changes ?? 0) + 1;
    });
  },
);

When(
  "callers of zone 0 load it to {int} percent, and those of other zones to {int} percent",
  function (this: EntryWorld, percent: number, others: number) {
    this.zones.forEach((zone, i) =>
      loadZone(this, zone, i === 0 ? percent : others)
    );
  },
);

When(
  "callers of each zone load it to {int} percent",
  function (this: EntryWorld, percent: number) {
    for (const zone of this.zones) loadZone(this, zone, percent);
  },
);

When(
  "the demand of zone 0 swings by {int} percent around {int} percent every {int} seconds, for {int} seconds",
  { timeout: 60_000 },
  function (
    this: EntryWorld,
    swing: number,
    percent: number,
    period: number,
    seconds: number,
  ) {
    this.fleet.run(seconds * 1_000, () => {
      const phase = 2 * Math.PI * this.fleet.now / (period * 1_000);
      loadZone(
        this,
        ZONES[0],
        percent * (1 + swing / 100 * Math.sin(phase)),
      );
    });
  },
);

When("all nodes of zone 0 end", function (this: EntryWorld) {
  for (const node of this.fleet.nodesOf(ZONES[0])) node.isServing = false;
});

When("all nodes of zone 0 start again", function (this: EntryWorld) {
  for (const node of this.fleet.nodesOf(ZONES[0])) startAgain(node);
});

When("{int} nodes of zone 0 end", function (this: EntryWorld, count: number) {
  const nodes = this.fleet.nodesOf(ZONES[0]).slice(0, count);
  for (const node of nodes) node.isServing = false;
});

When("the first node of zone 0 ends", function (this: EntryWorld) {
  this.fleet.nodesOf(ZONES[0])[0].isServing = false;
});

When("the first node of zone 0 starts again", function (this: EntryWorld) {
  startAgain(this.fleet.nodesOf(ZONES[0])[0]);
});

function startAgain(node: SimulatedNode): void {
  node.isServing = true;
  node.restart();
}

When(
  "a node turns {int} times slower",
  function (this: EntryWorld, factor: number) {
    [, this.node] = this.fleet.nodesOf(ZONES[0]);
    this.node.slowness = factor;
  },
);

When(
  "{int} nodes turn {int} times slower",
  function (this: EntryWorld, count: number, factor: number) {
    for (const node of this.fleet.nodes.slice(0, count)) {
      node.slowness = factor;
    }
  },
);

When("the node recovers", function (this: EntryWorld) {
  this.node.slowness = 1;
});

When("it is upgraded", function (this: EntryWorld) {
  this.node.isRated = true;
});

When(
  "one node is asked {int} times in a second, each time for another zone",
  function (this: EntryWorld, count: number) {
    const { fleet } = this;
    const { directory } = fleet.nodes[0];
    const before = fleet.reads;
    this.answers = Array.from({ length: count }, (_, i) => {
      fleet.now += 1_000 / count;
      return directory.addresses(`nowhere-${i}`, fleet.now);
    });
    this.reads = fleet.reads - before;
  },
);

Then(
  /^callers of each zone have (\d+) addresses, of (\d+) zones?$/,
  function (this: EntryWorld, count: string, zones: string) {
    const zoneOf = new Map(
      this.fleet.nodes.map(({ address, zone }) => [address, zone]),
    );
    for (const { zone, addresses } of this.fleet.callers) {
      assert.equal(addresses.length, Number(count), zone);
      assert.equal(new Set(addresses).size, addresses.length);
      const answered = new Set(addresses.map((each) => zoneOf.get(each)));
      assert.equal(answered.size, Number(zones), zone);
    }
  },
);

Then(
  "callers of each zone have all nodes of their zone, and no other",
  function (this: EntryWorld) {
    for (const { zone, addresses } of this.fleet.callers) {
      const expected = addressesOf(this.fleet.nodesOf(zone));
      assert.deepEqual([...addresses].sort(), expected);
    }
  },
);

Then(
  "callers have the first {int} nodes",
  function (this: EntryWorld, count: number) {
    const expected = addressesOf(this.fleet.nodes.slice(0, count));
    for (const { addresses } of this.fleet.callers) {
      assert.deepEqual([...addresses].sort(), expected);
    }
  },
);

Then(
  "callers of zone 0 have all nodes of the other zones",
  function (this: EntryWorld) {
    const others = this.fleet.nodes.filter(({ zone }) => zone !== ZONES[0]);
    for (const { addresses } of callersOf(this, ZONES[0])) {
      assert.deepEqual([...addresses].sort(), addressesOf(others));
    }
  },
);

Then(
  "callers of zone 0 have {int} addresses",
  function (this: EntryWorld, count: number) {
    for (const { addresses } of callersOf(this, ZONES[0])) {
      assert.equal(addresses.length, count);
    }
  },
);

Then(
  "callers have {int} different addresses",
  function (this: EntryWorld, count: number) {
    const all = this.fleet.callers.flatMap(({ addresses }) => addresses);
    assert.equal(new Set(all).size, count);
  },
);

Then("each node has callers", function (this: EntryWorld) {
  const all = new Set(
    this.fleet.callers.flatMap(({ addresses }) => addresses),
  );
  assert.deepEqual([...all].sort(), addressesOf(this.fleet.nodes));
});

Then(
  "no node is loaded to more than {int} percent",
  function (this: EntryWorld, percent: number) {
    const loads = this.fleet.serving.map(({ load }) => load);
    assert.ok(Math.max(...loads) * 100 <= percent, String(Math.max(...loads)));
  },
);

Then(
  "no node was loaded to more than {int} percent",
  function (this: EntryWorld, percent: number) {
    const { highestLoad } = this.fleet;
    assert.ok(highestLoad * 100 <= percent, String(highestLoad));
  },
);

Then("no caller dropped an address", function (this: EntryWorld) {
  assert.deepEqual(this.fleet.callers.flatMap(({ dropped }) => dropped), []);
});

Then(
  "no caller dropped an address of another node",
  function (this: EntryWorld) {
    const dropped = this.fleet.callers.flatMap((caller) => caller.dropped);
    const others = dropped.filter((address) => address !== this.node.address);
    assert.deepEqual(others, []);
  },
);

Then(
  "callers dropped at most {int} addresses each",
  function (this: EntryWorld, count: number) {
    for (const { dropped } of this.fleet.callers) {
      assert.ok(dropped.length <= count, String(dropped.length));
    }
  },
);

Then(
  "no answer lacked more than {int} addresses of the one before it",
  function (this: EntryWorld, count: number) {
    for (const { mostDropped } of this.fleet.callers) {
      assert.ok(mostDropped <= count, String(mostDropped));
    }
  },
);

Then("no caller has the node's address", function (this: EntryWorld) {
  for (const { addresses } of this.fleet.callers) {
    assert.ok(!addresses.includes(this.node.address));
  }
});

Then(
  "callers gained or lost the node's address at most {int} times",
  function (this: EntryWorld, count: number) {
    assert.ok(this.changes >= 1 && this.changes <= count, `${this.changes}`);
  },
);

Then(
  "all callers of its zone have the node's address",
  function (this: EntryWorld) {
    for (const { addresses } of callersOf(this, this.node.zone)) {
      assert.ok(addresses.includes(this.node.address));
    }
  },
);

Then(
  "every node gives callers of zone 0 the same addresses",
  function (this: EntryWorld) {
    const { nodes, now } = this.fleet;
    const [first, ...others] = nodes.map(({ directory }) =>
      [...directory.addresses(ZONES[0], now)].sort()
    );
    assert.ok(first.length > this.fleet.nodesOf(ZONES[0]).length);
    for (const other of others) assert.deepEqual(other, first);
  },
);

Then(
  "nodes report that 1 node doesn't say its capacity",
  function (this: EntryWorld) {
    const [first] = this.fleet.nodes;
    assert.deepEqual(first.switches.at(-1), [false, 1]);
  },
);

Then(
  "it read the nodes at most {int} times and keeps numbers of at most {int} zones",
  function (this: EntryWorld, reads: number, zones: number) {
    const { nodes, now } = this.fleet;
    assert.ok(this.reads <= reads, String(this.reads));
    const answers = nodes[0].directory.answers(now);
    assert.ok(answers.length <= zones, String(answers.length));
  },
);

Then(
  "each answer had {int} addresses",
  function (this: EntryWorld, count: number) {
    for (const answer of this.answers) assert.equal(answer.length, count);
  },
);

Given(
  "a status with a plan of {int} helpers of {int} letters and a load that is no round number",
  function (this: EntryWorld, count: number, letters: number) {
    const helpers = Array.from(
      { length: count },
      (_, i) => String(i).padStart(letters, "n"),
    );
    this.status = {
      ...sampleStatus(),
      entry: {
        cores: 0.324,
        linkMbps: 20,
        work: 1 / 3,
        isBehind: false,
        plan: { isAll: false, isSpread: false, weakOut: 0, helpers },
      },
    };
  },
);

function encodeStatus(status: StatusMessage): Buffer {
  return Buffer.from(
    encodeBatch({ isForwarded: false, isUrgent: false, statuses: [status] }),
  );
}

Then(
  "its peers read the capacity, the load and {int} helpers",
  function (this: EntryWorld, count: number) {
    const [read] = decodeBatch(encodeStatus(this.status))?.statuses ?? [];
    assert.equal(read.entry?.cores, 0.324);
    assert.equal(read.entry?.work, 0.333);
    assert.deepEqual(
      read.entry?.plan?.helpers,
      this.status.entry?.plan?.helpers.slice(0, count),
    );
  },
);

Then(
  "the plan takes at most {int} bytes, and the rest at most {int}",
  function (this: EntryWorld, planBytes: number, restBytes: number) {
    const { entry } = this.status;
    assert.ok(entry !== undefined);
    const full = encodeStatus(this.status).length;
    const withoutPlan = encodeStatus({
      ...this.status,
      entry: { ...entry, plan: undefined },
    }).length;
    const without = encodeStatus({ ...this.status, entry: undefined }).length;
    assert.ok(full - withoutPlan <= planBytes, String(full - withoutPlan));
    assert.ok(withoutPlan - without <= restBytes, `${withoutPlan - without}`);
  },
);

Given(
  /^a status whose (entry|plan) is (.*)$/,
  function (this: EntryWorld, part: string, value: string) {
    const batch = JSON.parse(encodeStatus(sampleStatus()).toString()) as {
      b: Record<string, unknown>[];
    };
    batch.b[0][part === "entry" ? "en" : "ep"] = JSON.parse(value);
    this.payload = Buffer.from(JSON.stringify(batch));
  },
);

Then("its peers reject the message", function (this: EntryWorld) {
  assert.ok(decodeBatch(encodeStatus(sampleStatus())) !== undefined);
  assert.equal(decodeBatch(this.payload), undefined);
});

Given("node settings with {string}", function (this: EntryWorld, line: string) {
  const text = NODE_SETTINGS.replace("seeds =", `${line}\nseeds =`);
  const res = parseSettings("x.ini", text, NodeSettingsSchema);
  assert.equal(res.ok, false);
  this.problems = res.ok ? [] : res.err;
});

/** Fills in a template whose sections aren't nested. */
function fillIn(template: string, values: Record<string, string>): string {
  return template
    .replace(
      /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
      (_, name: string, body: string) => name in values ? body : "",
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, name: string) => values[name] ?? "");
}

When(
  /^the settings template is filled in (with|without) limits$/,
  function (this: EntryWorld, which: string) {
    const address = "10.1.0.4:8641";
    const bounds = Object.fromEntries(
      [
        ...["revoke_ms", "config_ms", "drain_ms", "grace_s", "stall_ms"],
        ...["retry_budget_ratio", "budget_window_s", "budget_slack"],
        ...["ceiling_window_s", "ttl_max_s"],
      ].map((name) => [`bounds.${name}`, "5"]),
    );
    const limits = {
      "limits.cpu_share": "0.675",
      "limits.cores": "2",
      "limits.link_mbps": "200",
    };
    const text = fillIn(readFileSync(TEMPLATE, "utf8"), {
      ...bounds,
      ...(which === "with" ? limits : {}),
      node: "edge-1",
      zone: "zone-a",
      region: "region",
      ip: "10.1.0.4",
      "listen.front": address,
      "listen.ready": address,
      "listen.directory": address,
      "internal_ports.0": "7340",
      seeds: address,
      "platform.address": address,
      heartbeat_ms: "1200",
    });
    const res = parseSettings("x.ini", text, NodeSettingsSchema);
    assert.ok(res.ok, JSON.stringify(res));
    this.settings = res.value;
  },
);

Then(
  "the settings have a processor share of {float}, {int} cores and a link of {int}",
  function (this: EntryWorld, share: number, cores: number, link: number) {
    const { node } = this.settings;
    assert.deepEqual(
      [node.processor_share, node.cores, node.link],
      [share, cores, link],
    );
  },
);

Then("the settings have no processor share", function (this: EntryWorld) {
  assert.equal(this.settings.node.processor_share, undefined);
});

Given(
  /^(\d+) whole nodes(?: with a capacity in their settings|, of which all but (\d+) have a capacity in their settings)$/,
  { timeout: 60_000 },
  async function (this: EntryWorld, count: string, others: string | null) {
    this.nodeFleet = new NodeFleet(Number(count), 1, 6_000);
    const rated = Number(count) - Number(others ?? 0);
    for (const entryHost of this.nodeFleet.entryHosts.slice(0, rated)) {
      entryHost.processorShare = 0.5;
    }
    await this.nodeFleet.start();
  },
);

When(
  "the whole nodes run for {int} seconds",
  { timeout: 60_000 },
  async function (this: EntryWorld, seconds: number) {
    await this.nodeFleet.timers.run(seconds * 1_000);
  },
);

When(
  "those of zone {string} are busy for {int} percent of the time",
  function (this: EntryWorld, zone: string, percent: number) {
    for (const entryHost of this.nodeFleet.entryHosts) {
      if (entryHost.zone === zone) entryHost.load = percent / 100;
    }
  },
);

Then(
  /^all whole nodes give callers of zone "(\w+)" the same addresses, of (\d+) nodes$/,
  async function (
    this: EntryWorld,
    zone: string,
    count: string,
  ) {
    const { nodeFleet } = this;
    const ask = () =>
      nodeFleet.entryHosts.map((each) => [...each.addresses(zone)].sort());
    ask();
    // A node that wasn't asked before decides at its next question.
    await nodeFleet.timers.run(1_000);
    const [first, ...others] = ask();
    assert.equal(first.length, Number(count));
    for (const other of others) assert.deepEqual(other, first);
  },
);

When("the second one is terminated", function (this: EntryWorld) {
  this.nodeFleet.entryHosts[1].terminate();
});

Then(
  "each whole node gives callers of its zone the {int} nodes of the zone",
  function (this: EntryWorld, count: number) {
    for (const entryHost of this.nodeFleet.entryHosts) {
      const own = this.nodeFleet.entryHosts
        .filter(({ zone }) => zone === entryHost.zone)
        .map(({ id }) => `${id}:1`);
      assert.equal(own.length, count);
      const answer = entryHost.addresses(entryHost.zone);
      assert.deepEqual([...answer].sort(), own.sort());
    }
  },
);

Then(
  "each whole node gives callers of its zone {int} addresses",
  function (this: EntryWorld, count: number) {
    for (const entryHost of this.nodeFleet.entryHosts) {
      assert.equal(entryHost.addresses(entryHost.zone).length, count);
    }
  },
);

Then("its metrics and its log say so", async function (this: EntryWorld) {
  const [entryHost] = this.nodeFleet.entryHosts;
  const { zone } = entryHost;
  const metrics = await entryHost.metrics();
  assert.match(
    metrics,
    new RegExp(`oleander_entry_addresses\\{caller_zone="${zone}"\\} 7\n`),
  );
  assert.match(
    metrics,
    new RegExp(
      `oleander_entry_left_out\\{caller_zone="${zone}",reason="elsewhere"\\} 14\n`,
    ),
  );
  const [switched] = entryHost.log?.named("entry_switched") ?? [];
  assert.deepEqual(switched, { byCapacity: true, unrated: 0 });
  const changed = entryHost.log?.named("entry_changed").at(-1);
  assert.equal(changed?.callerZone, zone);
  assert.equal(changed?.addresses, 7);
});

Then(
  "no running whole node gives callers its address",
  function (this: EntryWorld) {
    const [, ended] = this.nodeFleet.entryHosts;
    for (const entryHost of this.nodeFleet.running) {
      const answer = entryHost.addresses(ended.zone);
      assert.ok(answer.length > 0);
      assert.ok(!answer.includes(`${ended.id}:1`), entryHost.id);
    }
  },
);
