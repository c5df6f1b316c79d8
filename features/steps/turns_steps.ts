/**
 * Steps of turns.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Random } from "../../src/base/random.ts";
import { RequestQueue } from "../../src/core/relay/request_queue.ts";
import type { Room, Turn } from "../../src/core/turns/mod.ts";
import { ReturnSchedule, TurnOrder } from "../../src/core/turns/mod.ts";
import type { LoadRequest, QueueLoad } from "./queue_load.ts";
import { serviceOf } from "./queue_load.ts";
import { playLoad } from "./queue_loads.ts";
import { QueueFixture } from "./queue_fixture.ts";
import type { RecordedResponse, RelayFixture } from "./relay_fixture.ts";

const SEEDS = [1, 2, 3, 4, 5];
const USABLE_MS = 2_600;
const ENGINE_MS = 57;
/** Share of the room that is for callers that return. */
const RETURN_SHARE = 0.1;

interface GivenSlot {
  readonly at: number;
  readonly engineMs: number;
}

interface TurnsWorld {
  loads: QueueLoad[];
  queue: QueueFixture;
  nodes: ReturnSchedule[];
  groups: number;
  slots: GivenSlot[];
  withoutSlot: number[];
  remembered: { schedule: ReturnSchedule; order: TurnOrder };
  fixture: RelayFixture;
  responses: RecordedResponse[];
  gauges: string;
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

When(
  "{string} is played on {int} nodes that share {int} groups and report their loads every 100 milliseconds",
  function (this: TurnsWorld, name: string, nodes: number, groups: number) {
    this.loads = SEEDS.slice(0, 2).map((seed) =>
      playLoad(name, seed, (deps) => new RequestQueue(deps), { groups, nodes })
    );
  },
);

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

Then(
  "of all requests at least {int} percent are served",
  function (this: TurnsWorld, percent: number) {
    const service = serviceOf(requestsOf(this));
    assert.ok(service.served >= percent / 100, JSON.stringify(service));
  },
);

Then(
  "the largest tenth and the fifth below it are served at least half as often as all",
  function (this: TurnsWorld) {
    const requests = requestsOf(this);
    const { tenth, threeTenths } = sizeLimits(requests);
    const all = serviceOf(requests).served;
    const largest = requests.filter((r) => r.promptTokens >= tenth);
    const below = requests.filter((r) =>
      r.promptTokens >= threeTenths && r.promptTokens < tenth
    );
    assert.ok(serviceOf(largest).served >= all / 2, `${all}`);
    assert.ok(serviceOf(below).served >= all / 2, `${all}`);
  },
);

Then(
  "those that repeat at once are not in time more often by {int} percent than the others",
  function (this: TurnsWorld, percent: number) {
    const requests = requestsOf(this).filter(isInBurst);
    const hasty = serviceOf(requests.filter((r) => r.repeatsAtOnce));
    const patient = serviceOf(requests.filter((r) => !r.repeatsAtOnce));
    const text = JSON.stringify({ hasty, patient });
    assert.ok(hasty.inTime - patient.inTime < percent / 100, text);
  },
);

Then(
  "of {int} refused callers no 2 are told the same time, and none more than a third of its time left",
  function (this: TurnsWorld, count: number) {
    for (const { requests } of this.loads) {
      const refused = requests.filter((r) => r.at >= 1_000 && r.told.length > 0)
        .slice(0, count);
      assert.equal(refused.length, count);
      const told = new Set(refused.map((r) => r.told[0]));
      assert.equal(told.size, count);
      for (const { at, told: [time] } of refused) {
        assert.ok(time - at <= 25 + DISPATCH_MS + 5_000 / 3, `${time - at}`);
      }
    }
  },
);

/** A queued request is refused at a dispatch after it is overdue. */
const DISPATCH_MS = 20;

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

When(
  "{string} is refused and returns {int} milliseconds after it was told",
  function (this: TurnsWorld, name: string, ms: number) {
    const { queue } = this;
    queue.add({ name });
    queue.advance(60);
    const [{ retryAfterMs }] = queue.refused;
    queue.now += retryAfterMs + ms - 2;
    queue.add({ name: "newcomer" });
    queue.now += 2;
    queue.add({ name });
  },
);

When(
  "{string} arrived before it",
  function (this: TurnsWorld, _name: string) {
    // The step before has queued it.
    assert.equal(this.queue.queue.size, 2);
  },
);

When(
  "{string} of the same request follows, after {string}",
  function (this: TurnsWorld, copy: string, _newcomer: string) {
    this.queue.now += 1;
    this.queue.add({ name: copy, fingerprint: "caller" });
  },
);

Then(
  "{int} returned caller was placed and {int} were refused",
  function (this: TurnsWorld, placed: number, refused: number) {
    assert.deepEqual(this.queue.returned, { placed, refused });
  },
);

When("it is refused again", function (this: TurnsWorld) {
  this.queue.advance(60);
});

Given(
  "{int} nodes that share {int} groups",
  function (this: TurnsWorld, count: number, groups: number) {
    this.nodes = Array.from({ length: count }, () => new ReturnSchedule());
    this.groups = groups;
    this.slots = [];
    this.withoutSlot = [];
  },
);

/** Refuses one caller at a node, and notes what it is told. */
function refuse(
  world: TurnsWorld,
  rank: number,
  fingerprint: string,
  now: number,
  options: { engineMs?: number; rate?: number } = {},
): void {
  const engineMs = options.engineMs ?? ENGINE_MS;
  const room: Room = {
    rate: options.rate ?? world.groups,
    nodes: world.nodes.length,
    rank,
    freeInMs: 0,
  };
  const { afterMs, hasSlot } = world.nodes[rank].refuse(
    {
      destination: "pool|small",
      fingerprint,
      engineMs,
      usableMs: USABLE_MS,
    },
    room,
    now,
  );
  assert.ok(afterMs <= USABLE_MS);
  if (hasSlot) world.slots.push({ at: now + afterMs, engineMs });
  else world.withoutSlot.push(afterMs);
}

When(
  "each refuses {int} callers within 10 milliseconds",
  function (this: TurnsWorld, count: number) {
    for (let i = 0; i < count; i++) {
      for (const rank of this.nodes.keys()) {
        refuse(this, rank, `${rank}-${i}`, i * 10 / count);
      }
    }
  },
);

When(
  "they refuse callers with requests of all sizes for 10 seconds",
  function (this: TurnsWorld) {
    const random = new Random(11);
    for (let i = 0; i < 20_000; i++) {
      const engineMs = 20 + random.int(80);
      const rank = random.int(this.nodes.length);
      refuse(this, rank, `caller-${i}`, i / 2, { engineMs });
    }
  },
);

/** Engine time of the slots that lie in a span of time. */
function handedOut(slots: readonly GivenSlot[], from: number, to: number) {
  return slots.filter(({ at }) => at > from && at <= to)
    .reduce((sum, { engineMs }) => sum + engineMs, 0);
}

Then(
  "until any time at most a tenth of the room is handed out",
  function (this: TurnsWorld) {
    assert.ok(this.slots.length > 20, `${this.slots.length}`);
    for (const { at } of this.slots) {
      const given = handedOut(this.slots, 0, at);
      assert.ok(given <= at * this.groups * RETURN_SHARE, `${given} to ${at}`);
    }
  },
);

Then(
  "until any time at most a tenth of the room, and one request a node, is handed out",
  function (this: TurnsWorld) {
    const allowance = this.nodes.length * ENGINE_MS;
    assert.ok(this.slots.length > 20, `${this.slots.length}`);
    for (const { at } of this.slots) {
      const given = handedOut(this.slots, 0, at) - allowance;
      assert.ok(given <= at * this.groups * RETURN_SHARE, `${given} to ${at}`);
    }
  },
);

Then(
  "in any second at most a tenth of the room, and one request a node, is handed out",
  function (this: TurnsWorld) {
    const max = 1_000 * this.groups * RETURN_SHARE + this.nodes.length * 100;
    assert.ok(this.slots.length > 50, `${this.slots.length}`);
    for (const { at } of this.slots) {
      const given = handedOut(this.slots, at - 1e-6, at + 1_000);
      assert.ok(given <= max, `${given} from ${at}`);
    }
  },
);

Then(
  "callers without a slot are told to return in the last tenth of the time that they can use",
  function (this: TurnsWorld) {
    assert.ok(this.withoutSlot.length > 0);
    for (const afterMs of this.withoutSlot) {
      assert.ok(afterMs >= USABLE_MS * 0.9 && afterMs <= USABLE_MS);
    }
  },
);

When(
  /^(\d+ node is lost|no group is open) and the others refuse (\d+) callers each$/,
  function (this: TurnsWorld, what: string, count: string) {
    const isLost = what.endsWith("lost");
    if (isLost) this.nodes.shift();
    for (let i = 0; i < Number(count); i++) {
      for (const rank of this.nodes.keys()) {
        const rate = isLost ? this.groups : 0;
        refuse(this, rank, `later-${rank}-${i}`, 1_000 + i, { rate });
      }
    }
  },
);

Then(
  "another node takes the lost node's callers as newcomers",
  function (this: TurnsWorld) {
    assert.equal(this.nodes[0].recognize("0-0", 1_500), "new");
  },
);

When(
  "{int} callers of {int} customers are refused at {int} destinations",
  function (
    this: TurnsWorld,
    callers: number,
    customers: number,
    destinations: number,
  ) {
    const schedule = new ReturnSchedule();
    const order = new TurnOrder();
    this.remembered = { schedule, order };
    const room: Room = { rate: 1, nodes: 1, rank: 0, freeInMs: 0 };
    for (let i = 0; i < callers; i++) {
      const destination = `pool|${i % destinations}`;
      schedule.refuse(
        { destination, fingerprint: `f${i}`, engineMs: 1, usableMs: 1_000 },
        room,
        i / 1_000,
      );
      const turn: Turn = {
        destination,
        customer: `customer-${i % customers}`,
        priority: 0,
        arrivedAt: 0,
        goalAt: 0,
        hasBegun: false,
        returned: "new",
        engineMs: 1,
        leastMs: 0,
      };
      order.recordGiven(turn, i / 1_000);
    }
  },
);

Then(
  "at most {int} callers, {int} destinations and {int} customers are remembered",
  function (
    this: TurnsWorld,
    callers: number,
    destinations: number,
    customers: number,
  ) {
    const { schedule, order } = this.remembered;
    assert.deepEqual(schedule.size, { callers, destinations });
    assert.equal(order.trackedCount, customers);
  },
);

Then(
  "after {int} seconds nothing is",
  function (this: TurnsWorld, seconds: number) {
    const { schedule, order } = this.remembered;
    schedule.expire(seconds * 1_000);
    order.expire(seconds * 1_000);
    assert.deepEqual(schedule.size, { callers: 0, destinations: 0 });
    assert.equal(order.trackedCount, 0);
  },
);

When(
  "{int} callers are refused at destinations that have no groups",
  function (this: TurnsWorld, count: number) {
    const schedule = new ReturnSchedule();
    this.remembered = { schedule, order: new TurnOrder() };
    for (let i = 0; i < count; i++) {
      const { hasSlot } = schedule.refuse(
        {
          destination: `pool|none-${i}`,
          fingerprint: `f${i}`,
          engineMs: 1,
          usableMs: 1_000,
        },
        { rate: 0, nodes: 1, rank: 0, freeInMs: 400 },
        0,
      );
      assert.equal(hasSlot, false);
    }
  },
);

Then("no destination is remembered", function (this: TurnsWorld) {
  assert.equal(this.remembered.schedule.size.destinations, 0);
});

When(
  "{int} streams are requested at once, and a refused caller returns when it was told",
  async function (this: TurnsWorld, count: number) {
    const { fixture } = this;
    this.responses = [];
    for (let i = 0; i < count; i++) {
      this.responses.push(fixture.sendRequest("/draft/"));
    }
    await fixture.timers.run(5);
    this.gauges = await fixture.metrics.registry.metrics();
    await fixture.timers.run(60);
    const refused = this.responses.findIndex((r) => r.refusal !== undefined);
    const afterMs = this.responses[refused].refusal?.retryAfterMs ?? 0;
    await fixture.timers.run(afterMs - 60 + 25);
    fixture.repeat(refused);
    await fixture.timers.run(3_000);
  },
);

Then(
  "each refused request is logged with the delay that its caller was told",
  function (this: TurnsWorld) {
    const ended = this.fixture.log.named("request_ended");
    const refused = this.responses.filter((r) => r.refusal !== undefined);
    assert.ok(refused.length > 20);
    const told = refused.map((r) => Math.round(r.refusal?.retryAfterMs ?? 0));
    const logged = ended.filter((e) => e.outcome === "overloaded")
      .map((e) => e.retryAfterMs);
    assert.deepEqual(logged, told);
    const answered = ended.filter((e) => e.outcome === "answered");
    assert.ok(answered.every((e) => e.retryAfterMs === undefined));
  },
);

Then(
  "the queue's length was reported by priority",
  function (this: TurnsWorld) {
    const [, length] =
      /oleander_requests_waiting_by_priority\{priority="1"\} (\d+)/
        .exec(this.gauges) ?? [];
    assert.ok(Number(length) > 20, this.gauges);
  },
);

Then(
  "the caller that returned is counted as placed",
  async function (this: TurnsWorld) {
    const text = await this.fixture.metrics.registry.metrics();
    assert.match(
      text,
      /oleander_returned_callers_total\{result="placed"\} 1\n/,
    );
  },
);
