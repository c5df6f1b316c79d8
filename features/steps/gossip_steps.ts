import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { PauseGuard } from "../../src/core/gossip/pause_guard.ts";
import { PeerGossip } from "../../src/core/gossip/peer_gossip.ts";

interface PauseWorld {
  clock: { monotonic: number; wall: number };
  tick: () => void;
  guard: PauseGuard;
}

Given("a process that ticks", function (this: PauseWorld) {
  this.clock = { monotonic: 1_000, wall: 90_000 };
  this.guard = new PauseGuard({
    now: () => this.clock.monotonic,
    after: () => ({ cancel() {} }),
    subscribe: (_ms, callback) => {
      this.tick = callback;
      return { cancel() {} };
    },
  }, () => ({ ...this.clock }));
  this.guard.start();
  runFor(this, 1_000);
  assert.equal(this.guard.isFresh, true);
});

function runFor(world: PauseWorld, ms: number): void {
  for (let i = 0; i < ms; i += 50) {
    world.clock.monotonic += 50;
    world.clock.wall += 50;
    world.tick();
  }
}

When(
  "it is {word} for {int} seconds and then reads its messages {word} its timers run",
  function (this: PauseWorld, how: string, seconds: number, order: string) {
    this.clock.wall += seconds * 1_000;
    if (how === "stopped") this.clock.monotonic += seconds * 1_000;
    if (order === "after") this.tick();
  },
);

Then("the messages are not taken for fresh", function (this: PauseWorld) {
  assert.equal(this.guard.isFresh, false);
});

Then("they are again a second later", function (this: PauseWorld) {
  runFor(this, 1_000);
  assert.equal(this.guard.isFresh, true);
});

interface GossipWorld {
  timers: VirtualTimers;
  nodes: PeerGossip[];
  received: number;
  fewest: number;
}

type Receive = (payload: Uint8Array, from: string) => void;

Given("{int} nodes that gossip", function (this: GossipWorld, count: number) {
  this.timers = new VirtualTimers();
  this.received = 0;
  const receivers = new Map<string, Receive>();
  const addresses = Array.from({ length: count }, (_, i) => `n${i}:1`);
  this.nodes = addresses.map((address) => {
    const gossip = new PeerGossip({
      timers: this.timers,
      datagrams: {
        send: (to, payload) => {
          this.received += 1;
          this.timers.after(2, () => receivers.get(to)?.(payload, address));
        },
        onMessage: (receive) => receivers.set(address, receive),
      },
      selfId: address,
      selfAddress: address,
      seeds: () => [],
      periodMs: 100,
      status: () => ({
        node: address,
        incarnation: "i",
        internalAddress: address,
        callerAddress: address,
        zone: "z",
        state: "serving",
        catalogVersion: 1,
        confirmedMs: 0,
        loads: [],
        doubts: [],
        trusted: [],
        strikes: [],
        actingTerm: 0,
        hosts: [],
        demand: {},
        peers: [],
      }),
      onStatus: () => {},
    });
    gossip.registered(addresses);
    return gossip;
  });
});

When(
  "they run for {int} seconds",
  async function (this: GossipWorld, seconds: number) {
    for (const node of this.nodes) node.start();
    await this.timers.run(3_000);
    this.received = 0;
    this.fewest = Infinity;
    for (let i = 0; i < seconds * 10; i++) {
      await this.timers.run(100);
      const live = this.nodes.map((node) => node.live().length);
      this.fewest = Math.min(this.fewest, ...live);
    }
    this.received /= seconds;
  },
);

Then(
  "every node knows {int} others as live all the time",
  function (this: GossipWorld, others: number) {
    assert.equal(this.fewest, others);
  },
);

Then(
  "each node gets at most {int} messages a second",
  function (this: GossipWorld, most: number) {
    assert.ok(this.received / this.nodes.length <= most);
  },
);
