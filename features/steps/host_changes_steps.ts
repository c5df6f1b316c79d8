/**
 * Steps of gossip.feature: nodes that follow one store and share host changes.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Given, Then, When } from "@cucumber/cucumber";
import { failure } from "../../src/base/outcome.ts";
import { sleep } from "../../src/base/timers.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import { FleetState } from "../../src/core/fleet/fleet_state.ts";
import { StoreEra } from "../../src/core/fleet/store_era.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import type { CoordinationStore } from "../../src/ports/coordination_store.ts";
import type { FleetSchema } from "../../src/ports/fleet_schema.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";
import { SILENT_LISTENER } from "./fleet_state_fixture.ts";

/** Time between polls of a node that receives host changes from publishers. */
const SUBSCRIBER_PAUSE_MS = 12_000;

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
  /** When one of these nodes last requested host changes. */
  subscriberPolledAt: number;
  /** Whether all messages between nodes are lost. */
  isPartitioned: boolean;
  /** Indices of followers whose long polls of the store get no response. */
  withoutLongPollResponses: Set<number>;
  /** Indices of followers that get no response from the store. */
  withoutResponses: Set<number>;
  /** Indices of followers whose next poll finds the history compacted. */
  withoutHistory: Set<number>;
  /** Called when the store has made a listing, which then takes 700 ms. */
  onListing: (() => void) | undefined;
  /** Indices of the leader and of the other publisher. */
  publishers: readonly [number, number];
  drainWithinMs: number;
  lapseAfterMs: number;
  /** When each host left. */
  leftAt: Map<string, number>;
  /** Hosts that were listed in a list confirmed after they had left. */
  falseConfirmations: Set<string>;
  /** For each host that left, the time until other nodes learned of it. */
  learnedAfterMs: number[];
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
  { timeout: 30_000 },
  function (this: HostChangesWorld, count: number, readers: number) {
    this.drainWithinMs = 3_000;
    this.lapseAfterMs = 2_400;
    return startFollowers(this, count, readers);
  },
);

Given(
  "{int} nodes that follow a store, of which {int} are readers, with lists that may be {int} seconds old",
  { timeout: 30_000 },
  function (
    this: HostChangesWorld,
    count: number,
    readers: number,
    seconds: number,
  ) {
    this.drainWithinMs = seconds * 2_000;
    this.lapseAfterMs = seconds * 2_000;
    return startFollowers(this, count, readers);
  },
);

async function startFollowers(
  world: HostChangesWorld,
  count: number,
  readers: number,
): Promise<void> {
  world.timers = new VirtualTimers();
  world.store = new MemoryCoordination(world.timers);
  world.storeRequests = 0;
  world.subscriberReads = 0;
  world.subscriberPolledAt = 0;
  world.isPartitioned = false;
  world.withoutLongPollResponses = new Set();
  world.withoutResponses = new Set();
  world.withoutHistory = new Set();
  world.onListing = undefined;
  world.publishers = [0, 1];
  world.leftAt = new Map();
  world.falseConfirmations = new Set();
  world.learnedAfterMs = [];
  for (let i = 0; i < 20; i++) world.store.put(`hosts/h${i}`, host(`h${i}`));
  world.followers = Array.from(
    { length: count },
    (_, i) => createFollower(world, i, count, readers),
  );
  for (const { state } of world.followers) state.start();
  world.timers.subscribe(100, () => {
    for (const from of world.followers) sendStatus(world, from);
  });
  await world.timers.run(8_000);
  world.storeRequests = 0;
}

/** Records a list that lacks a change, but seems younger than the change. */
function recordFalseConfirmations(world: HostChangesWorld): void {
  for (const [id, leftAt] of world.leftAt) {
    const sinceMs = world.timers.now() - leftAt;
    // Publishers that were without the store may keep a host as lapsed.
    for (const { hosts, state } of world.followers.slice(2)) {
      const isListed = hosts.get(id) !== undefined;
      if (isListed && state.hostListAgeMs < sinceMs) {
        world.falseConfirmations.add(id);
      }
    }
  }
}

function removeHost(world: HostChangesWorld, id: string): void {
  world.store.remove(`hosts/${id}`);
  world.leftAt.set(id, world.timers.now());
}

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
    era: new StoreEra(),
    schema: SCHEMA,
    catalog,
    hosts,
    zonesOutOfService,
    role: () => ({
      isLeader: index === world.publishers[0],
      isReader: index < readers,
      isPublisher: index === world.publishers[1],
      fleetSize: count,
    }),
    lapseAfterMs: world.lapseAfterMs,
    drainWithinMs: () => world.drainWithinMs,
    listener: SILENT_LISTENER,
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
    list: async (prefix) => {
      world.storeRequests += 1;
      const res = await client.list(prefix);
      if (world.onListing === undefined) return res;
      world.onListing();
      await sleep(world.timers, 700);
      return res;
    },
    changes: async (prefix, after, waitMs) => {
      world.storeRequests += 1;
      if (index > 1 && prefix === SCHEMA.hostPrefix) {
        world.subscriberReads += 1;
        world.subscriberPolledAt = world.timers.now();
      }
      if (prefix === SCHEMA.hostPrefix && world.withoutHistory.delete(index)) {
        return failure({ kind: "compacted" });
      }
      const res = await client.changes(prefix, after, waitMs);
      const isLost = world.withoutResponses.has(index) ||
        (world.withoutLongPollResponses.has(index) && waitMs > 100);
      return isLost ? new Promise(() => {}) : res;
    },
  };
}

