/**
 * Steps of leaving_hosts.feature: whole nodes in virtual time.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { NodeDisruptions } from "./node_disruptions.ts";
import type { EntryHost, StoreAccess } from "./entry_host.ts";
import { NodeFleet } from "./node_fleet.ts";

interface NodeFleetWorld {
  nodeFleet: NodeFleet;
  disruptions: NodeDisruptions;
  revokedAt: number;
}

Given(
  "{int} nodes with seed {int} that may send requests to a leaving host for {int} seconds",
  { timeout: 60_000 },
  async function (
    this: NodeFleetWorld,
    size: number,
    seed: number,
    seconds: number,
  ) {
    this.nodeFleet = new NodeFleet(size, seed, seconds * 1_000);
    this.disruptions = new NodeDisruptions(this.nodeFleet);
    await this.nodeFleet.start();
  },
);

Given(
  "statuses wait {int} milliseconds to be read",
  { timeout: 30_000 },
  async function (this: NodeFleetWorld, delayMs: number) {
    this.nodeFleet.statusDelayMs = delayMs;
    await this.nodeFleet.timers.run(2 * delayMs);
  },
);

Given(
  "connections take {int} milliseconds to open",
  function (this: NodeFleetWorld, connectMs: number) {
    this.nodeFleet.connectMs = connectMs;
  },
);

When(
  "in {int} rounds nodes are disrupted while a host leaves",
  { timeout: 300_000 },
  async function (this: NodeFleetWorld, rounds: number) {
    for (let i = 0; i < rounds; i++) await this.disruptions.runRound();
  },
);

When(
  "the leader and the node with the lowest id restart in turn {int} times, each time as a host leaves",
  { timeout: 120_000 },
  async function (this: NodeFleetWorld, times: number) {
    const { nodeFleet, disruptions } = this;
    for (let i = 0; i < times; i++) {
      // The moment within the long pause between two polls differs each time.
      await nodeFleet.timers.run(14_000 + i * 1_200);
      await disruptions.restartInTurn(publishersOf(nodeFleet));
      nodeFleet.leave(nodeFleet.servingHosts[0], "announced");
      nodeFleet.addHost();
    }
    await nodeFleet.timers.run(9_000);
  },
);

When(
  "the store turns away the leader and every third node {int} times, each time as a host leaves",
  { timeout: 120_000 },
  async function (this: NodeFleetWorld, times: number) {
    const { nodeFleet, disruptions } = this;
    for (let i = 0; i < times; i++) {
      await nodeFleet.timers.run(14_000);
      const every3rd = nodeFleet.entryHosts.filter((_, index) =>
        index % 3 === 0
      );
      disruptions.turnAway(
        new Set([...publishersOf(nodeFleet), ...every3rd]),
        i % 2 === 0 ? "silent" : "refused",
        6_000,
      );
      await nodeFleet.timers.run(50 + i * 400);
      nodeFleet.leave(nodeFleet.servingHosts[0], "announced");
      nodeFleet.addHost();
    }
    await nodeFleet.timers.run(9_000);
  },
);

When(
  "{int} times the store is {word} for the leader and {int} other nodes for 6 seconds, and hosts leave just before and after",
  { timeout: 300_000 },
  async function (
    this: NodeFleetWorld,
    times: number,
    access: StoreAccess,
    others: number,
  ) {
    const { nodeFleet, disruptions } = this;
    const { timers } = nodeFleet;
    for (let i = 0; i < times; i++) {
      await timers.run(6_000 + nodeFleet.random.int(1_000));
      leaveAndReplace(nodeFleet, 1);
      await timers.run(150);
      const affected = disruptions.leaderAndOthers(others);
      disruptions.turnAway(affected, access, 6_000);
      await timers.run(50);
      leaveAndReplace(nodeFleet, 2);
      await timers.run(5_800);
    }
  },
);

Then(
  "no node sends it a request after it learned of it",
  function (this: NodeFleetWorld) {
    const { nodeFleet } = this;
    const [hostId] = nodeFleet.leftAt.keys();
    for (const { id, log } of nodeFleet.entryHosts) {
      const learned = log?.events.find(({ event }) => event === "host_left");
      assert.ok(learned, `${id} did not learn that ${hostId} left`);
      const late = nodeFleet.sent.filter(({ nodeId, ...sent }) =>
        nodeId === id && sent.hostId === hostId && sent.at > learned.at
      );
      assert.deepEqual(late, []);
    }
  },
);

Then("all requests are answered", function (this: NodeFleetWorld) {
  const ends = this.nodeFleet.entryHosts.flatMap(({ log }) =>
    log?.named("request_ended") ?? []
  );
  const unanswered = ends.filter(({ outcome }) => outcome !== "answered");
  assert.ok(ends.length > 0);
  assert.deepEqual(unanswered, []);
});

When(
  "the store is silent for the publishers and every third node for 6 seconds and a host leaves",
  { timeout: 60_000 },
  async function (this: NodeFleetWorld) {
    const { nodeFleet, disruptions } = this;
    await nodeFleet.timers.run(4_000);
    const every3rd = nodeFleet.entryHosts.filter((_, index) => index % 3 === 0);
    const affected = new Set([...publishersOf(nodeFleet), ...every3rd]);
    disruptions.turnAway(affected, "silent", 6_000);
    await nodeFleet.timers.run(50);
    leaveAndReplace(nodeFleet, 1);
    await nodeFleet.timers.run(9_000);
  },
);

Then(
  "every node learns of it within {int} seconds",
  function (this: NodeFleetWorld, seconds: number) {
    const { leftAt, entryHosts } = this.nodeFleet;
    const [[hostId, at]] = leftAt;
    const learnedAfterMs = entryHosts.map(({ id, log }) => {
      const learned = log?.events.find(({ event, fields }) =>
        event === "host_left" && fields.host === hostId
      );
      return { id, ms: learned === undefined ? Infinity : learned.at - at };
    });
    const late = learnedAfterMs.filter(({ ms }) => ms > seconds * 1_000);
    assert.deepEqual(late, []);
  },
);

/** Lets hosts leave and others take their places. */
function leaveAndReplace(fleet: NodeFleet, count: number): void {
  for (const id of fleet.servingHosts.slice(0, count)) {
    fleet.leave(id, "announced");
    fleet.addHost();
  }
}

