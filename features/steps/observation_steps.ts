/**
 * Steps of observations.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Random } from "../../src/base/random.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { SuspicionTracker } from "../../src/core/fleet/suspicion_tracker.ts";
import { ObservationExchange } from "../../src/core/gossip/observation_exchange.ts";
import { PeerGossip } from "../../src/core/gossip/peer_gossip.ts";
import { HostNotices } from "../../src/core/relay/host_notices.ts";
import { PromptPartTracker } from "../../src/core/retries/prompt_part_tracker.ts";
import { SuspectRequestTracker } from "../../src/core/retries/suspect_request_tracker.ts";
import { sampleStatus } from "./sample_status.ts";

const UPSTREAM = "g-1@1";
const MODEL = "small";
const PART = "shared";
/** Pause between crashes that happen at separate moments. */
const CRASH_INTERVAL_MS = 400;

/** Ticks of 10 ms between responses to prompts with the part. */
const RESPONSE_INTERVAL_TICKS = 30;

/** A node that shares observations, without requests of its own. */
interface ObservingNode {
  readonly suspicions: SuspicionTracker;
  readonly promptParts: PromptPartTracker;
  readonly gossip: PeerGossip;
  readonly observations: ObservationExchange;
  suspicionCount: number;
  quarantineCount: number;
}

interface ObservationWorld {
  timers: VirtualTimers;
  nodes: ObservingNode[];
  /** Messages received by all nodes. */
  messageCount: number;
  /** Virtual time for which the scenario has been observed. */
  observedMs: number;
}

type Receive = (payload: Uint8Array, from: string) => void;

Given(
  "{int} nodes that share observations, with messages that take up to {int} milliseconds",
  async function (this: ObservationWorld, count: number, maxDelayMs: number) {
    const random = new Random(count);
    const receivers = new Map<string, Receive>();
    const addresses = Array.from({ length: count }, (_, i) => `n${100 + i}:1`);
    this.timers = new VirtualTimers();
    this.messageCount = 0;
    this.nodes = addresses.map((address, i) =>
      createNode(this.timers, address, `z${i % 3}`, {
        send: (to, payload) => {
          const delayMs = 1 + random.float() * (maxDelayMs - 1);
          this.timers.after(delayMs, () => {
            this.messageCount += 1;
            receivers.get(to)?.(payload, address);
          });
        },
        onMessage: (receive) => receivers.set(address, receive),
      })
    );
    for (const { gossip } of this.nodes) {
      gossip.setRegisteredAddresses(addresses);
      gossip.start();
    }
    await this.timers.run(3_000);
    this.messageCount = 0;
  },
);

function createNode(
  timers: VirtualTimers,
  address: string,
  zone: string,
  datagrams: ConstructorParameters<typeof PeerGossip>[0]["datagrams"],
): ObservingNode {
  const suspicions = new SuspicionTracker();
  const promptParts = new PromptPartTracker();
  const observations = new ObservationExchange({
    suspicions,
    suspectRequests: new SuspectRequestTracker(),
    promptParts,
    hostNotices: new HostNotices(() => ({ size: 1, rank: 0 })),
    isFresh: () => true,
  });
  const identity = {
    node: address,
    zone,
    internalAddress: address,
    state: "serving" as const,
  };
  const gossip = new PeerGossip({
    timers,
    datagrams,
    selfId: address,
    selfAddress: address,
    self: () => identity,
    seeds: () => [],
    periodMs: 100,
    linkBytesPerSecond: 4_250_000,
    createStatus: (peers) => ({
      ...sampleStatus(),
      ...identity,
      ageMs: 0,
      peers,
      ...observations.take(timers.now()),
    }),
    onStatus: (status) => observations.apply(status, timers.now()),
    onHubChange: () => {},
    isFresh: () => true,
  });
  const node: ObservingNode = {
    suspicions,
    promptParts,
    gossip,
    observations,
    suspicionCount: 0,
    quarantineCount: 0,
  };
  suspicions.onSuspicion((_, from) => {
    node.suspicionCount += 1;
    if (from === "own") gossip.broadcast();
  });
  promptParts.onQuarantined((_, from) => {
    node.quarantineCount += 1;
    if (from === "own") gossip.broadcast();
  });
  return node;
}

/** Lets time pass; `onTick` is called every 10 milliseconds. */
async function observe(
  world: ObservationWorld,
  ms: number,
  onTick: () => void = () => {},
): Promise<void> {
  for (let i = 0; i < ms; i += 10) {
    onTick();
    await world.timers.run(10);
  }
  world.observedMs = (world.observedMs ?? 0) + ms;
}

function suspect(world: ObservationWorld, index: number): void {
  const at = world.timers.now();
  world.nodes[index].suspicions.record(
    { key: UPSTREAM, kind: "reset", at },
    "own",
  );
}

