/**
 * Steps of gossip.feature: nodes that follow one store and tell each other.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import { FleetState } from "../../src/core/fleet/fleet_state.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import type { CoordinationStore } from "../../src/ports/coordination_store.ts";
import type { FleetSchema } from "../../src/ports/fleet_schema.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";

const SCHEMA: FleetSchema = {
  hostPrefix: "hosts/",
  operatorPrefix: "operator/",
  parseHost: (_key, value) =>
    JSON.parse(Buffer.from(value).toString()) as ServingHost,
  isCatalog: () => false,
  parseCatalog: () => undefined,
  zoneTakenOut: (key) => key.split("operator/out/")[1],
};

interface Follower {
  readonly state: FleetState;
  readonly catalog: CatalogHolder;
  readonly hosts: HostRegistry;
  readonly zonesOut: Set<string>;
}

interface HostNewsWorld {
  timers: VirtualTimers;
  store: MemoryCoordination;
  followers: Follower[];
  calls: number;
  /** Questions for hosts by nodes that others tell. */
  toldAsked: number;
  areApart: boolean;
  /** Followers whose waits are never answered. */
  silent: Set<number>;
}

function host(id: string, coldLeftMs = 0) {
  return {
    id,
    service: "pool",
    address: `${id}:1`,
    zone: "z",
    slots: 1,
    draining: false,
    coldLeftMs,
  };
}

Given(
  "{int} nodes that follow a store, {int} of them readers",
  async function (this: HostNewsWorld, count: number, readers: number) {
    this.timers = new VirtualTimers();
    this.store = new MemoryCoordination(this.timers);
    this.calls = 0;
    this.toldAsked = 0;
    this.areApart = false;
    this.silent = new Set();
    for (let i = 0; i < 20; i++) this.store.put(`hosts/h${i}`, host(`h${i}`));
    this.followers = Array.from(
      { length: count },
      (_, i) => follower(this, i, count, readers),
    );
    for (const { state } of this.followers) state.start();
    this.timers.subscribe(100, () => {
      for (const from of this.followers) tell(this, from);
    });
    await this.timers.run(8_000);
    this.calls = 0;
  },
);

function follower(
  world: HostNewsWorld,
  index: number,
  count: number,
  readers: number,
): Follower {
  const { timers } = world;
  const hosts = new HostRegistry();
  const zonesOut = new Set<string>();
  const now = () => timers.now();
  const catalog = new CatalogHolder(now, now);
  const state: FleetState = new FleetState({
    timers,
    store: counted(world, index),
    schema: SCHEMA,
    catalog,
    hosts,
    zonesOut,
    role: () => ({
      isActing: index === 0,
      isReader: index < readers,
      isTeller: index === 1,
      fleetSize: count,
    }),
    lapseAfterMs: 2_400,
    listener: {
      catalogChanged() {},
      zonesChanged() {},
      nodesChanged() {},
      actingIs() {},
      feedLost() {},
      feedRegained() {},
    },
  });
  return { state, catalog, hosts, zonesOut };
}

function counted(world: HostNewsWorld, index: number): CoordinationStore {
  const client = world.store.client();
  return {
    ...client,
    list: (prefix) => {
      world.calls += 1;
      return client.list(prefix);
    },
    changes: (prefix, after, waitMs) => {
      world.calls += 1;
      if (index > 1 && prefix === SCHEMA.hostPrefix) world.toldAsked += 1;
      const isSilent = world.silent.has(index) && waitMs > 100;
      return isSilent
        ? new Promise(() => {})
        : client.changes(prefix, after, waitMs);
    },
  };
}

function tell(world: HostNewsWorld, from: Follower): void {
  if (world.areApart) return;
  const news = from.state.news();
  const { version, confirmationAgeMs } = from.catalog;
  for (const to of world.followers) {
    if (to === from) continue;
    world.timers.after(3, () => {
      to.state.hear(news);
      to.catalog.confirmedByPeer(version, confirmationAgeMs);
    });
  }
}

When(
  "hosts change {int} times a second for {int} seconds",
  async function (this: HostNewsWorld, perSecond: number, seconds: number) {
    for (let i = 1; i <= perSecond * seconds; i++) {
      this.store.put(`hosts/h${i % 20}`, host(`h${i % 20}`, i));
      await this.timers.run(1_000 / perSecond);
    }
    this.calls /= seconds;
  },
);

