/**
 * Steps of store_era.feature: a client's access to a store that is restored.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Outcome } from "../../src/base/outcome.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { EraCheckedStore } from "../../src/core/fleet/era_checked_store.ts";
import { LeaderLease } from "../../src/core/fleet/leader_lease.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import type { StateUpdate } from "../../src/core/fleet/fleet_state.ts";
import { FleetState } from "../../src/core/fleet/fleet_state.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import { StoreEra } from "../../src/core/fleet/store_era.ts";
import { PlatformStore } from "../../src/platform/platform_store.ts";
import type {
  CoordinationError,
  CoordinationStore,
  EraOfAnswer,
  Lease,
} from "../../src/ports/coordination_store.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";
import type { StoreCopy } from "../../src/standins/fleet/store_copy.ts";
import { serveStore } from "../../src/standins/platform/store_listener.ts";
import { SILENT_LISTENER } from "./fleet_state_fixture.ts";
import { SCHEMA } from "./node_fleet.ts";

type Result = Outcome<unknown, CoordinationError>;

const HOST = {
  id: "h",
  service: "pool",
  address: "h:1",
  zone: "z",
  slots: 1,
  draining: false,
  coldLeftMs: 0,
  born: 1,
};

/** A node's lease and its access to the store. */
interface LeaseOfNode {
  readonly lease: LeaderLease;
  readonly store: CoordinationStore;
}

interface StoreEraWorld {
  closers: (() => void)[];
  timers: VirtualTimers;
  state: MemoryCoordination;
  copy: StoreCopy;
  era: StoreEra;
  client: CoordinationStore;
  other: CoordinationStore;
  lease: Lease;
  otherLease: Lease;
  result: Result;
  store: PlatformStore;
  eras: number[];
  terms: number[];
  leader: LeaseOfNode;
  successor: LeaseOfNode;
  /** Moments at which two nodes led. */
  sharedLeads: number;
  follower: FleetState;
  hosts: HostRegistry;
  requestCount: number;
}

/** Runs virtual time until a request has ended. */
async function run<T>(timers: VirtualTimers, request: Promise<T>): Promise<T> {
  let isDone = false;
  const done = request.finally(() => isDone = true);
  while (!isDone) await timers.run(1);
  return done;
}

async function grant(
  timers: VirtualTimers,
  store: CoordinationStore,
): Promise<Lease> {
  const granted = await run(timers, store.grantLease(2_000));
  assert.ok(granted.ok);
  return granted.value;
}

Given(
  "a lease that the store has lost and granted to another client",
  async function (this: StoreEraWorld) {
    this.timers = new VirtualTimers();
    const { timers } = this;
    this.state = new MemoryCoordination(timers);
    this.era = new StoreEra();
    this.client = new EraCheckedStore(this.state.client(), this.era);
    this.other = this.state.client();
    const copy = this.state.copy();
    this.lease = await grant(timers, this.client);
    this.state.restore(copy);
    this.otherLease = await grant(timers, this.other);
    assert.equal(this.otherLease.id, this.lease.id);
    const put = { key: "other", value: "1", lease: this.otherLease };
    await run(timers, this.other.write([], [put], []));
  },
);

Given(
  "a client that knows that the store was restored",
  async function (this: StoreEraWorld) {
    await run(this.timers, this.client.list("any/"));
    assert.equal(this.era.newest, 1);
  },
);

Given("a client that doesn't know it yet", function (this: StoreEraWorld) {
  assert.equal(this.era.newest, 0);
});

When(
  /^the client would (renew|end|write under) its lease$/,
  async function (this: StoreEraWorld, use: string) {
    const { client, lease, timers } = this;
    const put = { key: "mine", value: "1", lease };
    const request: Promise<Result> = use === "renew"
      ? client.renewLease(lease)
      : use === "end"
      ? client.endLease(lease)
      : client.write([], [put], []);
    this.result = await run(timers, request);
  },
);

