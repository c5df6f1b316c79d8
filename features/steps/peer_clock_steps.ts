/**
 * Steps of peer_clocks.feature: nodes whose clocks differ, stand still and jump.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Random } from "../../src/base/random.ts";
import type { ClockTime } from "../../src/core/gossip/node_clock.ts";
import { NodeClock } from "../../src/core/gossip/node_clock.ts";
import type { DatedStatus } from "../../src/core/gossip/peer_clocks.ts";
import { PeerClocks } from "../../src/core/gossip/peer_clocks.ts";

const STEP_MS = 5;
const SEND_INTERVAL_MS = 100;
/**
 * By how much a status may seem younger: a suspension of up to 50 ms of each of
 * two hosts can't be told from clocks that are read one after the other.
 */
const TOLERANCE_MS = 100;

type Trouble =
  | "waits"
  | "long_waits"
  | "losses"
  | "suspensions"
  | "clock_steps"
  | "restarts";

const ALL: readonly Trouble[] = [
  "waits",
  "losses",
  "suspensions",
  "clock_steps",
  "restarts",
];

const TROUBLES: Readonly<Record<string, readonly Trouble[]>> = {
  "statuses arrive soon": [],
  "statuses wait up to 3 seconds to be read": ["waits"],
  "most statuses wait 2 seconds and some are lost": ["long_waits", "losses"],
  "hosts are suspended": ["suspensions"],
  "wall clocks are set": ["clock_steps"],
  "processes start again": ["restarts"],
  "all of these happen": ALL,
};

interface Sample {
  /** By how much the status seems older than it is; undefined if not dated. */
  readonly excessMs: number | undefined;
}

/** A node with a monotonic and a wall clock that differ from the true time. */
class ClockedNode {
  readonly #random: Random;
  #monotonicOffset: number;
  #wallOffset: number;
  #suspendedUntil = -Infinity;
  #suspendedAt = 0;
  clock: NodeClock;
  peerClocks = new PeerClocks();
  now = 0;

  constructor(random: Random) {
    this.#random = random;
    this.#monotonicOffset = random.int(1_000_000);
    this.#wallOffset = random.int(4_000) - 2_000;
    this.clock = this.#createClock();
  }

  get isSuspended(): boolean {
    return this.now < this.#suspendedUntil;
  }

  suspend(ms: number): void {
    if (this.isSuspended) return;
    this.#suspendedAt = this.now;
    this.#suspendedUntil = this.now + ms;
  }

  stepWallClock(ms: number): void {
    this.#wallOffset += ms;
  }

  restart(): void {
    this.#monotonicOffset = -this.now;
    this.clock = this.#createClock();
    this.peerClocks = new PeerClocks();
  }

  /** Advances the true time. */
  advance(now: number): void {
    const wasSuspended = this.isSuspended;
    this.now = now;
    // The monotonic clock does not count a suspension.
    if (wasSuspended && !this.isSuspended) {
      this.#monotonicOffset -= now - this.#suspendedAt;
    }
  }