/** Clears the suspicion at a node that has it, as a response does. */
function respond(world: ObservationWorld, index: number): void {
  const { suspicions } = world.nodes[index % world.nodes.length];
  if (!suspicions.isSuspected(UPSTREAM)) return;
  suspicions.clear(UPSTREAM, world.timers.now(), "own");
}

When(
  "node {int} suspects an upstream whose responses reach one node after the other",
  async function (this: ObservationWorld, index: number) {
    suspect(this, index);
    let next = 0;
    await observe(this, 5_000, () => respond(this, next++));
  },
);

When(
  "node {int} suspects an upstream twice, and the upstream responds in between",
  async function (this: ObservationWorld, index: number) {
    suspect(this, index);
    await observe(this, 200);
    respond(this, 0);
    await observe(this, 200);
    suspect(this, index);
    await observe(this, 500);
  },
);

When(
  /^upstreams crash at (\d+) moments on node (\d+) with a prompt part to which (responses begin now and then|no response begins)$/,
  async function (
    this: ObservationWorld,
    moments: string,
    index: string,
    responses: string,
  ) {
    const { promptParts } = this.nodes[Number(index)];
    for (let i = 0; i < Number(moments); i++) {
      const now = this.timers.now();
      for (const other of ["a", "b", "c"]) {
        promptParts.recordBegun(MODEL, [other], now, now);
      }
      promptParts.recordCrash(
        `g-${i}@1`,
        [{ model: MODEL, parts: [PART] }],
        now,
      );
      if (i < Number(moments) - 1) await observe(this, CRASH_INTERVAL_MS);
    }
    const begins = responses !== "no response begins";
    let ticks = 0;
    await observe(this, 5_000, () => {
      ticks += 1;
      if (!begins || ticks % RESPONSE_INTERVAL_TICKS !== 1) return;
      const now = this.timers.now();
      const { promptParts } = this.nodes[ticks % this.nodes.length];
      promptParts.recordBegun(MODEL, [PART], now, now);
    });
  },
);

Then(
  "no node has suspected the upstream more than once",
  function (this: ObservationWorld) {
    const counts = this.nodes.map(({ suspicionCount }) => suspicionCount);
    assert.ok(Math.max(...counts) <= 1, `${Math.max(...counts)} times`);
  },
);

Then("no node suspects the upstream", function (this: ObservationWorld) {
  const suspecting = this.nodes.filter(({ suspicions }) =>
    suspicions.isSuspected(UPSTREAM)
  );
  assert.equal(suspecting.length, 0);
});

Then("every node suspects the upstream", function (this: ObservationWorld) {
  const suspecting = this.nodes.filter(({ suspicions }) =>
    suspicions.isSuspected(UPSTREAM)
  );
  assert.equal(suspecting.length, this.nodes.length);
});

Then(
  "no node has quarantined the part more than once",
  function (this: ObservationWorld) {
    const counts = this.nodes.map(({ quarantineCount }) => quarantineCount);
    assert.ok(Math.max(...counts) <= 1, `${Math.max(...counts)} times`);
  },
);

Then(
  /^(no|every) node refuses the part$/,
  function (this: ObservationWorld, which: string) {
    const refusing = this.nodes.filter(({ promptParts }) =>
      promptParts.isRefused([PART])
    );
    assert.equal(refusing.length, which === "no" ? 0 : this.nodes.length);
  },
);

Then(
  "each node received at most {int} messages a second",
  function (this: ObservationWorld, max: number) {
    const seconds = this.observedMs / 1_000;
    const perNode = this.messageCount / this.nodes.length / seconds;
    assert.ok(perNode <= max, `${perNode} messages a second`);
  },
);

When(
  "node {int} learns from a peer that an upstream is suspected and that another one responded",
  function (this: ObservationWorld, index: number) {
    const { suspicions } = this.nodes[index];
    const at = this.timers.now();
    suspicions.record({ key: UPSTREAM, kind: "reset", at }, "peer");
    suspicions.clear("g-2@1", at, "peer");
  },
);

Then(
  "the next status of node {int} has neither",
  function (this: ObservationWorld, index: number) {
    const { observations } = this.nodes[index];
    const status = observations.take(this.timers.now());
    assert.deepEqual([status.suspicions, status.cleared], [[], []]);
  },
);

When(
  "node {int} learns of a crash before a response to the same part, and again with a later time",
  function (this: ObservationWorld, index: number) {
    const { promptParts } = this.nodes[index];
    const now = this.timers.now();
    const learn = (at: number) =>
      promptParts.merge({
        part: PART,
        model: MODEL,
        companions: [],
        crashes: [{ upstream: UPSTREAM, at }],
        isQuarantined: true,
      }, now);
    learn(now - 20);
    promptParts.recordBegun(MODEL, [PART], now - 10, now);
    learn(now - 5);
  },
);

Then(
  "node {int} suspects no part",
  function (this: ObservationWorld, index: number) {
    assert.equal(this.nodes[index].promptParts.size, 0);
  },
);