Then(
  "its lease has ended, and the other client's lease and keys are as before",
  async function (this: StoreEraWorld) {
    assert.ok(this.result.ok);
    const { isRenewed = false, kind = "lease_ended" } = this.result.value as {
      isRenewed?: boolean;
      kind?: string;
    };
    assert.deepEqual([isRenewed, kind], [false, "lease_ended"]);
    assert.equal(this.state.readValue("mine"), undefined);
    assert.equal(this.state.readValue("other"), "1");
    const renewal = await run(
      this.timers,
      this.other.renewLease(this.otherLease),
    );
    assert.ok(renewal.ok && renewal.value.isRenewed);
  },
);

Then("the write counts as ambiguous", function (this: StoreEraWorld) {
  assert.ok(!this.result.ok);
  assert.equal(this.result.err.kind, "ambiguous");
});

Given(
  "a store whose answers to one client are delayed",
  function (this: StoreEraWorld) {
    this.timers = new VirtualTimers();
    this.state = new MemoryCoordination(this.timers);
    this.era = new StoreEra();
    this.other = new EraCheckedStore(this.state.client(), this.era);
    this.copy = this.state.copy();
  },
);

/** Delivers an answer only after the store was restored and answered again. */
function delayed<T>(
  world: StoreEraWorld,
  request: Promise<T>,
): Promise<T> {
  return request.then(async (res) => {
    world.state.restore(world.copy);
    await world.other.list("any/");
    return res;
  });
}

When(
  /^(a listing|changes|a write|a new lease) from before a restoration arrives after another answer$/,
  async function (this: StoreEraWorld, answer: string) {
    const inner = this.state.client();
    this.client = new EraCheckedStore({
      ...inner,
      list: (prefix) => delayed(this, inner.list(prefix)),
      changes: (...args) => delayed(this, inner.changes(...args)),
      write: (...args) => delayed(this, inner.write(...args)),
      grantLease: (ttlMs) => delayed(this, inner.grantLease(ttlMs)),
    }, this.era);
    await run(this.timers, this.other.list("any/"));
    const request: Promise<Result> = answer === "a listing"
      ? this.client.list("any/")
      : answer === "changes"
      ? this.client.changes("any/", { era: 0, revision: 1 }, 0)
      : answer === "a write"
      ? this.client.write([], [{ key: "mine", value: "1" }], [])
      : this.client.grantLease(2_000);
    this.result = await run(this.timers, request);
  },
);

Then(
  "the client is told that the store was restored",
  function (this: StoreEraWorld) {
    assert.ok(!this.result.ok);
    assert.equal(String(this.result.err.kind), "restored");
  },
);

When(
  "the client asks for changes after a revision that was given out twice",
  async function (this: StoreEraWorld) {
    const { timers, state, other } = this;
    state.put("any/a", 1);
    const listed = await run(timers, other.list("any/"));
    assert.ok(listed.ok);
    state.restore(this.copy);
    state.put("any/b", 1);
    state.put("any/c", 1);
    const { era, asOf } = listed.value;
    const after = { era, revision: asOf };
    this.result = await run(timers, other.changes("any/", after, 0));
  },
);

Then("it learns that the store was restored", function (this: StoreEraWorld) {
  assert.ok(!this.result.ok);
  assert.equal(String(this.result.err.kind), "restored");
});

async function serve(
  world: StoreEraWorld,
  listener: RequestListener,
): Promise<void> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  world.store = new PlatformStore(new SystemTimers(), `127.0.0.1:${port}`);
  world.closers = [() => {
    server.closeAllConnections();
    server.close();
  }];
}

Given(
  "a store over HTTP in era {int}",
  function (this: StoreEraWorld, era: number) {
    this.state = new MemoryCoordination(new SystemTimers(), era);
    return serve(this, serveStore(this.state));
  },
);

When(
  "it is restored between two calls of each kind",
  async function (this: StoreEraWorld) {
    const { store, state } = this;
    this.eras = [];
    const record = (res: Outcome<EraOfAnswer, CoordinationError>) => {
      assert.ok(res.ok);
      this.eras.push(res.value.era);
    };
    const lease: Lease = { id: 77, ttlMs: 1_000, era: 41 };
    const calls = [
      () => store.list("any/"),
      () => store.changes("any/", { era: 41, revision: 0 }, 0),
      () => store.write([], [{ key: "any/a", value: "1" }], []),
      () => store.write([{ key: "b", revision: 9 }], [], []),
      () => store.write([], [{ key: "any/a", value: "1", lease }], []),
      () => store.grantLease(1_000),
      () => store.renewLease(lease),
      () => store.endLease(lease),
    ];
    for (const call of calls) record(await call());
    state.restore(state.copy());
    for (const call of calls) record(await call());
  },
);