When(
  "{int} hosts change {int} times each within {int} milliseconds",
  async function (
    this: HostNewsWorld,
    hosts: number,
    times: number,
    ms: number,
  ) {
    // Past the first look of told nodes, and well before the next.
    await this.timers.run(8_000);
    this.toldAsked = 0;
    for (let change = 0; change < hosts * times; change++) {
      const id = `h${change % hosts}`;
      this.store.put(`hosts/${id}`, host(id, 1_000 + change));
      await this.timers.run(ms / (hosts * times));
    }
  },
);

Then(
  "told nodes asked for hosts at most {int} times",
  function (this: HostNewsWorld, most: number) {
    assert.ok(this.toldAsked <= most, `${this.toldAsked} times`);
  },
);

When(
  "no node hears another for {int} seconds",
  async function (this: HostNewsWorld, seconds: number) {
    this.areApart = true;
    await this.timers.run(seconds * 1_000);
  },
);

/** A host leaves while every message is lost, away from the slow looks. */
async function leaveUnheard(world: HostNewsWorld, ms: number): Promise<void> {
  await world.timers.run(2_500);
  world.areApart = true;
  world.store.remove("hosts/h4");
  await world.timers.run(ms);
  world.areApart = false;
}

When(
  "every message is lost for {int} milliseconds in which a host leaves, and another changes later",
  async function (this: HostNewsWorld, ms: number) {
    await leaveUnheard(this, ms);
    this.store.put("hosts/h3", host("h3", 9_000));
  },
);

When(
  "every message is lost for {int} milliseconds in which a host leaves",
  function (this: HostNewsWorld, ms: number) {
    return leaveUnheard(this, ms);
  },
);

When(
  "a host leaves and one node lists again after it",
  async function (this: HostNewsWorld) {
    this.store.remove("hosts/h4");
    await this.timers.run(1_000);
    this.followers.push(follower(this, this.followers.length, 12, 3));
    this.followers.at(-1)?.state.start();
    await this.timers.run(2_000);
    this.calls = 0;
  },
);

Then(
  "all nodes together call the store at most {int} times a second in {int} seconds",
  async function (this: HostNewsWorld, most: number, seconds: number) {
    await this.timers.run(seconds * 1_000);
    const perSecond = this.calls / seconds;
    assert.ok(perSecond <= most, `${perSecond} calls a second`);
  },
);

When(
  "a peer tells of a host as it was before it left",
  async function (this: HostNewsWorld) {
    this.store.remove("hosts/h4");
    await this.timers.run(1_000);
    const value = JSON.stringify(host("h4"));
    for (const { state } of this.followers) {
      state.hear({
        tellsHosts: true,
        hostChanges: [{
          key: "hosts/h4",
          revision: 6,
          previous: 5,
          value,
          isLapsed: false,
        }],
        isCutShort: false,
        hostRevision: 6,
        operatorRevision: 0,
      });
    }
  },
);

When(
  "the waits of node {int} are never answered and a zone is taken out",
  async function (this: HostNewsWorld, index: number) {
    this.silent.add(index);
    await this.timers.run(9_000);
    this.store.put("operator/out/z", true);
  },
);

async function knowsAll(world: HostNewsWorld, ms: number): Promise<void> {
  await world.timers.run(ms);
  for (const { hosts } of world.followers) {
    for (let i = 0; i < 20; i++) {
      const stored = world.store.valueOf(`hosts/h${i}`);
      const known = hosts.get(`h${i}`);
      assert.deepEqual(known, stored && JSON.parse(stored));
    }
  }
}

Then(
  "every node knows each change {int} milliseconds later",
  function (this: HostNewsWorld, ms: number) {
    return knowsAll(this, ms);
  },
);

Then(
  "every node knows each of {int} changes in a row {int} milliseconds later",
  async function (this: HostNewsWorld, changes: number, ms: number) {
    for (let i = 0; i < changes; i++) {
      this.store.put(`hosts/h${i}`, host(`h${i}`, 9_000));
      this.store.remove(`hosts/h${i + 10}`);
      await knowsAll(this, ms);
    }
  },
);

Then(
  "all nodes together call the store at most {int} times a second",
  function (this: HostNewsWorld, most: number) {
    assert.ok(this.calls <= most, `${this.calls} calls`);
  },
);

Then("no node takes the host up again", function (this: HostNewsWorld) {
  for (const { hosts } of this.followers) {
    assert.equal(hosts.get("h4"), undefined);
  }
});

Then(
  "node {int} has taken the zone out {int} milliseconds later",
  async function (this: HostNewsWorld, index: number, ms: number) {
    await this.timers.run(ms);
    assert.ok(this.followers[index].zonesOut.has("z"));
  },
);