function sendStatus(world: HostChangesWorld, from: Follower): void {
  if (world.isPartitioned) return;
  const update = from.state.createUpdate();
  const { version, ownConfirmationAgeMs } = from.catalog;
  for (const to of world.followers) {
    if (to === from) continue;
    world.timers.after(3, () => {
      to.state.receiveUpdate(update, "peer", 0);
      recordFalseConfirmations(world);
      to.catalog.recordPeerConfirmation(version, ownConfirmationAgeMs);
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
  removeHost(world, "h4");
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
  "at {int} moments, {int} milliseconds apart, publishers get no response as a host leaves",
  { timeout: 60_000 },
  async function (this: HostChangesWorld, moments: number, stepMs: number) {
    for (let i = 0; i < moments; i++) {
      await this.timers.run(15_000 + i * stepMs);
      this.withoutResponses = new Set([0, 1]);
      removeHost(this, `h${i}`);
      this.learnedAfterMs.push(await timeUntilGone(this, `h${i}`));
      this.withoutResponses.clear();
    }
  },
);

When(
  "at {int} moments before the polls of subscribers, {int} milliseconds apart, messages and long polls begin to get lost as a host leaves",
  { timeout: 120_000 },
  async function (this: HostChangesWorld, moments: number, stepMs: number) {
    const all = new Set(this.followers.keys());
    for (let i = 1; i <= moments; i++) {
      // Nodes poll rarely again.
      await this.timers.run(14_000);
      const polledAt = this.subscriberPolledAt;
      while (this.subscriberPolledAt === polledAt) await this.timers.run(10);
      const nextPollAt = this.subscriberPolledAt + SUBSCRIBER_PAUSE_MS;
      await this.timers.runUntil(nextPollAt - i * stepMs);
      this.isPartitioned = true;
      this.withoutLongPollResponses = all;
      removeHost(this, `h${i}`);
      this.learnedAfterMs.push(await timeUntilGone(this, `h${i}`));
      this.withoutLongPollResponses = new Set();
      this.isPartitioned = false;
    }
  },
);

/** Time until every node but the publishers knows that a host has left. */
async function timeUntilGone(
  world: HostChangesWorld,
  id: string,
): Promise<number> {
  const startedAt = world.timers.now();
  const subscribers = world.followers.slice(2);
  while (subscribers.some(({ hosts }) => hosts.get(id) !== undefined)) {
    if (world.timers.now() - startedAt > 10_000) break;
    await world.timers.run(50);
  }
  return world.timers.now() - startedAt;
}

Then(
  "at each moment every other node learned of it within {int} milliseconds",
  function (this: HostChangesWorld, ms: number) {
    const late = this.learnedAfterMs.filter((afterMs) => afterMs > ms);
    assert.deepEqual(late, []);
    assert.deepEqual([...this.falseConfirmations], []);
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
      state.receiveUpdate(
        {
          storeEra: 0,
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
          hostRead: undefined,
          operatorRevision: 0,
        },
        "peer",
        0,
      );
    }
  },
);

When(
  "a publisher sends the removal of a host, which it takes for a lapse",
  function (this: HostChangesWorld) {
    const change = {
      key: "hosts/h4",
      revision: 1_000_000,
      previous: 0,
      value: undefined,
      isLapsed: true,
    };
    for (const { state } of this.followers) {
      const update = state.createUpdate();
      state.receiveUpdate({ ...update, hostChanges: [change] }, "peer", 0);
    }
  },
);

When(
  "node {int} lists the hosts again, and one leaves before the listing arrives",
  { timeout: 30_000 },
  async function (this: HostChangesWorld, index: number) {
    this.withoutHistory.add(index);
    this.onListing = () => removeHost(this, "h4");
    const update = this.followers[0].state.createUpdate();
    this.followers[index].state.receiveUpdate(
      { ...update, isTruncated: true },
      "peer",
      0,
    );
    // The node lists after its long pause.
    while (!this.leftAt.has("h4")) await this.timers.run(50);
    await this.timers.run(1_000);
  },
);

When(
  "nodes {int} and {int} become the publishers and a host leaves",
  async function (this: HostChangesWorld, leader: number, other: number) {
    // Subscribers are in their long pause by now.
    await this.timers.run(2_000);
    this.publishers = [leader, other];
    await this.timers.run(50);
    removeHost(this, "h4");
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
  assert.deepEqual([...world.falseConfirmations], []);
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

Then("no node lists the host", function (this: HostChangesWorld) {
  for (const { hosts } of this.followers) {
    assert.equal(hosts.get("h4"), undefined);
  }
});

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
