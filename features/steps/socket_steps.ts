/**
 * Steps of callers.feature: requests to gateways over loopback sockets.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { AfterAll, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { sha256 } from "../../src/base/hash.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import {
  CUSTOMER_KEY,
  LocalDeployment,
} from "../../src/demo/local_deployment.ts";
import type { CallerResponse } from "../../src/load/caller_client.ts";
import { CallerClient } from "../../src/load/caller_client.ts";
import { DEFAULT_PROFILE } from "../../src/standins/sim/engine_sim.ts";

const OTHER_KEY = "another-customer-key";
const MAX_WAIT_MS = 30_000;
const timers = new SystemTimers();
let sharedDeployment: Promise<LocalDeployment> | undefined;

interface SocketWorld {
  deployment: LocalDeployment;
  status: number;
  body: Record<string, unknown>;
  responses: CallerResponse[];
  text: string;
  statuses: number[];
}

interface RawRequest {
  readonly path?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
}

const AUTHORIZED_HEADERS = { authorization: `Bearer ${CUSTOMER_KEY}` };
const CHAT_BODY = { model: "layout", stream: true, messages: [] };
const INVALID_REQUESTS: Readonly<Record<string, RawRequest>> = {
  "broken JSON": { body: "{" },
  "a body without a model": { body: "{}" },
  "an oversized body": { body: "x".repeat(2 * 1_048_576) },
  "an unknown model": {
    body: JSON.stringify({ ...CHAT_BODY, model: "nobody" }),
  },
  "an unknown service": { path: "/services/nobody/x" },
  "an unknown path": { path: "/v2/chat" },
  "no key": { headers: {} },
  "an unknown key": { headers: { authorization: "Bearer not-a-key" } },
  "an order without an idempotency key": { path: "/services/albums/orders" },
  "a bad Last-Event-ID": {
    headers: { ...AUTHORIZED_HEADERS, "last-event-id": "x" },
  },
  "an unknown class": {
    headers: { ...AUTHORIZED_HEADERS, "x-service-class": "x" },
  },
};

async function startSharedDeployment(): Promise<LocalDeployment> {
  const deployment = await LocalDeployment.start({
    timers,
    fleet: {
      zones: ["a", "b"],
      domainsPerZone: 1,
      hostsPerDomain: 2,
      extraHosts: 0,
      acceleratorsPerHost: 8,
      service: "albums",
    },
    profile: { ...DEFAULT_PROFILE, loadMs: 200, prefillMs: 20, tokenMs: 10 },
    gatewayCount: 2,
  });
  const team = "platform";
  const targets = { betweenTokensMs: 1_000, reliabilityPercent: 90 };
  const customer = { team, maxConcurrent: 50, defaultClass: "counter" };
  const actions = [
    {
      kind: "set_class",
      value: {
        name: "counter",
        team,
        priority: 5,
        firstTokenMs: 20_000,
        ...targets,
      },
    },
    {
      kind: "set_model",
      value: {
        name: "layout",
        team,
        version: "v1",
        hostsPerReplica: 2,
        minReplicas: 2,
        rank: 1,
        enginesCheckFencing: true,
      },
    },
    {
      kind: "set_service",
      value: {
        name: "albums",
        team,
        repeatable: false,
        notRunStatuses: [],
        timeoutMs: 5_000,
      },
    },
    {
      kind: "set_customer",
      value: { name: "desk", keyHashes: [sha256(CUSTOMER_KEY)], ...customer },
    },
    {
      kind: "set_customer",
      value: { name: "crew", keyHashes: [sha256(OTHER_KEY)], ...customer },
    },
  ];
  for (const [i, action] of actions.entries()) {
    const response = await deployment.submit(action, `set-up-${i}`);
    assert.equal(response.status, 200, JSON.stringify(response.body));
  }
  // Two replicas of the model, and one instance of the service in each zone.
  await waitUntil(() => {
    const entries = [...deployment.gateways[0].gateway.table.entries.values()];
    return entries.filter((e) => e.isListed).length >= 4;
  });
  return deployment;
}

/**
 * Waits until a condition is true; fails after {@linkcode MAX_WAIT_MS}, which
 * only ends a scenario that hangs.
 */
