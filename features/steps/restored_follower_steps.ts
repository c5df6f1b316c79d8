/**
 * Steps of store_era.feature for one node's view of a store that is restored.
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
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";
import { SILENT_LISTENER } from "./fleet_state_fixture.ts";
import { SCHEMA } from "./node_fleet.ts";

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
/** A host that announces itself anew again and again. */
const BUSY_HOST = { ...HOST, id: "g", address: "g:1" };
const ERA = 4;
const WRITE_INTERVAL_MS = 20;
const COUNTED_MS = 10_000;

interface FollowerWorld {
  timers: VirtualTimers;
  state: MemoryCoordination;
  era: StoreEra;
  hosts: HostRegistry;
  /** Requests for changes so far. */
  watchCount: number;
  usualCount: number;
  /** Whether a host is announced anew every {@linkcode WRITE_INTERVAL_MS}. */
  isBusy: boolean;
  /** Times after the last restoration at which the host was listed as serving. */
  servingAt: number[];
  /** Restores the copy from before the host left. */
  restore: () => void;
}

Given(
  /^a follower of a (busy|quiet) store$/,
  async function (this: FollowerWorld, activity: string) {
    const timers = new VirtualTimers();
    this.timers = timers;
    this.state = new MemoryCoordination(timers, ERA);
    this.era = new StoreEra();
    this.hosts = new HostRegistry();
    this.watchCount = 0;
    this.isBusy = activity === "busy";
    const client = this.state.client();
    const counted = {
      ...client,
      changes: (...args: Parameters<typeof client.changes>) => {
        this.watchCount += 1;
        return client.changes(...args);
      },
    };
    const now = () => timers.now();
    const follower = new FleetState({
      timers,
      store: new EraCheckedStore(counted, this.era),
      era: this.era,
      schema: SCHEMA,
      catalog: new CatalogHolder(now, now),
      hosts: this.hosts,
      zonesOutOfService: new Set(),
      role: () => ({
        isLeader: false,
        isReader: false,
        isPublisher: false,
        fleetSize: 5,
      }),
      lapseAfterMs: 2_400,
      drainWithinMs: () => 2_000,
      listener: SILENT_LISTENER,
    });
    this.state.put("hosts/h", HOST);
    this.state.put("hosts/g", BUSY_HOST);
    timers.subscribe(WRITE_INTERVAL_MS, () => {
      if (this.isBusy) this.state.put("hosts/g", BUSY_HOST);
    });
    timers.subscribe(100, () => this.hosts.expire(now()));
    follower.start();
    await timers.run(3_000);
  },
);

async function countWatches(world: FollowerWorld): Promise<number> {
  const before = world.watchCount;
  await world.timers.run(COUNTED_MS);
  return world.watchCount - before;
}

When(
  "the store is restored and a listing shows it first",
  async function (this: FollowerWorld) {
    const { timers, state } = this;
    const copy = state.copy();
    this.usualCount = await countWatches(this);
    // A watch from a lost revision is told of a compaction, and lists.
    this.isBusy = false;
    await timers.run(1_000);
    state.restore(copy);
    await timers.run(100);
    this.isBusy = true;
  },
);

Then(
  "it polls at most a third more often in the next 10 seconds than before",
  async function (this: FollowerWorld) {
    const count = await countWatches(this);
    assert.ok(
      count <= this.usualCount * 4 / 3,
      `${this.usualCount} before, ${count} after`,
    );
  },
);

When(
  /^a host is (removed|draining), and the store is restored from before that$/,
  async function (this: FollowerWorld, how: string) {
    const { timers, state, hosts } = this;
    const copy = state.copy();
    if (how === "removed") state.remove("hosts/h");
    else state.put("hosts/h", { ...HOST, draining: true });
    await timers.run(2_500);
    assert.notEqual(hosts.get("h")?.draining, false);
    this.servingAt = [];
    let restoredAt = timers.now();
    timers.subscribe(5, () => {
      if (hosts.get("h")?.draining !== false) return;
      this.servingAt.push(timers.now() - restoredAt);
    });
    this.restore = () => {
      restoredAt = timers.now();
      state.restore(copy);
      this.era.observe(state.era);
    };
    this.restore();
  },
);

When(
  "the history is compacted half a second later",
  async function (this: FollowerWorld) {
    const { timers, state } = this;
    await timers.run(600);
    state.faults.compactedBefore = Infinity;
    await timers.run(500);
    state.faults.compactedBefore = 0;
    await timers.run(500);
  },
);

When(
  "it is restored once more {int} milliseconds later",
  async function (this: FollowerWorld, ms: number) {
    await this.timers.run(ms);
    this.restore();
    await this.timers.run(1_500);
  },
);

Then("the host is never listed as serving", function (this: FollowerWorld) {
  assert.deepEqual(this.servingAt, []);
});
