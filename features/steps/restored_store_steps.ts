/**
 * Steps of restored_store.feature: whole nodes in virtual time, whose store is
 * restored from older copies.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import { EraCheckedStore } from "../../src/core/fleet/era_checked_store.ts";
import { FleetState } from "../../src/core/fleet/fleet_state.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import { StoreEra } from "../../src/core/fleet/store_era.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";
import type { NodeDisruptions } from "./node_disruptions.ts";
import type { NodeFleet } from "./node_fleet.ts";
import { SILENT_LISTENER } from "./fleet_state_fixture.ts";
import { SCHEMA } from "./node_fleet.ts";
import { StoreRestorations } from "./store_restorations.ts";

interface RestoredStoreWorld {
  nodeFleet: NodeFleet;
  restorations: StoreRestorations;
  disruptions: NodeDisruptions;
  newestVersion: number;
  timers: VirtualTimers;
  store: MemoryCoordination;
  catalog: CatalogHolder;
}

const ZONE_KEY = "operator/out/z0";
const LOSE_MS = 6_000;

When(
  "{int} times the store loses 6 seconds and is away for {int} milliseconds, and a host leaves {int} milliseconds later",
  { timeout: 120_000 },
  async function (
    this: RestoredStoreWorld,
    times: number,
    awayMs: number,
    afterMs: number,
  ) {
    const fleet = this.nodeFleet;
    this.restorations = new StoreRestorations(fleet);
    for (let i = 0; i < times; i++) {
      await touchFor(fleet, LOSE_MS);
      await this.restorations.run({
        loseMs: LOSE_MS - 500,
        awayMs,
        rewriteAfterMs: 0,
      });
      touchAll(fleet, 2);
      if (afterMs > 0) await fleet.timers.run(afterMs);
      leaveAndReplace(fleet);
      // Revisions overtake the lost ones at once.
      touchAll(fleet, 20);
      await fleet.timers.run(9_000);
    }
  },
);

When(
  "the last node is cut off from the store for 12 seconds, in which the store loses 6 seconds and a host leaves",
  { timeout: 120_000 },
  async function (this: RestoredStoreWorld) {
    const fleet = this.nodeFleet;
    this.restorations = new StoreRestorations(fleet);
    await touchFor(fleet, LOSE_MS);
    const last = fleet.entryHosts[fleet.entryHosts.length - 1];
    last.storeAccess = "silent";
    fleet.timers.after(12_000, () => last.storeAccess = "served");
    await this.restorations.run({
      loseMs: LOSE_MS - 500,
      awayMs: 500,
      rewriteAfterMs: 0,
    });
    await fleet.timers.run(1_500);
    leaveAndReplace(fleet);
    await fleet.timers.run(9_500);
  },
);

When(
  "a host is {word} and the store loses 6 seconds, which are written again 1500 milliseconds later",
  { timeout: 120_000 },
  async function (this: RestoredStoreWorld, how: "announced" | "removed") {
    const fleet = this.nodeFleet;
    this.restorations = new StoreRestorations(fleet);
    await touchFor(fleet, LOSE_MS);
    fleet.leave(fleet.servingHosts[0], how);
    await fleet.timers.run(2_000);
    await this.restorations.run({
      loseMs: LOSE_MS,
      awayMs: 1_000,
      rewriteAfterMs: 1_500,
    });
    await fleet.timers.run(6_000);
  },
);

When(
  "hosts replace all others and the store loses 6 seconds in {int} milliseconds, which are written again 900 milliseconds later",
  { timeout: 120_000 },
  async function (this: RestoredStoreWorld, awayMs: number) {
    const fleet = this.nodeFleet;
    this.restorations = new StoreRestorations(fleet);
    await touchFor(fleet, LOSE_MS);
    const former = fleet.servingHosts;
    for (let i = 0; i < former.length; i++) fleet.addHost();
    for (const id of former) fleet.leave(id, "removed");
    await fleet.timers.run(2_000);
    await this.restorations.run({
      loseMs: LOSE_MS,
      awayMs,
      rewriteAfterMs: 900,
    });
    await fleet.timers.run(6_000);
  },
);

When(
  "a zone is taken out of service and the store loses 6 seconds, which are written again 900 milliseconds later",
  { timeout: 120_000 },
  async function (this: RestoredStoreWorld) {
    const fleet = this.nodeFleet;
    this.restorations = new StoreRestorations(fleet);
    await touchFor(fleet, LOSE_MS);
    fleet.store.put(ZONE_KEY, true);
    await fleet.timers.run(1_000);
    await this.restorations.run({
      loseMs: LOSE_MS,
      awayMs: 1_000,
      rewriteAfterMs: 900,
    });
    await fleet.timers.run(5_000);
  },
);

When(
  "{int} times the store loses 6 seconds with a catalog, which is written again with the next one",
  { timeout: 120_000 },
  async function (this: RestoredStoreWorld, times: number) {
    const fleet = this.nodeFleet;
    this.restorations = new StoreRestorations(fleet);
    this.newestVersion = 1;
    for (let i = 0; i < times; i++) {
      await touchFor(fleet, LOSE_MS);
      fleet.putCatalog(++this.newestVersion);
      await fleet.timers.run(200);
      await this.restorations.run({
        loseMs: LOSE_MS - 500,
        awayMs: 1_000,
        rewriteAfterMs: 0,
      });
      fleet.putCatalog(++this.newestVersion);
      touchAll(fleet, 20);
      await fleet.timers.run(3_000);
    }
  },
);

When(
  "the store loses the key of the leader",
  { timeout: 120_000 },
  function (this: RestoredStoreWorld) {
    this.restorations = new StoreRestorations(this.nodeFleet);
    return loseLeaderKey(this);
  },
);

When(
  "the store loses the key of the leader, and its lease id is reused",
  { timeout: 120_000 },
  async function (this: RestoredStoreWorld) {
    this.restorations = new StoreRestorations(this.nodeFleet);
    await loseLeaderKey(this);
    const client = this.nodeFleet.store.client();
    for (let i = 0; i < 10; i++) client.grantLease(60_000);
  },
);

When(
  "the store loses the end of an earlier leader's lease",
  { timeout: 120_000 },
  async function (this: RestoredStoreWorld) {
    const fleet = this.nodeFleet;
    this.restorations = new StoreRestorations(fleet);
    const copy = fleet.store.copy();
    const former = fleet.leader;
    former?.terminate();
    await this.restorations.awaitLeader(former?.id);
    await this.restorations.run(
      { loseMs: 0, awayMs: 1_000, rewriteAfterMs: 0 },
      copy,
    );
    former?.start();
  },
);

When(
  "the store loses the key of the leader twice",
  { timeout: 120_000 },
  async function (this: RestoredStoreWorld) {
    this.restorations = new StoreRestorations(this.nodeFleet);
    await loseLeaderKey(this);
    await this.nodeFleet.timers.run(2_000);
    await loseLeaderKey(this);
  },
);

Then(
  "6 seconds later one node leads, in the newest era, with a term above all earlier ones",
  { timeout: 60_000 },
  async function (this: RestoredStoreWorld) {
    const { nodeFleet, restorations } = this;
    await nodeFleet.timers.run(6_000);
    assertOneLeader(nodeFleet, restorations);
    assert.equal(restorations.terms.at(-1)?.era, nodeFleet.store.era);
  },
);

Then(
  "no node sends requests to a host {int} seconds after the restored store showed that it leaves",
  function (this: RestoredStoreWorld, seconds: number) {
    const late = this.restorations.lateRequests(seconds * 1_000);
    assert.deepEqual(late.slice(0, 3), []);
  },
);

Then("no node puts the zone back into service", function (
  this: RestoredStoreWorld,
) {
  for (const { id, log } of this.nodeFleet.entryHosts) {
    const states = (log?.named("zones_out") ?? []).map(({ out }) =>
      String(out)
    );
    const first = states.indexOf("z0");
    assert.notEqual(first, -1, `${id} didn't learn of the zone`);
    assert.deepEqual(states.slice(first).filter((out) => out !== "z0"), []);
  }
});

Then(
  "every node has the newest catalog in force within 3 seconds, and never an older one than before",
  function (this: RestoredStoreWorld) {
    assertCatalogs(this.nodeFleet, this.newestVersion);
  },
);

When(
  "in {int} rounds the store is restored and turns nodes away while hosts leave, catalogs change and leaders end",
  { timeout: 300_000 },
  async function (this: RestoredStoreWorld, rounds: number) {
    const fleet = this.nodeFleet;
    const { timers, random } = fleet;
    this.restorations = new StoreRestorations(fleet);
    this.newestVersion = 1;
    for (let i = 0; i < rounds; i++) {
      await timers.run(9_000);
      const events = 3 + random.int(5);
      for (let n = 0; n < events; n++) {
        timers.after(random.int(12_000), () => disturb(this));
      }
      await touchFor(fleet, random.int(7_000));
      const rewriteAfterMs = random.int(900);
      await this.restorations.run({
        loseMs: 500 + random.int(7_500),
        awayMs: random.int(3_000),
        rewriteAfterMs: rewriteAfterMs < 300 ? 0 : rewriteAfterMs,
      });
      if (random.float() < 0.7) touchAll(fleet, 20);
      if (random.float() < 0.4) {
        await timers.run(random.int(2_500));
        await this.restorations.run({
          loseMs: random.int(4_000),
          awayMs: random.int(1_000),
          rewriteAfterMs: 0,
        });
      }
      await timers.run(14_000);
      for (const entryHost of fleet.entryHosts) entryHost.start();
    }
    await timers.run(9_000);
  },
);

Then(
  "every node in touch followed the store within 3 seconds, under one leader with rising terms",
  function (this: RestoredStoreWorld) {
    const { nodeFleet, restorations } = this;
    assert.deepEqual(restorations.lateRequests(3_000).slice(0, 3), []);
    assertCatalogs(nodeFleet, this.newestVersion);
    assertOneLeader(nodeFleet, restorations);
    assert.deepEqual(restorations.sharedLeads.slice(0, 3), []);
  },
);

Given(
  "a node with the catalog in force that the store has",
  async function (this: RestoredStoreWorld) {
    const timers = new VirtualTimers();
    const store = new MemoryCoordination(timers);
    const now = () => timers.now();
    this.catalog = new CatalogHolder(now, now);
    const era = new StoreEra();
    const state = new FleetState({
      timers,
      store: new EraCheckedStore(store.client(), era),
      era,
      schema: SCHEMA,
      catalog: this.catalog,
      hosts: new HostRegistry(),
      zonesOutOfService: new Set(),
      role: () => ({
        isLeader: true,
        isReader: true,
        isPublisher: true,
        fleetSize: 1,
      }),
      lapseAfterMs: 2_400,
      drainWithinMs: () => 2_000,
      listener: SILENT_LISTENER,
    });
    this.timers = timers;
    this.store = store;
    store.put("operator/catalog", exampleCatalog(1));
    state.start();
    await timers.run(2_000);
    assert.ok(this.catalog.confirmationAgeMs < 1_100);
  },
);

When(
  "the store loses that catalog",
  async function (this: RestoredStoreWorld) {
    const { timers, store } = this;
    const copy = store.copy();
    store.put("operator/catalog", exampleCatalog(2));
    await timers.run(500);
    store.restore(copy);
    await timers.run(4_000);
  },
);

Then(
  "the catalog stays in force, and isn't confirmed until it is written again",
  async function (this: RestoredStoreWorld) {
    const { timers, store, catalog } = this;
    assert.equal(catalog.version, 2);
    assert.ok(catalog.confirmationAgeMs >= 4_000);
    store.put("operator/catalog", exampleCatalog(2));
    await timers.run(200);
    assert.ok(catalog.confirmationAgeMs < 1_100);
  },
);

When(
  "the store loses a catalog that the node never read",
  async function (this: RestoredStoreWorld) {
    const { timers, store } = this;
    // A request that has just begun would see the catalog before the restoration.
    store.restore(store.copy());
    await timers.run(100);
  },
);

Then(
  "the catalog is confirmed {int} second later, but not at once",
  async function (this: RestoredStoreWorld, seconds: number) {
    const { timers, catalog } = this;
    await timers.run(400);
    assert.ok(catalog.confirmationAgeMs >= 500);
    await timers.run(seconds * 1_000 - 400);
    assert.ok(catalog.confirmationAgeMs < 500);
  },
);

/** One event of the operator, of a host or of a leader. */
function disturb(world: RestoredStoreWorld): void {
  const { timers, random, store, leader, servingHosts } = world.nodeFleet;
  const kind = random.int(5);
  if (kind === 0) return leaveAndReplace(world.nodeFleet);
  if (kind === 1) return touchAll(world.nodeFleet, 1);
  if (kind === 2 && leader !== undefined && servingHosts.length > 0) {
    if (random.float() < 0.5) leader.kill();
    else leader.terminate();
    timers.after(3_000 + random.int(2_000), () => leader.start());
    return;
  }
  if (kind === 3) return turnAwaySome(world);
  // The operator's writes fail while the store is away.
  if (!store.faults.down) {
    world.nodeFleet.putCatalog(++world.newestVersion);
  }
}

