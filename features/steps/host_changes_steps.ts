/**
 * Steps of gossip.feature: nodes that follow one store and share host changes.
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
  zoneOutOfService: (key) => key.split("operator/out/")[1],
};

interface Follower {
  readonly state: FleetState;
  readonly catalog: CatalogHolder;
  readonly hosts: HostRegistry;
  readonly zonesOutOfService: Set<string>;
}

interface HostChangesWorld {
  timers: VirtualTimers;
  store: MemoryCoordination;
  followers: Follower[];
  /** Requests of all nodes to the store; later the number per second. */
  storeRequests: number;
  /** Requests for host changes by nodes that receive these from publishers. */
  subscriberReads: number;
  /** Whether all messages between nodes are lost. */
  isPartitioned: boolean;
  /** Indices of followers whose long polls of the store get no response. */
  withoutLongPollResponses: Set<number>;
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
  "{int} nodes that follow a store, of which {int} are readers",
  async function (this: HostChangesWorld, count: number, readers: number) {
    this.timers = new VirtualTimers();
    this.store = new MemoryCoordination(this.timers);
    this.storeRequests = 0;
    this.subscriberReads = 0;
    this.isPartitioned = false;
    this.withoutLongPollResponses = new Set();
    for (let i = 0; i < 20; i++) this.store.put(`hosts/h${i}`, host(`h${i}`));
    this.followers = Array.from(
      { length: count },
      (_, i) => createFollower(this, i, count, readers),
    );
    for (const { state } of this.followers) state.start();
    this.timers.subscribe(100, () => {
      for (const from of this.followers) sendStatus(this, from);
    });
    await this.timers.run(8_000);
    this.storeRequests = 0;
  },
);

function createFollower(
  world: HostChangesWorld,
  index: number,
  count: number,
  readers: number,
): Follower {
  const { timers } = world;
  const hosts = new HostRegistry();
  const zonesOutOfService = new Set<string>();
  const now = () => timers.now();
  const catalog = new CatalogHolder(now, now);
  const state: FleetState = new FleetState({
    timers,
    store: countingStore(world, index),
    schema: SCHEMA,
    catalog,
    hosts,
    zonesOutOfService,
    role: () => ({
      isLeader: index === 0,
      isReader: index < readers,
      isPublisher: index === 1,
      fleetSize: count,
    }),
    lapseAfterMs: 2_400,
    listener: {
      catalogChanged() {},
      zonesChanged() {},
      nodesChanged() {},
      leaderChanged() {},
      feedLost() {},
      feedRegained() {},
    },
  });
  return { state, catalog, hosts, zonesOutOfService };
}

function countingStore(
  world: HostChangesWorld,
  index: number,
): CoordinationStore {
  const client = world.store.client();
  return {
    ...client,
    list: (prefix) => {
      world.storeRequests += 1;
      return client.list(prefix);
    },
    changes: (prefix, after, waitMs) => {
      world.storeRequests += 1;
      if (index > 1 && prefix === SCHEMA.hostPrefix) world.subscriberReads += 1;
      const hasNoResponse = world.withoutLongPollResponses.has(index) &&
        waitMs > 100;
      return hasNoResponse
        ? new Promise(() => {})
        : client.changes(prefix, after, waitMs);
    },
  };
}

function sendStatus(world: HostChangesWorld, from: Follower): void {
  if (world.isPartitioned) return;
  const update = from.state.createUpdate();
  const { version, confirmationAgeMs } = from.catalog;
  for (const to of world.followers) {
    if (to === from) continue;
    world.timers.after(3, () => {
      to.state.receiveUpdate(update);
      to.catalog.recordPeerConfirmation(version, confirmationAgeMs);
    });
  }
}

When(
  "hosts change {int} times a second for {int} seconds",
  async function (this: HostChangesWorld, perSecond: number, seconds: number) {
    for (let i = 1; i <= perSecond * seconds; i++) {
      this.store.put(`hosts/h${i % 20}`, host(`h${i % 20}`, i));
      await this.timers.run(1_000 / perSecond);
    }
    this.storeRequests /= seconds;
  },
);

When(
  "{int} hosts change {int} times each within {int} milliseconds",
  async function (
    this: HostChangesWorld,
    hosts: number,
    times: number,
    ms: number,
  ) {
    // Subscribers have polled the store by now; their next poll is not due.
    await this.timers.run(8_000);
    this.subscriberReads = 0;
    for (let change = 0; change < hosts * times; change++) {
      const id = `h${change % hosts}`;
      this.store.put(`hosts/${id}`, host(id, 1_000 + change));
      await this.timers.run(ms / (hosts * times));
    }
  },
);

