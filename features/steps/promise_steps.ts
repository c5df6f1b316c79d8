import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { PromiseNumber } from "../../src/bench/checker.ts";
import type { Deployment, WorkloadPart } from "../../src/bench/deployment.ts";
import { SMALL } from "../../src/bench/deployment.ts";
import {
  FakeStore,
  STORE_ENDPOINT,
  StoreService,
} from "../../src/bench/fakes.ts";
import { isServed } from "../../src/bench/run_metrics.ts";
import {
  VirtualNetwork,
  VirtualProcess,
} from "../../src/bench/virtual_network.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { Random } from "../../src/base/random.ts";
import { ControllerLease } from "../../src/core/controller/controller_lease.ts";
import { MemoryKeyValue } from "../../src/standins/sim/memory_key_value.ts";
import { ConfigReplica } from "../../src/core/configuration/config_replica.ts";
import { Controller } from "../../src/core/controller/controller.ts";
import { EMPTY_CONFIGURATION } from "../../src/world/configuration.ts";
import { ClusterRun } from "./cluster_world.ts";

const SEED = 11;

interface PromiseWorld {
  run: ClusterRun;
  replica: ConfigReplica;
  pausedController: string;
  timers: VirtualTimers;
  process: VirtualProcess;
  lease: ControllerLease;
}

async function startRun(world: PromiseWorld, deployment: Deployment) {
  world.run = new ClusterRun(deployment, SEED);
  await world.run.start();
}

function findOrderWorkload(run: ClusterRun): WorkloadPart {
  const { workload } = run.cluster.deployment;
  const part = workload.find((p) => p.kind === "service");
  assert.ok(part);
  return part;
}

Given("a small cluster under load", { timeout: 60_000 }, async function (
  this: PromiseWorld,
) {
  await startRun(this, SMALL);
});

Given(
  "a small cluster under three times its load",
  { timeout: 60_000 },
  async function (this: PromiseWorld) {
    this.run = new ClusterRun(SMALL, SEED);
    await this.run.start(3);
  },
);

Given(
  "a small cluster with engines that ignore fencing tokens under load",
  { timeout: 60_000 },
  async function (this: PromiseWorld) {
    const profile = { ...SMALL.profile, checksFencing: false };
    await startRun(this, { ...SMALL, profile });
  },
);

Given(
  "a cluster of 5 gateways under load from the start, with cold upstreams",
  { timeout: 60_000 },
  async function (this: PromiseWorld) {
    this.run = new ClusterRun({ ...SMALL, gatewayCount: 5 }, SEED);
    await this.run.cluster.deploy();
    this.run.checkedFrom = this.run.cluster.timers.now();
    this.run.callers.start(4, 0);
  },
);

Given(
  "changes must be in force at the moment they are accepted",
  { timeout: 60_000 },
  async function (this: PromiseWorld) {
    this.run = new ClusterRun(SMALL, SEED, 0);
    await this.run.start();
  },
);

When("the store goes down", function (this: PromiseWorld) {
  this.run.cluster.store.down = true;
});

When(
  "a group member other than the head dies",
  function (this: PromiseWorld) {
    this.run.cluster.killHost(this.run.secondMember().hostId);
  },
);

When(
  "the engine of a group's head restarts without its weights",
  function (this: PromiseWorld) {
    const { cluster } = this.run;
    const [head] = cluster.readyGroupHeads(
      cluster.deployment.models[0].name,
    );
    head.crash("fault");
  },
);

When(
  "the leading controller pauses while it places groups",
  async function (this: PromiseWorld) {
    const { cluster } = this.run;
    const { process, controller } = cluster.leadingController();
    assert.ok(controller instanceof Controller);
    const deadHost = this.run.secondMember().hostId;
    cluster.killHost(deadHost);
    // The pause falls between the reading of engine statuses and the commands.
    await this.run.advance(2_600);
    process.pause();
    this.pausedController = process.name;
    await this.run.advance(12_000);
    cluster.restartHost(deadHost);
    await this.run.advance(10_000);
    process.resume();
  },
);

