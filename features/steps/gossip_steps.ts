/**
 * Steps of gossip.feature for the exchange of statuses, and of relay.feature
 * for pauses of a process.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { deflateRawSync } from "node:zlib";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { PauseDetector } from "../../src/core/gossip/pause_detector.ts";
import {
  decodeBatch,
  encodeBatch,
} from "../../src/core/gossip/message_codec.ts";
import type { StatusMessage } from "../../src/core/gossip/messages.ts";
import { PeerGossip } from "../../src/core/gossip/peer_gossip.ts";

interface PauseWorld {
  clock: { monotonic: number; wall: number };
  tick: () => void;
  detector: PauseDetector;
}

Given("a process with a pause detector", function (this: PauseWorld) {
  this.clock = { monotonic: 1_000, wall: 90_000 };
  this.detector = new PauseDetector({
    now: () => this.clock.monotonic,
    after: () => ({ cancel() {} }),
    afterInput: (callback) => callback(),
    subscribe: (_ms, callback) => {
      this.tick = callback;
      return { cancel() {} };
    },
  }, () => ({ ...this.clock }));
  this.detector.start();
  runFor(this, 1_000);
  assert.equal(this.detector.isFresh, true);
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
    // The monotonic clock goes on while the process is stopped, but not while
    // its host is suspended.
    this.clock.wall += seconds * 1_000;
    if (how === "stopped") this.clock.monotonic += seconds * 1_000;
    if (order === "after") this.tick();
  },
);

Then("the messages are not treated as fresh", function (this: PauseWorld) {
  assert.equal(this.detector.isFresh, false);
});

Then(
  "messages are treated as fresh again a second later",
  function (this: PauseWorld) {
    runFor(this, 1_000);
    assert.equal(this.detector.isFresh, true);
  },
);

/** The slowest links of hosts carry 34 Mbit/s. */
const LINK_BYTES_PER_SECOND = 4_250_000;
/** Loads in the statuses of a busy node. */
const BUSY_LOADS = 30;

interface GossipWorld {
  /** Bytes that each node sent, by address. */
  sentBytes: Map<string, number>;
  timers: VirtualTimers;
  nodes: GossipNode[];
  /**
   * Sender and receiver pairs whose messages are dropped, as `sender>receiver`.
   */
  droppedLinks: Set<string>;
  /** Nodes whose statuses were forwarded, by the hub that forwarded them. */
  forwardedNodes: Map<string, string[]>;
  /** Messages sent; after {@linkcode runGossip}, messages per second. */
  messageCount: number;
  /** Lowest number of live nodes seen by a node in {@linkcode runGossip}. */
  fewestLive: number;
  /** Highest age of a live node's status in {@linkcode runGossip}. */
  maxAgeMs: number;
}

interface GossipNode {
  readonly gossip: PeerGossip;
  readonly address: string;
  isFresh: boolean;
  version: number;
  loads: StatusMessage["loads"];
}

type Receive = (payload: Uint8Array, from: string) => void;

Given(
  "{int} gossiping nodes",
  { timeout: 30_000 },
  async function (this: GossipWorld, count: number) {
    this.timers = new VirtualTimers();
    this.messageCount = 0;
    this.droppedLinks = new Set();
    this.sentBytes = new Map();
    this.forwardedNodes = new Map();
    const receivers = new Map<string, Receive>();
    // Ids have three digits, so that they sort in numeric order. Node i is in
    // zone i % 3, so nodes 0 to 2 have the lowest ids and are elected as hubs.
    const addresses = Array.from({ length: count }, (_, i) => `n${100 + i}:1`);
    this.nodes = addresses.map((address, i) => {
      const node: GossipNode = {
        gossip: new PeerGossip({
          timers: this.timers,
          datagrams: {
            send: (to, payload) => {
              if (this.droppedLinks.has(`${address}>${to}`)) return;
              this.messageCount += 1;
              const sent = this.sentBytes.get(address) ?? 0;
              this.sentBytes.set(address, sent + payload.byteLength);
              recordForwarded(this, address, payload);
              this.timers.after(2, () => receivers.get(to)?.(payload, address));
            },
            onMessage: (receive) => receivers.set(address, receive),
          },
          selfId: address,
          selfAddress: address,
          self: () => ({
            node: address,
            zone: `z${i % 3}`,
            internalAddress: address,
            state: "serving",
          }),
          seeds: () => [],
          periodMs: 100,
          linkBytesPerSecond: LINK_BYTES_PER_SECOND,
          createStatus: () => ({
            ...statusOf(address, `z${i % 3}`, node.version),
            loads: node.loads,
          }),
          onStatus: () => {},
          onHubChange: () => {},
          isFresh: () => node.isFresh,
        }),
        address,
        isFresh: true,
        version: 1,
        loads: [],
      };
      node.gossip.setRegisteredAddresses(addresses);
      return node;
    });
    for (const { gossip } of this.nodes) gossip.start();
    await this.timers.run(3_000);
  },
);

