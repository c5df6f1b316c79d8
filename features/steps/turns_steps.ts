/**
 * Steps of turns.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Random } from "../../src/base/random.ts";
import { RequestQueue } from "../../src/core/relay/request_queue.ts";
import type { LoadRequest, QueueLoad } from "./queue_load.ts";
import { serviceOf } from "./queue_load.ts";
import { playLoad } from "./queue_loads.ts";
import { QueueFixture } from "./queue_fixture.ts";

const SEEDS = [1, 2, 3, 4, 5];
interface TurnsWorld {
  loads: QueueLoad[];
  queue: QueueFixture;
}

function requestsOf(world: TurnsWorld): LoadRequest[] {
  return world.loads.flatMap((load) => load.requests);
}

/** Limits of the sizes of the largest tenth and of the largest three tenths. */
function sizeLimits(requests: readonly LoadRequest[]) {
  const sizes = requests.map((r) => r.promptTokens).sort((a, b) => a - b);
  return {
    tenth: sizes[Math.floor(sizes.length * 0.9)],
    threeTenths: sizes[Math.floor(sizes.length * 0.7)],
  };
}

function isInBurst({ at }: LoadRequest): boolean {
  return at >= 2_000 && at < 5_000;
}

function select(world: TurnsWorld, name: string): LoadRequest[] {
  const requests = requestsOf(world);
  const { tenth } = sizeLimits(requests);
  const filters: Record<string, (request: LoadRequest) => boolean> = {
    "all callers": isInBurst,
    "other customers": (r) => isInBurst(r) && /^small/.test(r.customer),
    "patient callers": (r) => isInBurst(r) && !r.repeatsAtOnce,
    "the largest tenth": (r) => isInBurst(r) && r.promptTokens >= tenth,
    "priority 0": (r) => isInBurst(r) && r.priority === 0,
    "priority 1": (r) => isInBurst(r) && r.priority === 1,
    "the crowd": ({ at }) => at >= 1_000 && at < 1_010,
  };
  return requests.filter(filters[name]);
}

When("{string} is played", function (this: TurnsWorld, name: string) {
  this.loads = SEEDS.map((seed) =>
    playLoad(name, seed, (deps) => new RequestQueue(deps))
  );
});

Then(
  "of the requests of {string} in the burst at least {int} percent are served and {int} (percent )(in time)",
  function (this: TurnsWorld, name: string, served: number, inTime: number) {
    const service = serviceOf(select(this, name));
    const text = JSON.stringify(service);
    assert.ok(service.count > 100, text);
    assert.ok(service.served >= served / 100, text);
    assert.ok(service.inTime >= inTime / 100, text);
  },
);

Given("a queue without room", function (this: TurnsWorld) {
  this.queue = new QueueFixture();
});

Given(
  "a queue with room for small requests only",
  function (this: TurnsWorld) {
    this.queue = new QueueFixture();
    this.queue.hasRoom = ({ promptTokens }) => promptTokens < 200;
  },
);

When(
  "requests of customers {string} are queued",
  function (this: TurnsWorld, customers: string) {
    const counts = new Map<string, number>();
    for (const customer of customers.split(", ")) {
      const count = (counts.get(customer) ?? 0) + 1;
      counts.set(customer, count);
      this.queue.add({ name: `${customer}${count}`, customer });
      this.queue.now += 1;
    }
  },
);

Given(
  "{int} ms of engine time were given to {string}",
  function (this: TurnsWorld, engineMs: number, customer: string) {
    const { queue } = this;
    queue.hasRoom = () => true;
    for (let given = 0; given < engineMs; given += queue.engineMs) {
      queue.add({ name: "given", customer });
    }
    queue.hasRoom = () => false;
    queue.sent.length = 0;
  },
);

When("room is found", function (this: TurnsWorld) {
  this.queue.hasRoom = () => true;
  this.queue.advance(1);
});