When(
  "every group's head crashes and every gateway is restarted",
  async function (this: PromiseWorld) {
    const { cluster } = this.run;
    for (const head of this.run.groupHeads()) head.crash("fault");
    await this.run.advance(6_000);
    for (const { member } of [...cluster.gateways]) {
      cluster.killGateway(member.id);
      await this.run.advance(500);
      cluster.startGateway(member.id);
    }
  },
);

When("every engine host dies", function (this: PromiseWorld) {
  const { cluster } = this.run;
  for (const id of cluster.engines.keys()) cluster.killHost(id);
});

When("the first zone is taken out of service", function (this: PromiseWorld) {
  const { cluster } = this.run;
  cluster.setZone(cluster.deployment.fleet.zones[0], "out");
});

When(
  "one gateway is partitioned from the store, the operator and its peers",
  async function (this: PromiseWorld) {
    const { cluster } = this.run;
    const [partitioned, ...others] = cluster.gateways.map((g) => g.member.id);
    const all = [...others, "operator", "ctl-1", "ctl-2", STORE_ENDPOINT];
    for (const other of all) cluster.network.disconnect(partitioned, other);
    await this.run.advance(500);
  },
);

When("engines end streams early", function (this: PromiseWorld) {
  for (const head of this.run.groupHeads()) head.streamsToTruncate = 3;
});

When(
  "the heads of all groups but one pause for 2 seconds",
  async function (this: PromiseWorld) {
    const [, ...paused] = this.run.groupHeads();
    for (const head of paused) head.paused = true;
    await this.run.advance(2_000);
    for (const head of paused) head.paused = false;
  },
);

When(
  "responses of the store are lost or delayed while orders are sent twice",
  async function (this: PromiseWorld) {
    const { cluster, callers } = this.run;
    const part = findOrderWorkload(this.run);
    for (let i = 0; i < 20; i++) {
      if (i % 4 === 0) cluster.store.responsesToDrop = 2;
      if (i % 4 === 2) cluster.store.writesToDelay = 2;
      for (const { member } of cluster.gateways) {
        callers.send(part, { key: `twice-${i}`, gatewayId: member.id });
      }
      await this.run.advance(300);
    }
  },
);

When(
  "the same orders are sent through every gateway",
  async function (this: PromiseWorld) {
    const { cluster, callers } = this.run;
    for (let i = 0; i < 10; i++) {
      for (const { member } of cluster.gateways) {
        callers.send(findOrderWorkload(this.run), {
          key: `same-${i}`,
          gatewayId: member.id,
        });
      }
    }
    await this.run.advance(100);
  },
);

When("services drop their responses", function (this: PromiseWorld) {
  for (const service of this.run.cluster.services.values()) {
    service.responsesToDrop = 5;
  }
});

When(
  "a gateway crashes with orders in flight",
  async function (this: PromiseWorld) {
    const { cluster, callers } = this.run;
    const [{ member }] = cluster.gateways;
    for (let i = 0; i < 20; i++) {
      callers.send(findOrderWorkload(this.run), {
        key: `crash-${i}`,
        gatewayId: member.id,
      });
    }
    await this.run.advance(45);
    cluster.killGateway(member.id);
  },
);

When(
  "callers disconnect with orders in flight and retry them through another gateway",
  async function (this: PromiseWorld) {
    const { cluster, callers } = this.run;
    const [{ member }] = cluster.gateways;
    for (let i = 0; i < 30; i++) {
      const options = { key: `disconnect-${i}`, gatewayId: member.id };
      callers.send(findOrderWorkload(this.run), {
        ...options,
        disconnectAfterMs: 5 + 3 * i,
      });
      await this.run.advance(50);
    }
  },
);

