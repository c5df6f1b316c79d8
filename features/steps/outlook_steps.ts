/**
 * Steps of outlook.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Random } from "../../src/base/random.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import type { Replica } from "../../src/core/fleet/replica.ts";
import { ReplicaView } from "../../src/core/fleet/replica_view.ts";
import { SuspicionTracker } from "../../src/core/fleet/suspicion_tracker.ts";
import { EngineOutlook } from "../../src/core/outlook/mod.ts";
import { FirstEventCalibration } from "../../src/core/outlook/first_event_calibration.ts";
import { ColdHostLimiter } from "../../src/core/relay/cold_host_limiter.ts";
import { HostNotices } from "../../src/core/relay/host_notices.ts";
import { LoadTracker } from "../../src/core/relay/load_tracker.ts";
import type { Placement } from "../../src/core/relay/placer.ts";
import { Placer } from "../../src/core/relay/placer.ts";
import { ReplicaFailures } from "../../src/core/relay/replica_failures.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import type { ServiceSpec } from "../../src/world/catalog.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";

const MODEL = "pool/small";
const IDLE = { inFlight: 0, pendingPromptTokens: 0 };
const PROMPT_TOKENS = 600;
const REQUEST_INTERVAL_MS = 50;

/** State that the steps of one scenario share. */
interface OutlookWorld {
  outlook: EngineOutlook;
  calibration: FirstEventCalibration;
  service: ServiceSpec;
  replicas: Replica[];
  slownessOf: number[];
  now: number;
  placer: Placer;
  placement: Placement;
}

function createHost(
  id: string,
  group: string,
  rank: number,
  domain: string,
): ServingHost {
  return {
    id,
    address: `${id}:1`,
    service: "pool",
    zone: "zone-0",
    slots: 18,
    draining: false,
    coldLeftMs: 0,
    born: 1,
    domain,
    staged: ["small"],
    models: ["small"],
    membership: { group, epoch: 1, rank, state: rank === 0 ? "open" : "ready" },
  };
}

function poolOf(): ServiceSpec {
  const [service] = exampleCatalog(1).services;
  return service;
}

/** The forecast for a request to an idle replica, by its parts. */
function forecast(world: OutlookWorld, replica: Replica) {
  const model = world.outlook.of(
    world.service,
    "small",
    world.replicas,
    world.now,
  );
  assert(model !== undefined);
  return model.forecast(replica, IDLE, PROMPT_TOKENS, world.now);
}

/** Records a request whose first event came `excessMs` later than computed. */
function serve(world: OutlookWorld, index: number, excessMs: number): void {
  const replica = world.replicas[index];
  const { computedMs } = forecast(world, replica);
  const measuredMs = (computedMs + excessMs) * world.slownessOf[index];
  world.now += REQUEST_INTERVAL_MS;
  world.outlook.recordFirstEvent(replica, computedMs, measuredMs, world.now);
}

Given(
  "an outlook of {int} replicas of {string}",
  function (this: OutlookWorld, count: number, model: string) {
    this.outlook = new EngineOutlook({
      fleetDemand: () => new Map(),
      statusLagMs: () => 0,
    });
    this.service = poolOf();
    this.now = 1_000;
    this.replicas = Array.from({ length: count }, (_, i) => ({
      key: `g-${i}@1`,
      service: this.service.name,
      model,
      host: createHost(`i-${i}`, `g-${i}`, 0, "domain-0"),
      members: [`i-${i}`],
      isCrossDomain: false,
      hasUnlistedMember: false,
    }));
    this.slownessOf = this.replicas.map(() => 1);
  },
);

Given(
  "replica {int} is {int} times slower than the others",
  function (this: OutlookWorld, index: number, factor: number) {
    this.slownessOf[index] = factor;
  },
);

Given(
  /^peers have learnt (.+) milliseconds for "small"$/,
  function (this: OutlookWorld, list: string) {
    const learnt = list.split(/, | and /).map(Number);
    for (const [i, constantMs] of learnt.entries()) {
      const status = { model: MODEL, constantMs, spreadMs: 10 };
      this.outlook.recordPeer(`node-${i}`, [status], this.now);
    }
  },
);

When(
  /^(\d+) requests? takes? (\d+) milliseconds longer than computed, and (\d+) in 100 of them 400 more$/,
  function (this: OutlookWorld, count: string, ms: string, share: string) {
    const random = new Random(5);
    for (let i = 0; i < Number(count); i++) {
      const isQueued = random.float() * 100 < Number(share);
      const excessMs = Number(ms) + (isQueued ? 400 : 0);
      serve(this, i % this.replicas.length, excessMs);
    }
  },
);

When(
  "{int} seconds pass without a status",
  function (this: OutlookWorld, seconds: number) {
    this.now += seconds * 1_000;
    this.outlook.expire(this.now);
  },
);

Then(
  "a forecast is between {int} and {int} milliseconds above the computed time",
  function (this: OutlookWorld, lowest: number, highest: number) {
    const model = this.outlook.of(
      this.service,
      "small",
      this.replicas,
      this.now,
    );
    const [replica] = this.replicas;
    const { constantMs, computedMs, firstEventMs } = forecast(this, replica);
    assert(model !== undefined);
    assert(constantMs >= lowest, `${constantMs} < ${lowest}`);
    assert(constantMs <= highest, `${constantMs} > ${highest}`);
    assert(firstEventMs >= computedMs + constantMs);
  },
);