function statusOf(
  address: string,
  zone: string,
  version: number,
): StatusMessage {
  return {
    node: address,
    ageMs: 0,
    createdAt: undefined,
    clockLags: [],
    incarnation: "i",
    internalAddress: address,
    callerAddress: address,
    zone,
    state: "serving",
    catalogVersion: version,
    confirmedMs: 0,
    loads: [],
    suspicions: [],
    cleared: [],
    strikes: [],
    suspectParts: [],
    soundParts: [],
    hostLimits: [],
    isStoreUnreachable: false,
    leaderTerm: 0,
    hosts: [],
    storeEra: 0,
    publishesHosts: false,
    hostChanges: [],
    isTruncated: false,
    hostRevision: 0,
    hostRead: undefined,
    operatorRevision: 0,
    demand: {},
    residuals: [],
    peers: [],
    entry: undefined,
    acceptsCompressed: true,
  };
}

function recordForwarded(
  world: GossipWorld,
  from: string,
  payload: Uint8Array,
): void {
  const batch = decodeBatch(payload);
  if (batch === undefined || !batch.isForwarded) return;
  const names = world.forwardedNodes.get(from) ?? [];
  names.push(...batch.statuses.map((status) => status.node));
  world.forwardedNodes.set(from, names);
}

async function runGossip(world: GossipWorld, ms: number): Promise<void> {
  world.messageCount = 0;
  world.fewestLive = Infinity;
  world.maxAgeMs = 0;
  for (let i = 0; i < ms; i += 100) {
    await world.timers.run(100);
    for (const { gossip } of world.nodes) {
      const live = gossip.live();
      world.fewestLive = Math.min(world.fewestLive, live.length);
      for (const peer of live) {
        const ageMs = world.timers.now() - peer.statusAt;
        world.maxAgeMs = Math.max(world.maxAgeMs, ageMs);
      }
    }
  }
  world.messageCount /= ms / 1_000;
}

When(
  "they run for {int} seconds",
  { timeout: 30_000 },
  async function (this: GossipWorld, seconds: number) {
    await runGossip(this, seconds * 1_000);
  },
);

When("the hub of a zone stops", function (this: GossipWorld) {
  const [hub] = this.nodes.splice(1, 1);
  hub.gossip.stop();
  for (const { address } of this.nodes) {
    this.droppedLinks.add(`${hub.address}>${address}`);
    this.droppedLinks.add(`${address}>${hub.address}`);
  }
});

When(
  "node {int} can't reach the hub of its zone for {int} seconds",
  { timeout: 30_000 },
  async function (this: GossipWorld, index: number, seconds: number) {
    const hub = this.nodes[index % 3];
    this.droppedLinks.add(`${this.nodes[index].address}>${hub.address}`);
    await runGossip(this, seconds * 1_000);
  },
);

When(
  "node {int} has an urgent status",
  function (this: GossipWorld, index: number) {
    this.nodes[index].version = 2;
    this.nodes[index].gossip.broadcast();
  },
);