Then(
  "each answer has the era in which the store gave it",
  function (this: StoreEraWorld) {
    assert.deepEqual(this.eras.slice(0, 8), Array(8).fill(41));
    assert.deepEqual(this.eras.slice(8), Array(8).fill(42));
  },
);

Given(
  "a node that leads in a store whose first era is {int}",
  async function (this: StoreEraWorld, firstEra: number) {
    this.timers = new VirtualTimers();
    this.state = new MemoryCoordination(this.timers, firstEra);
    this.era = new StoreEra();
    this.terms = [];
    const now = () => this.timers.now();
    new LeaderLease({
      timers: this.timers,
      store: new EraCheckedStore(this.state.client(), this.era),
      era: this.era,
      nodeId: "n",
      wallClock: now,
      mayLead: () => true,
      onGained: (term) => this.terms.push(term),
      onLost: () => {},
    }).start();
    this.copy = this.state.copy();
    await this.timers.run(1_000);
    for (let i = 0; i < 500; i++) this.state.put("any/a", i);
  },
);

When(
  "the store is restored 3 times and the node leads again each time",
  async function (this: StoreEraWorld) {
    for (let i = 0; i < 3; i++) {
      this.state.restore(this.copy);
      await this.timers.run(4_000);
    }
  },
);

Then(
  "the terms rise, and their epochs are safe integers",
  function (this: StoreEraWorld) {
    assert.equal(this.terms.length, 4);
    assert.deepEqual(this.terms, this.terms.toSorted((a, b) => a - b));
    assert.equal(new Set(this.terms).size, 4);
    const epochs = this.terms.map((term) => (term + 1) * 4_096);
    assert.ok(epochs.every(Number.isSafeInteger), String(epochs));
  },
);

Given(
  "two nodes, of which one leads and renews its lease at any moment",
  async function (this: StoreEraWorld) {
    this.timers = new VirtualTimers();
    this.state = new MemoryCoordination(this.timers);
    this.copy = this.state.copy();
    const now = () => this.timers.now();
    const createNode = (nodeId: string) => {
      const era = new StoreEra();
      const store = new EraCheckedStore(this.state.client(), era);
      const lease = new LeaderLease({
        timers: this.timers,
        store,
        era,
        nodeId,
        wallClock: now,
        mayLead: () => true,
        onGained() {},
        onLost() {},
      });
      return { lease, store };
    };
    this.leader = createNode("a");
    this.successor = createNode("b");
    this.leader.lease.start();
    await this.timers.run(500);
    this.successor.lease.start();
    this.successor.lease.setHolder("a");
    await this.timers.run(2_000);
    assert.ok(this.leader.lease.isLeader);
  },
);

When(
  "the store loses the leader's key and the other node learns of it first",
  async function (this: StoreEraWorld) {
    const { timers, leader, successor, state } = this;
    this.sharedLeads = 0;
    const check = timers.subscribe(5, () => {
      if (leader.lease.isLeader && successor.lease.isLeader) {
        this.sharedLeads += 1;
      }
    });
    for (let i = 0; i < 40; i++) {
      // Each time at another moment of the renewals.
      await timers.run(3_000 + i * 10);
      state.restore(this.copy);
      await Promise.race([successor.store.list("any/"), timers.run(10)]);
    }
    await timers.run(4_000);
    check.cancel();
  },
);

Then(
  "no two nodes lead at the same time, and one does 4 seconds later",
  function (this: StoreEraWorld) {
    const { leader, successor, sharedLeads } = this;
    assert.equal(sharedLeads, 0);
    assert.ok(leader.lease.isLeader || successor.lease.isLeader);
  },
);

When(
  "the store is restored from a copy with the leader's key",
  function (this: StoreEraWorld) {
    this.state.restore(this.state.copy());
  },
);

Then(
  "the node leads again within {int} milliseconds",
  async function (this: StoreEraWorld, ms: number) {
    await this.timers.run(ms);
    assert.equal(this.terms.length, 2);
  },
);