When(
  "{string} with a goal of {int} ms and then {string} with a goal of {int} ms are queued",
  function (
    this: TurnsWorld,
    first: string,
    firstMs: number,
    second: string,
    secondMs: number,
  ) {
    this.queue.add({ name: first, goalMs: firstMs });
    this.queue.add({ name: second, goalMs: secondMs });
  },
);

When(
  "{string} with a goal of {int} ms and then {string} with a response in progress are queued",
  function (this: TurnsWorld, first: string, goalMs: number, begun: string) {
    this.queue.add({ name: first, goalMs });
    this.queue.add({ name: begun, goalMs: 1, firstByteMs: 1 });
  },
);

Then(
  "they are sent in the order {string}",
  function (this: TurnsWorld, names: string) {
    assert.equal(this.queue.sent.join(", "), names);
  },
);

When(
  "{int} requests of {string} and {int} of {string} are queued",
  function (
    this: TurnsWorld,
    first: number,
    firstCustomer: string,
    second: number,
    secondCustomer: string,
  ) {
    for (let i = 0; i < first; i++) {
      this.queue.add({ name: firstCustomer + i, customer: firstCustomer });
    }
    for (let i = 0; i < second; i++) {
      this.queue.add({ name: secondCustomer + i, customer: secondCustomer });
    }
    assert.equal(this.queue.queue.size, 512);
  },
);

When(
  /^a request of "newcomer"( with a lower priority)? is queued$/,
  function (this: TurnsWorld, isLower: string | null) {
    this.queue.add({
      name: "newcomer",
      customer: "newcomer",
      priority: isLower === null ? 1 : 2,
    });
  },
);

Then(
  "1 request of {string} is refused and no other",
  function (this: TurnsWorld, customer: string) {
    const names = this.queue.refused.map(({ name }) => name);
    assert.equal(names.length, 1);
    assert.ok(names[0].startsWith(customer), names[0]);
    assert.deepEqual(this.queue.sent, []);
  },
);

When(
  /^a (large request|request that is too large) has waited for (\d+) of its 50 milliseconds$/,
  function (this: TurnsWorld, kind: string, ms: string) {
    const promptTokens = kind === "large request" ? 400 : 4_000;
    this.queue.add({ name: "large", promptTokens });
    this.queue.now += Number(ms);
  },
);

When("a small request arrives", function (this: TurnsWorld) {
  this.queue.add({ name: "small" });
});

Then(
  "the small request waits, and is sent when it is overdue",
  function (this: TurnsWorld) {
    assert.deepEqual(this.queue.sent, []);
    this.queue.advance(50);
    assert.deepEqual(this.queue.sent, ["small"]);
  },
);

Then("the small request is sent at once", function (this: TurnsWorld) {
  assert.deepEqual(this.queue.sent, ["small"]);
});

When(
  "{int} requests of all sizes for {string} are queued",
  function (this: TurnsWorld, count: number, model: string) {
    const random = new Random(5);
    for (let i = 0; i < count; i++) {
      this.queue.add({
        name: `${model}-${i}`,
        model,
        customer: `customer-${random.int(24)}`,
        promptTokens: 100 + random.int(1_000),
        goalMs: 200 + random.int(400),
      });
    }
    this.queue.looks = 0;
  },
);

When(
  "room is found for {string} and a request for it arrives",
  function (this: TurnsWorld, model: string) {
    this.queue.hasRoom = (query) => query.model === model;
    this.queue.add({ name: "other", model });
  },
);

Then("it is sent after 1 look for room", function (this: TurnsWorld) {
  assert.deepEqual(this.queue.sent, ["other"]);
  assert.equal(this.queue.looks, 1);
});

When("the queue is dispatched", function (this: TurnsWorld) {
  this.queue.advance(1);
});

Then(
  "a dispatch looks for room at most {int} times",
  function (this: TurnsWorld, max: number) {
    assert.ok(this.queue.looks > 0);
    assert.ok(this.queue.looks <= max, `${this.queue.looks}`);
    assert.equal(this.queue.queue.size, 500);
  },
);