  createStatus(): DatedStatus {
    const createdAt = this.clock.read();
    return {
      createdAt,
      clockLags: this.peerClocks.lagsToSend(this.#random),
    };
  }

  /** Receives a status; returns the time since its creation as it seems here. */
  receive(status: DatedStatus): number | undefined {
    const now: ClockTime = this.clock.read();
    this.peerClocks.record(status, now);
    return this.peerClocks.elapsedSince(status, now);
  }

  #createClock(): NodeClock {
    return new NodeClock(() => ({
      monotonic: this.now + this.#monotonicOffset,
      wall: this.now + this.#wallOffset,
    }), this.#random);
  }
}

interface Delivery {
  readonly to: ClockedNode;
  readonly status: DatedStatus;
  readonly createdAt: number;
  readonly at: number;
}

interface PeerClockWorld {
  random: Random;
  nodes: ClockedNode[];
  samples: Sample[];
}

Given(
  "{int} nodes with clocks of their own and seed {int}",
  function (this: PeerClockWorld, count: number, seed: number) {
    this.random = new Random(seed);
    this.samples = [];
    this.nodes = Array.from(
      { length: count },
      () => new ClockedNode(this.random),
    );
  },
);

function wayMs(random: Random, troubles: readonly Trouble[]): number {
  const soon = 1 + random.int(3);
  if (troubles.includes("long_waits") && random.float() < 0.9) {
    return soon + 2_000;
  }
  const waits = troubles.includes("waits") && random.float() < 0.5;
  return waits ? soon + random.int(3_000) : soon;
}

function disturb(world: PeerClockWorld, troubles: readonly Trouble[]): void {
  const { random, nodes } = world;
  const trouble = random.pick([...troubles, "losses" as const]);
  const node = random.pick(nodes);
  if (trouble === "suspensions") node.suspend(100 + random.int(6_000));
  if (trouble === "clock_steps") {
    node.stepWallClock(random.int(10_000) - 5_000);
  }
  if (trouble === "restarts" && !node.isSuspended) node.restart();
}

When(
  "they exchange statuses for {int} seconds, in which {}",
  function (this: PeerClockWorld, seconds: number, what: string) {
    const { random, nodes } = this;
    const troubles = TROUBLES[what];
    assert.ok(troubles, what);
    let underWay: Delivery[] = [];
    for (let now = 0; now < seconds * 1_000; now += STEP_MS) {
      for (const node of nodes) node.advance(now);
      if (now % 2_000 === 0 && now > 5_000) disturb(this, troubles);
      const isDue = ({ at, to }: Delivery) => at <= now && !to.isSuspended;
      const due = underWay.filter(isDue);
      underWay = underWay.filter((delivery) => !isDue(delivery));
      for (const { to, status, createdAt } of due) {
        const elapsedMs = to.receive(status);
        const excessMs = elapsedMs && elapsedMs - (now - createdAt);
        if (now > 5_000) this.samples.push({ excessMs });
      }
      if (now % SEND_INTERVAL_MS !== 0) continue;
      for (const from of nodes.filter(({ isSuspended }) => !isSuspended)) {
        const status = from.createStatus();
        for (const to of nodes) {
          if (to === from) continue;
          const isLost = troubles.includes("losses") && random.float() < 0.2;
          if (isLost) continue;
          const at = now + wayMs(random, troubles);
          underWay.push({ to, status, createdAt: now, at });
        }
      }
    }
  },
);

Then(
  "no status seems to be younger than it is",
  function (this: PeerClockWorld) {
    const excess = this.samples.flatMap(({ excessMs }) => excessMs ?? []);
    assert.ok(excess.length > 0, "No status was dated");
    const worst = excess.reduce((a, b) => Math.min(a, b));
    assert.ok(worst >= -TOLERANCE_MS, `younger by ${-worst} ms`);
  },
);

Then(
  "statuses are dated within {int} milliseconds for {int} percent of the time",
  function (this: PeerClockWorld, maxMs: number, percent: number) {
    const close = this.samples.filter(({ excessMs }) =>
      excessMs !== undefined && excessMs <= maxMs
    );
    const share = 100 * close.length / this.samples.length;
    assert.ok(share >= percent, `${share.toFixed(1)} percent`);
  },
);

When(
  "one of them receives statuses of the other, but sends none",
  function (this: PeerClockWorld) {
    const [sender, receiver] = this.nodes;
    for (let now = 0; now < 3_000; now += SEND_INTERVAL_MS) {
      for (const node of this.nodes) node.advance(now);
      const excessMs = receiver.receive(sender.createStatus());
      this.samples.push({ excessMs });
    }
  },
);

Then("it can't date them", function (this: PeerClockWorld) {
  assert.ok(this.samples.every(({ excessMs }) => excessMs === undefined));
});
