import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { PeerGossip } from "../../src/core/gossip/peer_gossip.ts";

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
