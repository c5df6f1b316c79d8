/**
 * Steps of host_limits.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { SuspicionTracker } from "../../src/core/fleet/suspicion_tracker.ts";
import { ObservationExchange } from "../../src/core/gossip/observation_exchange.ts";
import { HostNotices } from "../../src/core/relay/host_notices.ts";
import { guaranteesNotRun } from "../../src/core/relay/relay_request.ts";
import { PromptPartTracker } from "../../src/core/retries/prompt_part_tracker.ts";
import { SuspectRequestTracker } from "../../src/core/retries/suspect_request_tracker.ts";
import { parseRateLimit } from "../../src/platform/rate_limit_header.ts";
import type { StatedRateLimit } from "../../src/ports/relay_client.ts";
import { ScriptedUpstreams } from "../../src/standins/fleet/scripted_upstreams.ts";
import type { RecordedResponse } from "./relay_fixture.ts";
import { RelayFixture } from "./relay_fixture.ts";
import { sampleStatus } from "./sample_status.ts";

const MODEL = "small";
const STATUS_INTERVAL_MS = 200;
const RESTART_INTERVAL_MS = 3_000;
const WINDOW_MS = 4_000;
const NOW_MS = 10_000;
const HOST = { id: "h", born: 1 };

interface SentRequest {
  readonly at: number;
  readonly host: string;
}

interface HostLimitWorld {
  timers: VirtualTimers;
  upstreams: ScriptedUpstreams;
  nodes: RelayFixture[];
  groupCount: number;
  limitedHosts: Set<string>;
  sent: SentRequest[];
  responses: { readonly at: number; readonly response: RecordedResponse }[];
  stated: StatedRateLimit;
  notices: HostNotices;
}

Given(
  /^(\d+) nodes? before (\d+) replica groups?, of which (\d+) names? a limit of (\d+) requests per second$/,
  function (
    this: HostLimitWorld,
    nodes: string,
    groups: string,
    limited: string,
    perSecond: string,
  ) {
    this.timers = new VirtualTimers();
    this.upstreams = new ScriptedUpstreams(this.timers);
    this.groupCount = Number(groups);
    this.limitedHosts = new Set();
    this.sent = [];
    this.responses = [];
    for (let group = 0; group < Number(limited); group++) {
      this.limitedHosts.add(`i-${group}-0`);
      this.upstreams.rateLimits.set(`i-${group}-0`, Number(perSecond));
    }
    this.nodes = [];
    for (let rank = 0; rank < Number(nodes); rank++) {
      this.nodes.push(createNode(this, rank, Number(nodes)));
    }
    this.timers.subscribe(STATUS_INTERVAL_MS, () => shareNotices(this));
  },
);

function createNode(
  world: HostLimitWorld,
  rank: number,
  size: number,
): RelayFixture {
  const node = new RelayFixture(world.timers, world.upstreams);
  node.position = { size, rank };
  node.addGroups(world.groupCount, MODEL);
  return node;
}

function shareNotices({ nodes, timers }: HostLimitWorld): void {
  for (const sender of nodes) {
    const notices = sender.relay.hostNotices.shared(timers.now());
    timers.after(20, () => {
      for (const receiver of nodes) {
        if (receiver === sender) continue;
        for (const notice of notices) {
          receiver.relay.hostNotices.record(notice, "peer");
        }
      }
    });
  }
}

async function sendRequests(
  world: HostLimitWorld,
  perSecond: number,
  seconds: number,
): Promise<void> {
  const { timers, upstreams, nodes } = world;
  for (let i = 0; i < perSecond * seconds; i++) {
    const node = nodes[i % nodes.length];
    node.catalog.recordConfirmation(1, node.catalog.readClocks());
    const countBefore = upstreams.attempts.length;
    const response = node.sendRequest("/draft/");
    world.responses.push({ at: timers.now(), response });
    await timers.run(1_000 / perSecond);
    for (const { host } of upstreams.attempts.slice(countBefore)) {
      world.sent.push({ at: timers.now(), host });
    }
  }
}

When(
  "{int} requests per second arrive for {int} seconds",
  { timeout: 30_000 },
  function (this: HostLimitWorld, perSecond: number, seconds: number) {
    return sendRequests(this, perSecond, seconds);
  },
);

When(
  "{int} requests per second arrive for {int} seconds, while a node is replaced every 3 seconds",
  { timeout: 30_000 },
  async function (this: HostLimitWorld, perSecond: number, seconds: number) {
    let next = 0;
    const timer = this.timers.subscribe(RESTART_INTERVAL_MS, () => {
      const rank = next++ % this.nodes.length;
      this.nodes[rank] = createNode(this, rank, this.nodes.length);
    });
    await sendRequests(this, perSecond, seconds);
    timer.cancel();
  },
);

When(
  "the hosts name no limit, and {int} requests per second arrive for {int} seconds",
  { timeout: 30_000 },
  function (this: HostLimitWorld, perSecond: number, seconds: number) {
    this.upstreams.rateLimits.clear();
    return sendRequests(this, perSecond, seconds);
  },
);

When(
  /^a peer's notice that a host takes no request arrives in a (fresh|stale) message$/,
  function (this: HostLimitWorld, freshness: string) {
    this.notices = new HostNotices(() => ({ size: 1, rank: 0 }));
    const exchange = new ObservationExchange({
      suspicions: new SuspicionTracker(),
      suspectRequests: new SuspectRequestTracker(),
      promptParts: new PromptPartTracker(),
      hostNotices: this.notices,
      isFresh: () => freshness === "fresh",
    });
    const hostLimits = [{ ...HOST, perSecond: 0, ageMs: 5 }];
    exchange.apply({ ...sampleStatus(), hostLimits }, NOW_MS);
  },
);

Then(
  /^the host may (get|not get) requests$/,
  function (this: HostLimitWorld, may: string) {
    assert.equal(this.notices.allows(HOST, NOW_MS), may === "get");
  },
);

When(
  "a response names a limit of {string}",
  function (this: HostLimitWorld, text: string) {
    this.stated = parseRateLimit(text);
  },
);

Then(
  "from {int} seconds on, no host got more than {int} requests in 4 seconds after it named its limit",
  function (this: HostLimitWorld, fromS: number, max: number) {
    for (const host of this.limitedHosts) {
      const times = this.sent
        .filter((request) =>
          request.host === host && request.at >= fromS * 1_000
        )
        .map(({ at }) => at);
      for (const [i, at] of times.entries()) {
        const count = times.slice(i).filter((time) => time - at < WINDOW_MS);
        assert.ok(count.length <= max, `${host} got ${count.length}`);
      }
    }
  },
);

Then(
  "at least {int} percent of the requests are sent",
  function (this: HostLimitWorld, percent: number) {
    assertSent(this.responses, percent);
  },
);

Then(
  "at least {int} percent of the requests of the last {int} seconds are sent",
  function (this: HostLimitWorld, percent: number, seconds: number) {
    const since = this.timers.now() - seconds * 1_000;
    assertSent(this.responses.filter(({ at }) => at >= since), percent);
  },
);

function assertSent(
  responses: HostLimitWorld["responses"],
  percent: number,
): void {
  const sent = responses.filter(({ response }) =>
    response.refusal === undefined
  );
  const share = sent.length / responses.length * 100;
  assert.ok(share >= percent, `${share.toFixed(1)} percent`);
}

Then(
  "each request that was not sent was rejected as not run within {int} milliseconds",
  function (this: HostLimitWorld, maxMs: number) {
    const refused = this.responses.flatMap(({ response }) =>
      response.refusal === undefined ? [] : [response]
    );
    assert.ok(refused.length > 0);
    for (const { refusal, endedMs } of refused) {
      assert.ok(refusal !== undefined && guaranteesNotRun(refusal.kind));
      assert.ok((endedMs ?? Infinity) <= maxMs, `${endedMs} ms`);
    }
  },
);

Then(
  /^the limit is (malformed|[\d.]+)$/,
  function (this: HostLimitWorld, limit: string) {
    const { stated } = this;
    if (limit === "malformed") return assert.equal(stated.kind, "malformed");
    assert.deepEqual(stated, { kind: "limited", perSecond: Number(limit) });
  },
);