When(
  "a service host and a group member start to leave",
  function (this: PromiseWorld) {
    const { cluster } = this.run;
    const [service] = cluster.services.keys();
    cluster.markHostLeaving(service);
    cluster.markHostLeaving(this.run.secondMember().hostId);
  },
);

When("responses take many seconds", async function (this: PromiseWorld) {
  for (const head of this.run.groupHeads()) head.slowdown = 8;
  await this.run.advance(2_000);
});

When("cancelled requests keep running and respond late", function (
  this: PromiseWorld,
) {
  this.run.cluster.sims.ignoresCancel = true;
});

When("a gateway shuts down gracefully", function (this: PromiseWorld) {
  const { cluster, checker } = this.run;
  const [instance] = cluster.gateways;
  this.run.shutDownIncarnation = instance.member.incarnation;
  instance.gateway.shutdown().then(() => {
    checker.recordShutdown(instance.member.incarnation);
    instance.process.kill();
  });
});

When("{int} seconds pass", { timeout: 60_000 }, async function (
  this: PromiseWorld,
  seconds: number,
) {
  await this.run.advance(seconds * 1000);
});

Then("promise {int} holds", { timeout: 60_000 }, async function (
  this: PromiseWorld,
  promise: number,
) {
  await this.run.expectNoBreaches(promise as PromiseNumber);
});

Then("every response is complete", { timeout: 60_000 }, async function (
  this: PromiseWorld,
) {
  await this.run.expectCompleteStreams();
});

Then("some group was opened after the fault", function (this: PromiseWorld) {
  const joined = this.run.cluster.journal.some((event) =>
    event.kind === "joined" && event.at > this.run.checkedFrom
  );
  assert.ok(joined, "No host joined a group after the fault");
});

Then("another controller is the leader", function (this: PromiseWorld) {
  const leader = this.run.cluster.leadingController();
  assert.notEqual(leader.process.name, this.pausedController);
});

When(
  "{int} requests arrive that share a prompt part that crashes engines, one every second",
  { timeout: 60_000 },
  async function (this: PromiseWorld, count: number) {
    const { callers, cluster } = this.run;
    const [part] = cluster.deployment.workload;
    const promptParts = ["deadly"];
    for (let i = 0; i < count; i++) {
      callers.send(part, { poisonous: true, promptParts });
      await this.run.advance(1_000);
    }
  },
);

When(
  "{int} seconds pass that are checked",
  async function (this: PromiseWorld, seconds: number) {
    this.run.checkedFrom = this.run.cluster.timers.now();
    await this.run.advance(seconds * 1_000);
  },
);

Then(
  "at most {int} engines have crashed",
  function (this: PromiseWorld, max: number) {
    const crashed = this.run.cluster.journal.filter((event) =>
      event.kind === "crashed"
    );
    assert.ok(crashed.length > 0 && crashed.length <= max, `${crashed.length}`);
  },
);

Then("no engine has crashed", function (this: PromiseWorld) {
  const crashed = this.run.cluster.journal.filter((e) => e.kind === "crashed");
  assert.equal(crashed.length, 0);
});

Then(
  "at least {int} percent of requests are served in time",
  function (this: PromiseWorld, percent: number) {
    const all = this.run.requestsToCheck;
    const served = all.filter((r) => isServed(r, this.run.cluster));
    assert.ok(all.length > 0);
    const share = served.length / all.length * 100;
    assert.ok(
      share >= percent,
      `${share.toFixed(1)} percent were served in time`,
    );
  },
);

Then("the change was accepted", function (this: PromiseWorld) {
  const change = this.run.cluster.changes.at(-1);
  assert.ok(
    change?.acceptedAt,
    `The change was not accepted: ${change?.refused}`,
  );
});

Then("some request took more than one attempt", function (this: PromiseWorld) {
  const starts = this.run.cluster.journal.filter((event) =>
    event.kind === "request_started" && event.at > this.run.checkedFrom &&
    !event.attemptId.endsWith("-1")
  );
  assert.ok(starts.length > 0, "Every request took one attempt");
});

