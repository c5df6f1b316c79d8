/**
 * Steps of store_era.feature for two nodes that campaign while the store is restored.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { EraCheckedStore } from "../../src/core/fleet/era_checked_store.ts";
import { LeaderLease } from "../../src/core/fleet/leader_lease.ts";
import { StoreEra } from "../../src/core/fleet/store_era.ts";
import type { CoordinationStore } from "../../src/ports/coordination_store.ts";
import type { StoreCopy } from "../../src/standins/fleet/store_copy.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";

const FIRST_ERA = 4;
const SAMPLE_MS = 5;

interface CampaignWorld {
  timers: VirtualTimers;
  state: MemoryCoordination;
  /** The store before any node led. */
  copy: StoreCopy;
  leader: LeaderLease;
  challenger: LeaderLease;
  /** Called before each call of the challenger, with its name. */
  beforeCall: (
    name: "grantLease" | "write",
    args: readonly unknown[],
  ) => Promise<void> | undefined;
  mayChallenge: boolean;
  /** Time for which both nodes led. */
  bothLedMs: number;
}

function createCampaign(
  world: CampaignWorld,
  nodeId: string,
  wrap: (store: CoordinationStore) => CoordinationStore,
): { lease: LeaderLease; store: CoordinationStore } {
  const { timers, state } = world;
  const era = new StoreEra();
  const store = new EraCheckedStore(wrap(state.client()), era);
  const lease = new LeaderLease({
    timers,
    store,
    era,
    nodeId,
    wallClock: () => timers.now(),
    mayLead: () => nodeId === "leader" || world.mayChallenge,
    onGained() {},
    onLost() {},
  });
  return { lease, store };
}

Given(
  "two nodes that campaign, of which one leads",
  async function (this: CampaignWorld) {
    const timers = new VirtualTimers();
    this.timers = timers;
    this.state = new MemoryCoordination(timers, FIRST_ERA);
    this.copy = this.state.copy();
    this.beforeCall = () => undefined;
    this.mayChallenge = true;
    const leader = createCampaign(this, "leader", (store) => store);
    const challenger = createCampaign(this, "challenger", (store) => ({
      ...store,
      grantLease: async (...args) => {
        await this.beforeCall("grantLease", args);
        return await store.grantLease(...args);
      },
      write: async (...args) => {
        await this.beforeCall("write", args);
        return await store.write(...args);
      },
    }));
    this.leader = leader.lease;
    this.challenger = challenger.lease;
    this.leader.start();
    await timers.run(500);
    challenger.store.list("any/");
    await timers.run(10);
    this.challenger.start();
    this.challenger.setHolder("leader");
    await timers.run(4_000);
    assert.ok(this.leader.isLeader);
  },
);

When(
  "the store loses the key as the other one is granted a lease",
  async function (this: CampaignWorld) {
    const { timers, state, copy } = this;
    let isRestored = false;
    this.beforeCall = (name) => {
      if (name !== "grantLease" || isRestored) return undefined;
      isRestored = true;
      state.restore(copy);
      return undefined;
    };
    this.bothLedMs = 0;
    for (let ms = 0; ms < 15_000; ms += SAMPLE_MS) {
      await timers.run(SAMPLE_MS);
      const bothLead = this.leader.isLeader && this.challenger.isLeader;
      if (bothLead) this.bothLedMs += SAMPLE_MS;
    }
    assert.ok(isRestored);
  },
);

When(
  /^a late write of the other one takes the key under another's lease, and its node (lives|ends)$/,
  async function (this: CampaignWorld, fate: string) {
    const { timers, state, copy } = this;
    let hasWritten = false;
    this.beforeCall = async (name, args) => {
      if (name !== "write" || hasWritten) return;
      hasWritten = true;
      state.restore(copy);
      const [, puts] = args as Parameters<CoordinationStore["write"]>;
      await grantAgain(this, puts[0].lease?.id ?? 0);
    };
    for (let i = 0; i < 2_000 && !hasWritten; i++) await timers.run(10);
    assert.ok(hasWritten);
    await timers.run(500);
    this.mayChallenge = fate === "lives";
  },
);

/** Grants a lease id to another node again, which keeps renewing it. */
async function grantAgain(world: CampaignWorld, id: number): Promise<void> {
  const client = world.state.client();
  for (;;) {
    const granted = await client.grantLease(6_000);
    assert.ok(granted.ok);
    if (granted.value.id < id) continue;
    world.timers.subscribe(2_000, () => client.renewLease(granted.value));
    return;
  }
}

Then(
  "a node leads for most of the next 20 seconds",
  async function (this: CampaignWorld) {
    let ledMs = 0;
    for (let ms = 0; ms < 20_000; ms += 100) {
      await this.timers.run(100);
      if (this.leader.isLeader || this.challenger.isLeader) ledMs += 100;
    }
    assert.ok(ledMs > 10_000, `a node led for ${ledMs} ms`);
  },
);

Then("they never led at once, and one leads", function (this: CampaignWorld) {
  assert.equal(this.bothLedMs, 0);
  assert.ok(this.leader.isLeader || this.challenger.isLeader);
});