async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = timers.now() + MAX_WAIT_MS;
  while (!condition()) {
    assert.ok(
      timers.now() < deadline,
      "The condition did not become true in time",
    );
    await sleep(timers, 50);
  }
}

function createCaller(world: SocketWorld, gateway: number, key = CUSTOMER_KEY) {
  const seeds = [world.deployment.callerAddresses[gateway]];
  return new CallerClient({ seeds, key }, () => timers.now());
}

async function placeOrder(
  world: SocketWorld,
  gateway: number,
  keys: { customerKey: string; orderKey: string },
): Promise<string> {
  const address = world.deployment.callerAddresses[gateway];
  const res = await request(`http://${address}/services/albums/orders`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${keys.customerKey}`,
      "idempotency-key": keys.orderKey,
    },
    body: '{"pages":24}',
  });
  const text = await res.body.text();
  assert.equal(res.statusCode, 200, text);
  return text;
}

function countOrderRuns(world: SocketWorld, key: string): number {
  return world.deployment.journal.filter((event) =>
    event.kind === "order_run" && event.idempotencyKey === key
  ).length;
}

AfterAll(async function () {
  await (await sharedDeployment)?.close();
});

Given(
  "a deployment of two gateways on loopback",
  { timeout: 60_000 },
  async function (this: SocketWorld) {
    sharedDeployment ??= startSharedDeployment();
    this.deployment = await sharedDeployment;
  },
);

When(
  /^a caller sends (broken JSON|a body .*|an? (?:over|unknown|foreign|order|bad).*|no key)$/,
  async function (this: SocketWorld, input: string) {
    const invalid = INVALID_REQUESTS[input];
    const [address] = this.deployment.callerAddresses;
    const path = invalid.path ?? "/v1/chat/completions";
    const res = await request(`http://${address}${path}`, {
      method: "POST",
      headers: invalid.headers ?? AUTHORIZED_HEADERS,
      body: invalid.body ?? JSON.stringify(CHAT_BODY),
    });
    this.status = res.statusCode;
    this.body = await res.body.json() as Record<string, unknown>;
  },
);

Then(
  "the response has status {int} and outcome {string}",
  function (this: SocketWorld, status: number, outcome: string) {
    assert.equal(this.status, status, JSON.stringify(this.body));
    assert.equal(this.body.outcome, outcome);
    assert.equal(this.body.not_run, true);
    assert.ok(this.body.detail);
  },
);

Then(
  "the next caller receives a complete response",
  { timeout: 60_000 },
  async function (this: SocketWorld) {
    const response = await createCaller(this, 0).chat("layout", "next");
    assert.equal(response.isComplete, true, response.text);
  },
);

When(
  "a caller disconnects after half a request",
  async function (this: SocketWorld) {
    const [host, port] = this.deployment.callerAddresses[0].split(":");
    const socket = connect(Number(port), host);
    await new Promise<void>((resolve) => socket.once("connect", resolve));
    socket.write(
      "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n" +
        `authorization: Bearer ${CUSTOMER_KEY}\r\ncontent-length: 500\r\n\r\n{"mo`,
    );
    await sleep(timers, 50);
    socket.destroy();
  },
);

When(
  "a caller disconnects in the middle of a stream",
  async function (this: SocketWorld) {
    const [address] = this.deployment.callerAddresses;
    const res = await request(`http://${address}/v1/chat/completions`, {
      method: "POST",
      headers: AUTHORIZED_HEADERS,
      body: JSON.stringify(CHAT_BODY),
    });
    for await (const chunk of res.body) {
      assert.ok(chunk.length > 0);
      break;
    }
    res.body.destroy();
  },
);

Then(
  "no engine runs the request any more",
  { timeout: 60_000 },
  async function (this: SocketWorld) {
    const engines = [...this.deployment.standins.engines.values()];
    await waitUntil(() => engines.every((engine) => engine.running === 0));
    await waitUntil(() => this.deployment.gateways[0].gateway.inFlight === 0);
  },
);

