import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { Random } from "../../src/base/random.ts";
import { FakeStore, StoreService } from "../../src/bench/fakes.ts";
import {
  VirtualNetwork,
  VirtualProcess,
} from "../../src/bench/virtual_network.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import type { QueueItem } from "../../src/core/limits/fair_queue.ts";
import { FairQueue } from "../../src/core/limits/fair_queue.ts";
import {
  COLD_START_LIMIT,
  ShareAllocator,
  WARM_AFTER_COMPLETED,
} from "../../src/core/limits/share_allocator.ts";
import { OrderAdmin } from "../../src/core/orders/order_admin.ts";
import { OrderStore } from "../../src/core/orders/order_store.ts";
import { SuspectRequestTracker } from "../../src/core/retries/suspect_request_tracker.ts";
import { MemoryKeyValue } from "../../src/standins/sim/memory_key_value.ts";
import { EMPTY_CONFIGURATION } from "../../src/world/configuration.ts";

const HOUR_MS = 3_600_000;
const GATEWAY = {
  id: "gw-1",
  peerAddress: "gw-1",
  callerAddress: "gw-1",
  availabilityZone: "z",
};
const FIXED_SEED = { seed: 7, numRuns: 300 };

interface OrderWorld {
  timers: VirtualTimers;
  serverState: MemoryKeyValue;
  orders: OrderStore;
  store: FakeStore;
}

interface SuspectWorld {
  suspects: SuspectRequestTracker;
  gatewaySuspects: [SuspectRequestTracker, SuspectRequestTracker];
}

function orderRef(idempotencyKey: string) {
  return { customer: "c", service: "s", idempotencyKey, bodyHash: "h" };
}

Given(
  "an order store with a completed order and one whose outcome is unknown",
  async function (this: OrderWorld) {
    this.timers = new VirtualTimers();
    this.serverState = new MemoryKeyValue(this.timers);
    const process = new VirtualProcess("gw-1", this.timers);
    const network = new VirtualNetwork(this.timers, new Random(1));
    const service = new StoreService(this.timers, this.serverState);
    const store = new FakeStore(process, network, service);
    this.store = store;
    const self = { gatewayId: "gw-1", incarnation: "i1" };
    this.orders = new OrderStore(process, store, self);
    for (const key of ["completed", "unknown"]) {
      this.orders.claim(orderRef(key), 5_000).then((res) => {
        assert.equal(res.kind, "claimed");
        if (res.kind !== "claimed" || key === "unknown") return;
        const response = { status: 200, contentType: "text/plain", body: "ok" };
        this.orders.markDone(res.claim, response);
      });
    }
    await this.timers.run(1_000);
    assert.equal(this.serverState.readPrefix("orders/").length, 2);
  },
);

When("{int} hours pass for the order store", async function (
  this: OrderWorld,
  hours: number,
) {
  await this.timers.run(hours * HOUR_MS);
});

Then(
  "the record of the completed order has expired and the claim on the other remains",
  function (this: OrderWorld) {
    const keys = this.serverState.readPrefix("orders/").map((entry) =>
      entry.key
    );
    assert.deepEqual(keys, ["orders/c/s/unknown"]);
  },
);

async function settle(world: OrderWorld, key: string, isListed: boolean) {
  const [member] = isListed ? [{ ...GATEWAY, incarnation: "i1" }] : [];
  const gateways = member === undefined ? [] : [member];
  const cfg = { ...EMPTY_CONFIGURATION, gateways };
  const admin = new OrderAdmin(world.store);
  const call = admin.settle(orderRef(key), "not_run", cfg);
  await world.timers.run(1_000);
  return await call;
}

Then(
  "settling the unknown order is refused while its gateway is listed",
  async function (this: OrderWorld) {
    const res = await settle(this, "unknown", true);
    assert.equal(!res.ok && res.err.kind, "still_running");
  },
);

Then(
  "settling it is accepted once its gateway is removed, and it can be claimed again",
  async function (this: OrderWorld) {
    const res = await settle(this, "unknown", false);
    assert.ok(res.ok, JSON.stringify(res));
    const claim = this.orders.claim(
      orderRef("unknown"),
      this.timers.now() + 5_000,
    );
    await this.timers.run(1_000);
    assert.equal((await claim).kind, "claimed");
  },
);

Then(
  "settling the completed order is refused",
  async function (this: OrderWorld) {
    const res = await settle(this, "completed", false);
    assert.equal(!res.ok && res.err.kind, "already_settled");
  },
);

Given(
  "two gateways that have recorded two strikes of a request",
  function (this: SuspectWorld) {
    this.gatewaySuspects = [
      new SuspectRequestTracker(),
      new SuspectRequestTracker(),
    ];
    for (const suspects of this.gatewaySuspects) {
      suspects.merge({ fingerprint: "f", crashed: ["u1", "u2"] }, 0);
      assert.ok(suspects.isRefused("f"));
    }
  },
);