/** The store turns away some nodes, which learn from their peers meanwhile. */
function turnAwaySome({ nodeFleet, disruptions }: RestoredStoreWorld): void {
  const { random, entryHosts } = nodeFleet;
  const count = 1 + random.int(2);
  const affected = Array.from({ length: count }, () => random.pick(entryHosts));
  const access = random.pick(["silent", "refused"] as const);
  disruptions.turnAway(new Set(affected), access, 1_000 + random.int(6_000));
}

/** The store comes back from a copy in which no node leads. */
async function loseLeaderKey(world: RestoredStoreWorld): Promise<void> {
  const { nodeFleet, restorations } = world;
  const former = nodeFleet.leader;
  const copy = await restorations.copyWithoutLeader();
  await restorations.awaitLeader(former?.id);
  await nodeFleet.timers.run(2_000);
  former?.start();
  await nodeFleet.timers.run(2_000);
  await restorations.run(
    { loseMs: 0, awayMs: 300, rewriteAfterMs: 0 },
    copy,
  );
}

function assertOneLeader(
  fleet: NodeFleet,
  { terms }: StoreRestorations,
): void {
  const leaders = fleet.running.filter(({ isLeader }) => isLeader);
  const holder = fleet.store.readValue("oleander/acting");
  assert.deepEqual(leaders.map(({ id }) => id), [holder]);
  const notAbove = terms.filter(({ term }, i) =>
    i > 0 && term <= terms[i - 1].term
  );
  assert.deepEqual(notAbove, []);
}

function assertCatalogs(fleet: NodeFleet, newest: number): void {
  for (const { id, logs, log } of fleet.entryHosts) {
    const last = log?.named("catalog_in_force").at(-1);
    assert.equal(last?.version, newest, id);
    for (const run of logs) {
      const versions = run.named("catalog_in_force").map(({ version }) =>
        Number(version)
      );
      assert.deepEqual(versions, versions.toSorted((a, b) => a - b));
    }
  }
}

/** Hosts announce themselves anew at short intervals. */
async function touchFor(fleet: NodeFleet, ms: number): Promise<void> {
  for (let at = 0; at < ms; at += 200) {
    fleet.touchHost(fleet.random.pick(fleet.servingHosts));
    await fleet.timers.run(200);
  }
}

function touchAll(fleet: NodeFleet, times: number): void {
  for (let i = 0; i < times; i++) {
    for (const id of fleet.servingHosts) fleet.touchHost(id);
  }
}

function leaveAndReplace(fleet: NodeFleet): void {
  fleet.leave(fleet.servingHosts[0], "announced");
  fleet.addHost();
}