When(
  "a caller reads 5 events, disconnects and resumes at the other gateway",
  { timeout: 60_000 },
  async function (this: SocketWorld) {
    const body = JSON.stringify({
      ...CHAT_BODY,
      messages: [{ content: "resume" }],
    });
    const openStream = async (
      gateway: number,
      headers: Record<string, string>,
    ) => {
      const address = this.deployment.callerAddresses[gateway];
      const res = await request(`http://${address}/v1/chat/completions`, {
        method: "POST",
        headers: { ...AUTHORIZED_HEADERS, ...headers },
        body,
      });
      assert.equal(res.statusCode, 200);
      return res.body;
    };
    let first = "";
    for await (const chunk of await openStream(0, {})) {
      first += Buffer.from(chunk).toString("utf8");
      if (first.split("\n\n").length > 5) break;
    }
    const firstEvents = first.split("\n\n").slice(0, 5).join("\n\n") + "\n\n";
    const rest = await (await openStream(1, { "last-event-id": "5" })).text();
    const complete = await (await openStream(0, {})).text();
    this.text = firstEvents + rest;
    this.body = { complete };
  },
);

Then(
  "both parts together are the complete response",
  function (this: SocketWorld) {
    assert.equal(this.text, this.body.complete);
  },
);

When(
  "the peer port receives a request without a key and a malformed message",
  async function (this: SocketWorld) {
    const [member] = this.deployment.gateways[0].gateway.cfg.gateways;
    const url =
      `http://${member.peerAddress}/oleander.peer.v1.PeerService/Sync`;
    const send = async (headers: Record<string, string>) => {
      const res = await request(url, {
        method: "POST",
        headers: { "content-type": "application/json", ...headers },
        body: '{"news":{"from":"x","lifecycle":"nonsense"}}',
      });
      await res.body.text();
      return res.statusCode;
    };
    const key = "demo-peer-key-0123456789";
    const authorized = {
      authorization: `Bearer ${key}`,
      "x-oleander-protocol": "1",
    };
    this.statuses = [await send({}), await send(authorized)];
  },
);

Then(
  "the peer port responds with {int} without a key and {int} for a malformed message",
  function (this: SocketWorld, unauthenticated: number, malformed: number) {
    assert.deepEqual(this.statuses, [unauthenticated, malformed]);
  },
);

When(
  "a caller requests a completion without streaming",
  { timeout: 60_000 },
  async function (this: SocketWorld) {
    const [address] = this.deployment.callerAddresses;
    const res = await request(`http://${address}/v1/chat/completions`, {
      method: "POST",
      headers: AUTHORIZED_HEADERS,
      body: JSON.stringify({ ...CHAT_BODY, stream: false }),
    });
    this.status = res.statusCode;
    this.body = await res.body.json() as Record<string, unknown>;
  },
);

Then(
  "the response has status {int} and names the model",
  function (this: SocketWorld, status: number) {
    assert.equal(this.status, status);
    assert.equal(this.body.model, "layout");
  },
);

When(
  "the same order is sent through both gateways at the same time",
  { timeout: 60_000 },
  async function (this: SocketWorld) {
    const keys = { customerKey: CUSTOMER_KEY, orderKey: "both" };
    const texts = await Promise.all(
      [0, 1, 0].map((g) => placeOrder(this, g, keys)),
    );
    // Equal responses leave a single text without a separator.
    this.text = [...new Set(texts)].join("|");
  },
);

Then(
  "both responses are equal and the service ran the order once",
  function (this: SocketWorld) {
    assert.ok(!this.text.includes("|"), this.text);
    assert.equal(countOrderRuns(this, "both"), 1);
  },
);

When(
  "another customer sends an order with an idempotency key that is in use",
  { timeout: 60_000 },
  async function (this: SocketWorld) {
    for (const customerKey of [CUSTOMER_KEY, OTHER_KEY]) {
      await placeOrder(this, 0, { customerKey, orderKey: "in-use" });
    }
  },
);

Then("the service ran that customer's order too", function (this: SocketWorld) {
  assert.equal(countOrderRuns(this, "in-use"), 2);
});