Given(
  "a gateway that has recorded strikes of {int} requests, one every second",
  function (this: SuspectWorld, count: number) {
    const suspects = new SuspectRequestTracker();
    for (let i = 0; i < count; i++) {
      suspects.recordCrash(`u-${i}`, [`f-${i}`], i * 1_000);
    }
    this.suspects = suspects;
  },
);

Then(
  "the {int} that it shares are the most recent ones",
  function (this: SuspectWorld, max: number) {
    const shared = this.suspects.shared(40_000, max);
    const newest = Array.from({ length: max }, (_, i) => `f-${39 - i}`);
    assert.deepEqual(shared.map(({ fingerprint }) => fingerprint), newest);
  },
);

When(
  "they exchange their strikes for {int} minutes",
  function (this: SuspectWorld, minutes: number) {
    const [first, second] = this.gatewaySuspects;
    for (let now = 0; now < minutes * 60_000; now += 500) {
      for (const suspect of first.shared(now, 200)) second.merge(suspect, now);
      first.expire(now);
      for (const suspect of second.shared(now, 200)) first.merge(suspect, now);
      second.expire(now);
    }
  },
);

Then("neither refuses the request", function (this: SuspectWorld) {
  for (const suspects of this.gatewaySuspects) {
    assert.equal(suspects.isRefused("f"), false);
  }
});

/** Reference order: repeatedly selects the best of all remaining requests. */
function referenceOrder(
  items: QueueItem[],
  running: Map<string, number>,
): string[] {
  const remaining = [...items];
  const runningCounts = new Map(running);
  const ranks = new Map<string, number>();
  const order: string[] = [];
  const rankOf = (item: QueueItem) =>
    ranks.get(`${item.priority}|${item.customer}`) ??
      (runningCounts.get(item.customer) ?? 0);
  while (remaining.length > 0) {
    const top = Math.max(...remaining.map((item) => item.priority));
    const level = remaining.filter((item) => item.priority === top);
    const least = Math.min(...level.map(rankOf));
    const fair = level.filter((item) => rankOf(item) === least);
    fair.sort((a, b) => a.deadline - b.deadline);
    const [next] = fair;
    ranks.set(`${next.priority}|${next.customer}`, rankOf(next) + 1);
    remaining.splice(remaining.indexOf(next), 1);
    order.push(next.id);
  }
  return order;
}

Then(
  "the queue's order equals that of the reference implementation for any load",
  function () {
    const waiting = fc.uniqueArray(
      fc.record({
        customer: fc.constantFrom("a", "b", "c"),
        priority: fc.integer({ min: 0, max: 2 }),
        deadline: fc.integer({ min: 0, max: 10_000 }),
      }),
      { maxLength: 20, selector: (item) => item.deadline },
    );
    const running = fc.dictionary(
      fc.constantFrom("a", "b", "c"),
      fc.integer({ min: 0, max: 4 }),
    );
    fc.assert(
      fc.property(waiting, running, (list, counts) => {
        const items = list.map((item, i) => ({ id: String(i), ...item }));
        const queue = new FairQueue<QueueItem>();
        for (const item of items) queue.push(item);
        const runningCounts = new Map(Object.entries(counts));
        const order = queue.inOrder(runningCounts).map((item) => item.id);
        assert.deepEqual(order, referenceOrder(items, runningCounts));
      }),
      FIXED_SEED,
    );
  },
);

Then(
  "no sequence of requests grants more slots than the budget",
  function () {
    const step = fc.record({
      gateway: fc.integer({ min: 0, max: 4 }),
      wanted: fc.integer({ min: 0, max: 6 }),
      completes: fc.integer({ min: 0, max: 2 }),
      waitMs: fc.integer({ min: 0, max: 40_000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const owner = new ShareAllocator();
        const inUse = [0, 0, 0, 0, 0];
        const completed = [0, 0, 0, 0, 0];
        let now = 0;
        for (const { gateway, wanted, completes, waitMs } of steps) {
          // A gateway with running requests contacts the owner well within the
          // 30 s for which its slots stay reserved.
          now += Math.min(waitMs, 400);
          const done = Math.min(completes, inUse[gateway]);
          inUse[gateway] -= done;
          completed[gateway] += done;
          const { share, warm } = owner.allocate(
            {
              gatewayId: `gw-${gateway}`,
              upstreamId: "u",
              inUse: inUse[gateway],
              wanted,
              completed: completed[gateway],
            },
            now,
            0,
          );
          if (warm) return;
          inUse[gateway] = share;
          const total = completed.reduce((sum, n) => sum + n, 0);
          const running = inUse.reduce((sum, n) => sum + n, 0);
          assert.ok(total < WARM_AFTER_COMPLETED);
          assert.ok(
            running <= COLD_START_LIMIT + total,
            `${running} running after ${total} completed`,
          );
        }
      }),
      FIXED_SEED,
    );
  },
);