When(
  "a key is revoked while the store turns away the last {int} nodes and statuses wait {int} milliseconds to be read",
  { timeout: 120_000 },
  async function (this: NodeFleetWorld, turnedAway: number, delayMs: number) {
    const { nodeFleet, disruptions } = this;
    nodeFleet.statusDelayMs = delayMs;
    await nodeFleet.timers.run(3_000);
    const entryHosts = new Set(nodeFleet.entryHosts.slice(-turnedAway));
    disruptions.turnAway(entryHosts, "silent", 14_000);
    await nodeFleet.timers.run(500);
    nodeFleet.revokeKey();
    this.revokedAt = nodeFleet.timers.now();
    await nodeFleet.timers.run(14_000);
  },
);

Then(
  "no node sends a request with the key later than {int} seconds after that",
  function (this: NodeFleetWorld, seconds: number) {
    const { sent } = this.nodeFleet;
    const late = sent.filter(({ at }) => at > this.revokedAt + seconds * 1_000);
    assert.deepEqual(late.slice(0, 3), []);
    const isServed = sent.some(({ at }) => at > this.revokedAt);
    assert.ok(isServed, "No request was sent after the key was revoked");
  },
);

When(
  "a host leaves",
  { timeout: 60_000 },
  async function (this: NodeFleetWorld) {
    const { nodeFleet } = this;
    await nodeFleet.timers.run(2_000);
    nodeFleet.leave(nodeFleet.servingHosts[0], "announced");
    await nodeFleet.timers.run(3_000);
  },
);

Then(
  "each node logs when and from whom it learned of it",
  function (this: NodeFleetWorld) {
    const [hostId] = this.nodeFleet.leftAt.keys();
    for (const { id, log } of this.nodeFleet.entryHosts) {
      const lines = log?.named("host_left") ?? [];
      assert.equal(lines.length, 1, id);
      const [{ host, how, from, listAgeMs }] = lines;
      assert.deepEqual([host, how], [hostId, "draining"]);
      assert.match(String(from), /^(poll|peer n\d+( via n\d+:7)?)$/);
      assert.ok(Number(listAgeMs) < 3_000, `${id}: ${listAgeMs}`);
    }
  },
);

/** The leader, and the node with the lowest id or, if it leads, the next one. */
function publishersOf({ leader, running }: NodeFleet): EntryHost[] {
  assert.ok(leader, "No node leads");
  const lowest = running.find((entryHost) => entryHost !== leader);
  assert.ok(lowest);
  return [lowest, leader];
}

Then(
  "no node in touch sends requests to a leaving host any longer",
  function (this: NodeFleetWorld) {
    assert.deepEqual(this.disruptions.late, []);
  },
);