Then(
  "each replica counts as at most {float} times slower than expected",
  function (this: OutlookWorld, most: number) {
    for (const { key } of this.replicas) {
      const slowness = this.outlook.slowness(key, this.now);
      assert(slowness <= most, `${key}: ${slowness}`);
    }
  },
);

Then(
  "replica {int} counts as at least {float} times slower than expected",
  function (this: OutlookWorld, index: number, least: number) {
    const slowness = this.outlook.slowness(this.replicas[index].key, this.now);
    assert(slowness >= least, String(slowness));
  },
);

Then(
  "the other replicas count as at most {float} times slower than expected",
  function (this: OutlookWorld, most: number) {
    for (const [i, { key }] of this.replicas.entries()) {
      if (this.slownessOf[i] > 1) continue;
      const slowness = this.outlook.slowness(key, this.now);
      assert(slowness <= most, `${key}: ${slowness}`);
    }
  },
);

When(
  "{int} peers each send estimates of {int} models",
  function (this: OutlookWorld, peers: number, models: number) {
    this.calibration = new FirstEventCalibration();
    for (let peer = 0; peer < peers; peer++) {
      const statuses = Array.from({ length: models }, (_, i) => ({
        model: `pool/${i}`,
        constantMs: 50,
        spreadMs: 0,
      }));
      this.calibration.recordPeer(`node-${peer}`, statuses, this.now);
    }
  },
);

When(
  "{int} models have {int} requests each",
  function (this: OutlookWorld, models: number, requests: number) {
    for (let i = 0; i < models * requests; i++) {
      const model = `pool/${i % models}`;
      this.calibration.record(model, 150, 50, this.now);
    }
  },
);

Then(
  "it shares at most {int} estimates",
  function (this: OutlookWorld, most: number) {
    assert(this.calibration.shared(this.now).length <= most);
  },
);

Then(
  "it learns another model once the others have had no requests for {int} seconds",
  function (this: OutlookWorld, seconds: number) {
    this.now += seconds * 1_000;
    this.calibration.expire(this.now);
    this.calibration.record("pool/another", 150, 50, this.now);
    const { constantMs } = this.calibration.residual("pool/another", this.now);
    assert.equal(constantMs, 100);
  },
);

When(
  "all replicas answer {int} times {int} milliseconds late within a second",
  function (this: OutlookWorld, times: number, ms: number) {
    const startedAt = this.now;
    for (let i = 0; i < times * this.replicas.length; i++) {
      serve(this, i % this.replicas.length, ms);
      this.now = startedAt + 1_000 * i / (times * this.replicas.length);
    }
  },
);

When(
  "{int} of {int} responses come {int} milliseconds sooner than computed",
  function (this: OutlookWorld, early: number, all: number, ms: number) {
    for (let i = 0; i < all; i++) {
      serve(this, i % this.replicas.length, i < early ? -ms : 93);
    }
  },
);

Then(
  "a replica's first event is forecast within {int} milliseconds",
  function (this: OutlookWorld, most: number) {
    const times = this.replicas.map((replica) =>
      forecast(this, replica).firstEventMs
    );
    assert(Math.min(...times) <= most, `${Math.min(...times)}`);
  },
);

Then("it uses at most {int} peers", function (this: OutlookWorld, most) {
  assert(this.calibration.peerCount <= most);
});

Given(
  "a placer before a cross-domain group that is idle and others that are busy",
  function (this: OutlookWorld) {
    const hosts = new HostRegistry();
    for (let group = 0; group < 3; group++) {
      for (let rank = 0; rank < 3; rank++) {
        const domain = group === 0 ? `domain-${rank}` : "domain-0";
        const id = `i-${group}-${rank}`;
        hosts.announce(createHost(id, `g-${group}`, rank, domain), 0);
      }
    }
    const loads = new LoadTracker();
    for (const key of ["g-1@1", "g-2@1"]) {
      Object.assign(loads.localLoad(key), {
        inFlight: 12,
        pendingPromptTokens: 3_000,
      });
    }
    const catalog = new CatalogHolder(() => 0, () => 0);
    catalog.installIfNewer(exampleCatalog(1));
    this.service = poolOf();
    this.placer = new Placer({
      view: new ReplicaView(hosts, catalog, new Set()),
      suspicions: new SuspicionTracker(),
      hosts,
      loads,
      outlook: new EngineOutlook({
        fleetDemand: () => new Map(),
        statusLagMs: () => 0,
      }),
      failures: new ReplicaFailures(),
      coldHostLimiter: new ColdHostLimiter(),
      hostNotices: new HostNotices(() => ({ size: 1, rank: 0 })),
      random: new Random(1),
      nodeId: "node-0",
      zone: "zone-0",
      fleetSize: () => 1,
      fleetRank: () => 0,
    });
  },
);

When(
  /^a request for a stream with a gap limit of (\d+) milliseconds? is placed$/,
  function (this: OutlookWorld, gapLimitMs: string) {
    this.placement = this.placer.place({
      service: this.service,
      model: "small",
      promptTokens: PROMPT_TOKENS,
      firstByteLimitMs: 1_000,
      gapLimitMs: Number(gapLimitMs),
      excludes: () => false,
    }, 0);
  },
);

Then("it is placed on a group in one domain", function (this: OutlookWorld) {
  assert(this.placement.kind === "send");
  assert(!this.placement.replica.isCrossDomain);
});

Then("it is placed on some group", function (this: OutlookWorld) {
  assert.equal(this.placement.kind, "send");
});