Then("some request was refused as not run", function (this: PromiseWorld) {
  assert.ok(this.run.requestsToCheck.some((r) => r.problem?.notRun));
});

Then(
  "some request failed without being reported as not run",
  function (this: PromiseWorld) {
    const { requests } = this.run.callers;
    assert.ok(requests.some((r) => r.problem?.notRun === false));
  },
);

Then("no upstream was closed", function (this: PromiseWorld) {
  const closed = this.run.cluster.decisions.filter((decision) =>
    decision.kind === "close_upstream"
  );
  assert.deepEqual(closed, []);
});

Then("every order placed has run", function (this: PromiseWorld) {
  const ran = new Set(
    this.run.cluster.journal.flatMap((event) =>
      event.kind === "order_run" ? [event.idempotencyKey] : []
    ),
  );
  const missing = [...this.run.callers.orderKeys].filter((key) =>
    !ran.has(key)
  );
  assert.deepEqual(missing, []);
});

Then("some order's outcome is unknown", function (this: PromiseWorld) {
  const unknown = this.run.requestsToCheck.filter((r) =>
    r.problem?.kind === "outcome_unknown"
  );
  assert.ok(unknown.length > 0);
});

Then(
  "no caller was refused by the gateway that shut down",
  function (this: PromiseWorld) {
    const refused = this.run.requestsToCheck.filter((r) =>
      r.incarnation === this.run.shutDownIncarnation && r.problem !== undefined
    );
    assert.equal(refused.length, 0, refused[0]?.problem?.detail);
  },
);

Then(
  "every model request was served in time since the fault",
  { timeout: 60_000 },
  async function (this: PromiseWorld) {
    await this.run.finish();
    const missed = this.run.requestsToCheck.filter((r) =>
      r.part.kind === "model" && !isServed(r, this.run.cluster)
    );
    assert.equal(missed.length, 0, missed[0]?.problem?.detail);
  },
);

Given(
  "a controller that holds the lease",
  async function (this: PromiseWorld) {
    const timers = new VirtualTimers();
    this.process = new VirtualProcess("ctl-1", timers);
    this.timers = timers;
    const network = new VirtualNetwork(timers, new Random(SEED));
    const service = new StoreService(timers, new MemoryKeyValue(timers));
    const store = new FakeStore(this.process, network, service);
    this.lease = new ControllerLease(this.process, store, "ctl-1/i1");
    this.lease.maintain();
    await timers.run(100);
    assert.ok(this.lease.leadership);
  },
);

When(
  "its process pauses for {int} seconds",
  async function (this: PromiseWorld, seconds: number) {
    this.process.pause();
    await this.timers.run(seconds * 1000);
    this.process.resume();
  },
);

Then(
  "it reports at once that it is not the leader",
  function (this: PromiseWorld) {
    assert.equal(this.lease.leadership, undefined);
  },
);

Given(
  "a copy of the configuration at revision {int}",
  function (this: PromiseWorld, revision: number) {
    this.replica = new ConfigReplica({ id: "gw-1", incarnation: "i1" });
    this.replica.installIfNewer({ ...EMPTY_CONFIGURATION, revision });
  },
);

When(
  "a stale read returns revision {int}",
  function (this: PromiseWorld, revision: number) {
    this.replica.installIfNewer({ ...EMPTY_CONFIGURATION, revision });
    this.replica.confirmByPeer({ id: "gw-2", incarnation: "i2" }, 10, revision);
  },
);

Then(
  "the copy is still at revision {int}",
  function (this: PromiseWorld, revision: number) {
    assert.equal(this.replica.revision, revision);
  },
);

Then(
  "the stale read does not confirm the configuration",
  function (this: PromiseWorld) {
    assert.equal(this.replica.mayServe(10), false);
  },
);