Then(
  "nodes other than the leader and the publisher request host changes from the store at most {int} times",
  function (this: HostChangesWorld, max: number) {
    assert.ok(
      this.subscriberReads <= max,
      `${this.subscriberReads} requests`,
    );
  },
);

When(
  "no node receives messages for {int} seconds",
  async function (this: HostChangesWorld, seconds: number) {
    this.isPartitioned = true;
    await this.timers.run(seconds * 1_000);
  },
);

/**
 * Removes a host while every message is lost, between two polls of the store by
 * subscribers.
 */
async function removeHostDuringLoss(
  world: HostChangesWorld,
  ms: number,
): Promise<void> {
  await world.timers.run(2_500);
  world.isPartitioned = true;
  world.store.remove("hosts/h4");
  await world.timers.run(ms);
  world.isPartitioned = false;
}

When(
  "every message is lost for {int} milliseconds in which a host leaves, and another changes later",
  async function (this: HostChangesWorld, ms: number) {
    await removeHostDuringLoss(this, ms);
    this.store.put("hosts/h3", host("h3", 9_000));
  },
);

When(
  "every message is lost for {int} milliseconds in which a host leaves",
  function (this: HostChangesWorld, ms: number) {
    return removeHostDuringLoss(this, ms);
  },
);

When(
  "a host leaves and a node that starts later lists the hosts",
  async function (this: HostChangesWorld) {
    this.store.remove("hosts/h4");
    await this.timers.run(1_000);
    this.followers.push(createFollower(this, this.followers.length, 12, 3));
    this.followers.at(-1)?.state.start();
    await this.timers.run(2_000);
    this.storeRequests = 0;
  },
);

Then(
  "all nodes together send the store at most {int} requests a second in {int} seconds",
  async function (this: HostChangesWorld, max: number, seconds: number) {
    await this.timers.run(seconds * 1_000);
    const perSecond = this.storeRequests / seconds;
    assert.ok(perSecond <= max, `${perSecond} requests a second`);
  },
);

When(
  "a peer sends the state of a host from before it left",
  async function (this: HostChangesWorld) {
    this.store.remove("hosts/h4");
    await this.timers.run(1_000);
    const value = JSON.stringify(host("h4"));
    for (const { state } of this.followers) {
      state.receiveUpdate({
        publishesHosts: true,
        hostChanges: [{
          key: "hosts/h4",
          revision: 6,
          previous: 5,
          value,
          isLapsed: false,
        }],
        isTruncated: false,
        hostRevision: 6,
        operatorRevision: 0,
      });
    }
  },
);

When(
  "the long polls of node {int} get no response and a zone is taken out of service",
  async function (this: HostChangesWorld, index: number) {
    this.withoutLongPollResponses.add(index);
    await this.timers.run(9_000);
    this.store.put("operator/out/z", true);
  },
);

async function assertAllUpToDate(
  world: HostChangesWorld,
  ms: number,
): Promise<void> {
  await world.timers.run(ms);
  for (const { hosts } of world.followers) {
    for (let i = 0; i < 20; i++) {
      const stored = world.store.readValue(`hosts/h${i}`);
      const known = hosts.get(`h${i}`);
      assert.deepEqual(known, stored && JSON.parse(stored));
    }
  }
}

Then(
  "every node has each change {int} milliseconds later",
  function (this: HostChangesWorld, ms: number) {
    return assertAllUpToDate(this, ms);
  },
);

Then(
  "every node has each of {int} successive changes {int} milliseconds later",
  async function (this: HostChangesWorld, changes: number, ms: number) {
    for (let i = 0; i < changes; i++) {
      this.store.put(`hosts/h${i}`, host(`h${i}`, 9_000));
      this.store.remove(`hosts/h${i + 10}`);
      await assertAllUpToDate(this, ms);
    }
  },
);

Then(
  "all nodes together send the store at most {int} requests a second",
  function (this: HostChangesWorld, max: number) {
    assert.ok(this.storeRequests <= max, `${this.storeRequests} requests`);
  },
);

Then("no node adds the host again", function (this: HostChangesWorld) {
  for (const { hosts } of this.followers) {
    assert.equal(hosts.get("h4"), undefined);
  }
});

Then(
  "node {int} has taken the zone out of service {int} milliseconds later",
  async function (this: HostChangesWorld, index: number, ms: number) {
    await this.timers.run(ms);
    assert.ok(this.followers[index].zonesOutOfService.has("z"));
  },
);