Given(
  "a node that follows a store in era {int}",
  async function (this: StoreEraWorld, firstEra: number) {
    this.timers = new VirtualTimers();
    const { timers } = this;
    this.state = new MemoryCoordination(timers, firstEra);
    this.era = new StoreEra();
    this.hosts = new HostRegistry();
    const now = () => timers.now();
    this.follower = new FleetState({
      timers,
      store: new EraCheckedStore(this.state.client(), this.era),
      era: this.era,
      schema: SCHEMA,
      catalog: new CatalogHolder(now, now),
      hosts: this.hosts,
      zonesOutOfService: new Set(),
      role: () => ({
        isLeader: false,
        isReader: false,
        isPublisher: false,
        fleetSize: 12,
      }),
      lapseAfterMs: 2_400,
      drainWithinMs: () => 2_000,
      listener: SILENT_LISTENER,
    });
    this.state.put("hosts/h", HOST);
    this.follower.start();
    await timers.run(1_000);
    assert.ok(this.hosts.get("h"));
  },
);

/** What a peer sends that read the hosts at a revision. */
function peerUpdate(storeEra: number, revision: number): StateUpdate {
  return {
    storeEra,
    publishesHosts: true,
    hostChanges: [{
      key: "hosts/h",
      revision,
      previous: revision - 1,
      value: JSON.stringify({ ...HOST, draining: true }),
      isLapsed: false,
    }],
    isTruncated: false,
    hostRevision: revision,
    hostRead: { ageMs: 5, revision, changeRevision: revision },
    operatorRevision: 0,
  };
}

When(
  /^a peer in era (\d+) sends a change of a host with a (high|low) revision$/,
  function (this: StoreEraWorld, era: string, level: string) {
    this.requestCount = this.state.requestCount;
    const update = peerUpdate(Number(era), level === "high" ? 999 : 1);
    this.follower.receiveUpdate(update, "peer", 0);
  },
);

Then(
  "the node's list of hosts is that of the store",
  function (this: StoreEraWorld) {
    assert.equal(this.hosts.get("h")?.draining, false);
  },
);

Then(
  "the host leaves, and the node lists the hosts again",
  async function (this: StoreEraWorld) {
    assert.equal(this.hosts.get("h")?.draining, true);
    await this.timers.run(20);
    assert.ok(this.state.requestCount >= this.requestCount + 3);
  },
);

When(
  "the store is away and a peer in era {int} sends its reads",
  async function (this: StoreEraWorld, era: number) {
    const { timers, follower, state } = this;
    state.faults.down = true;
    for (let i = 0; i < 20; i++) {
      follower.receiveUpdate(peerUpdate(era, 50), "peer", 0);
      await timers.run(100);
    }
  },
);

Then("the list gets older", function (this: StoreEraWorld) {
  assert.ok(this.follower.hostListAgeMs >= 2_000);
});

Given("a store over HTTP that sends no era", function (this: StoreEraWorld) {
  return serve(this, (_req, res) => {
    res.end(JSON.stringify({ items: [], has_more: false, as_of: 3 }));
  });
});

Then("its answers have era 0", async function (this: StoreEraWorld) {
  const listing = await this.store.list("any/");
  assert.deepEqual(listing, {
    ok: true,
    value: { items: [], asOf: 3, era: 0 },
  });
});

Given(
  "a store over HTTP that is restored between the pages of a listing",
  function (this: StoreEraWorld) {
    let pages = 0;
    return serve(this, (_req, res) => {
      pages += 1;
      const era = pages === 1 ? 6 : 7;
      const isLast = pages === 3;
      res.setHeader("store-era", era);
      const value = Buffer.from("1").toString("base64");
      const key = `any/${era}-${pages}`;
      const items = [{ key, value, rev: pages }];
      res.end(JSON.stringify({ items, has_more: !isLast, as_of: pages }));
    });
  },
);

Then(
  "the listing has pages of the newest era alone",
  async function (this: StoreEraWorld) {
    const listing = await this.store.list("any/");
    assert.ok(listing.ok);
    const { items, asOf, era } = listing.value;
    assert.deepEqual(items.map(({ key }) => key), ["any/7-3"]);
    assert.deepEqual([asOf, era], [3, 7]);
  },
);