When(
  "every node is busy and has an urgent status {int} times a second for {int} seconds",
  { timeout: 30_000 },
  async function (this: GossipWorld, perSecond: number, seconds: number) {
    for (const [i, node] of this.nodes.entries()) {
      node.loads = Array.from({ length: BUSY_LOADS }, (_, load) => ({
        key: `g-${33_000 + load}@${33_000 + load}`,
        inFlight: (i + load) % 18,
        pendingPromptTokens: (i * load * 97) % 9_000,
        silentMs: (i * load * 31) % 500,
      }));
    }
    this.sentBytes.clear();
    const timer = this.timers.subscribe(1_000 / perSecond, () => {
      for (const { gossip } of this.nodes) gossip.broadcast();
    });
    await runGossip(this, seconds * 1_000);
    timer.cancel();
    for (const [node, bytes] of this.sentBytes) {
      this.sentBytes.set(node, bytes / seconds);
    }
  },
);

Then(
  "no node sends more than {int} percent of what its link carries",
  function (this: GossipWorld, percent: number) {
    const most = Math.max(...this.sentBytes.values());
    const share = most / LINK_BYTES_PER_SECOND * 100;
    assert.ok(share <= percent, `${share.toFixed(1)} percent`);
  },
);

When(
  "the hub of a zone resumes after a pause of {int} seconds",
  function (this: GossipWorld, _seconds: number) {
    // After a pause, the node's pause detector treats messages as not fresh.
    this.nodes[1].isFresh = false;
    this.forwardedNodes.clear();
  },
);

Then(
  "every node always sees {int} other live nodes",
  function (this: GossipWorld, others: number) {
    assert.equal(this.fewestLive, others);
  },
);

Then(
  "{int} seconds later every remaining node sees {int} other live nodes with statuses at most {int} milliseconds old",
  async function (
    this: GossipWorld,
    seconds: number,
    others: number,
    maxMs: number,
  ) {
    await this.timers.run(seconds * 1_000);
    await runGossip(this, 2_000);
    assert.equal(this.fewestLive, others);
    assert.ok(this.maxAgeMs <= maxMs, `a status is ${this.maxAgeMs} ms old`);
  },
);

Then(
  "the newest status of each node is at most {int} milliseconds old",
  function (this: GossipWorld, maxMs: number) {
    assert.ok(this.maxAgeMs <= maxMs, `a status is ${this.maxAgeMs} ms old`);
  },
);

Then(
  "each node receives at most {int} messages a second",
  function (this: GossipWorld, max: number) {
    const perNode = this.messageCount / this.nodes.length;
    assert.ok(perNode <= max, `${perNode} messages a second`);
  },
);

Then(
  "every other node has it {int} milliseconds later",
  async function (this: GossipWorld, ms: number) {
    await this.timers.run(ms);
    const informed = this.nodes.filter(({ gossip }) =>
      gossip.live().some((peer) => peer.status.catalogVersion === 2)
    );
    assert.equal(informed.length, this.nodes.length - 1);
  },
);

Then(
  "in the next {int} milliseconds it forwards no status of another node",
  async function (this: GossipWorld, ms: number) {
    await this.timers.run(ms);
    const [, hub] = this.nodes;
    const names = new Set(this.forwardedNodes.get(hub.address));
    assert.deepEqual([...names], [hub.address]);
  },
);

const VALID_MESSAGE = encodeBatch({
  isForwarded: false,
  isUrgent: false,
  statuses: [statusOf("n100:1", "z0", 1)],
}, true);

const BROKEN_MESSAGES: Readonly<Record<string, Uint8Array>> = {
  "is cut off": VALID_MESSAGE.subarray(0, VALID_MESSAGE.byteLength / 2),
  "has other bytes": Buffer.concat([Buffer.of(1), Buffer.alloc(40, 0xff)]),
  "is too large when decompressed": Buffer.concat([
    Buffer.of(1),
    deflateRawSync(Buffer.alloc(2_000_000, " ")),
  ]),
};

for (const [fault, message] of Object.entries(BROKEN_MESSAGES)) {
  When(
    `a node receives a compressed message that ${fault}`,
    function (this: { message: Uint8Array }) {
      this.message = message;
    },
  );
}

Then(
  "the message is malformed",
  function (this: { message: Uint8Array }) {
    assert.notEqual(decodeBatch(VALID_MESSAGE), undefined);
    assert.equal(decodeBatch(this.message), undefined);
  },
);
