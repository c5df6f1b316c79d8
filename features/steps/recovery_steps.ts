/**
 * Steps of recovery.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { mkdirSync, readFileSync } from "node:fs";
import { resolve } from "node:path";
import process from "node:process";
import { connect } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { hash32 } from "../../src/base/hash.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import type { RelayRequest } from "../../src/core/relay/relay_request.ts";
import { EndpointServer } from "../../src/platform/endpoint_server.ts";
import { RelayServer } from "../../src/platform/relay_server.ts";
import { StartGate } from "../../src/platform/start_gate.ts";
import { START_STEPS } from "../../src/node/start_timeline.ts";
import type { EntryHost } from "./entry_host.ts";
import type { NodeFleet } from "./node_fleet.ts";

const RESTART_PAUSE_MS = 700;
const BUNDLE_FOLDER = "reports/bundle";

interface RecoveryWorld {
  hash: number;
  nodeFleet: NodeFleet;
  output: string;
  endpoints: EndpointServer | undefined;
  endpointErrors: unknown[];
  status: number;
  body: string;
  relayServer: RelayServer | undefined;
  handled: { readonly request: RelayRequest; readonly at: number }[];
  sentAt: number;
  received: string;
  startedAt: number;
  restarted: EntryHost[];
  passed: number[];
  passedAtOnce: number;
}

After({ tags: "@recovery" }, function (this: RecoveryWorld) {
  this.endpoints?.close();
  this.relayServer?.close();
});

When("{string} is hashed", function (this: RecoveryWorld, text: string) {
  this.hash = hash32(text);
});

Then("the hash is {word}", function (this: RecoveryWorld, hash: string) {
  assert.equal(this.hash.toString(16).padStart(8, "0"), hash);
});

When(
  "all nodes end, and start again {int} milliseconds later",
  { timeout: 60_000 },
  async function (this: RecoveryWorld, ms: number) {
    this.startedAt = this.nodeFleet.timers.now() + ms;
    await restartAll(this.nodeFleet, ms);
    await this.nodeFleet.timers.run(9_000);
  },
);

When(
  "all nodes end, and start again without the store",
  { timeout: 60_000 },
  async function (this: RecoveryWorld) {
    for (const entryHost of this.nodeFleet.entryHosts) {
      entryHost.storeAccess = "refused";
    }
    await restartAll(this.nodeFleet, RESTART_PAUSE_MS);
    await this.nodeFleet.timers.run(11_000);
  },
);

Then(
  "each node logs every step of its start once, up to its first request",
  function (this: RecoveryWorld) {
    for (const entryHost of this.nodeFleet.entryHosts) {
      const [line, ...others] = startLines(entryHost);
      assert.deepEqual(others, []);
      const { missing, ...times } = line.fields;
      assert.deepEqual(Object.keys(times), START_STEPS, entryHost.id);
      assert.equal(missing, undefined);
    }
  },
);

Then(
  "each node logs that {string} is missing, 10 seconds after its start",
  function (this: RecoveryWorld, step: string) {
    for (const entryHost of this.nodeFleet.entryHosts) {
      const [line, ...others] = startLines(entryHost);
      assert.deepEqual(others, []);
      assert.ok((line.fields.missing as string[]).includes(step));
    }
  },
);

When(
  "all nodes but the leader end, and start again {int} milliseconds later",
  { timeout: 60_000 },
  async function (this: RecoveryWorld, ms: number) {
    const { entryHosts, leader, timers } = this.nodeFleet;
    this.restarted = entryHosts.filter((entryHost) => entryHost !== leader);
    for (const entryHost of this.restarted) entryHost.kill();
    await timers.run(ms);
    this.nodeFleet.grantCount = 0;
    this.nodeFleet.reads.clear();
    for (const entryHost of this.restarted) entryHost.start();
  },
);

Given(
  "the store takes {int} milliseconds for each response",
  function (this: RecoveryWorld, ms: number) {
    this.nodeFleet.storeDelayMs = ms;
  },
);

Then(
  "the nodes have asked the store for {int} leases by {int} milliseconds later",
  { timeout: 30_000 },
  async function (this: RecoveryWorld, leases: number, ms: number) {
    await this.nodeFleet.timers.run(ms);
    assert.equal(this.nodeFleet.grantCount, leases);
  },
);

Then(
  "the nodes that started have polled the hosts at most {int} times by {int} milliseconds later",
  { timeout: 30_000 },
  async function (this: RecoveryWorld, polls: number, ms: number) {
    const leaderPolls = () => this.nodeFleet.leader?.hostPolls ?? 0;
    const before = leaderPolls();
    await this.nodeFleet.timers.run(ms);
    const own = leaderPolls() - before;
    const others = (this.nodeFleet.reads.get("hosts/") ?? 0) - own;
    assert.ok(others <= polls, `${others} polls`);
  },
);

Then(
  "a node leads {int} milliseconds after the former leader's last renewal can have been",
  { timeout: 30_000 },
  function (this: RecoveryWorld, ms: number) {
    const gained = this.nodeFleet.entryHosts.flatMap(({ log }) =>
      log?.events.filter(({ event }) => event === "acting_gained") ?? []
    );
    const [{ at }] = gained;
    // The lease ends that long after the kill at the latest; the first campaign
    // follows at once.
    assert.ok(at - this.startedAt + RESTART_PAUSE_MS <= ms + 200);
  },
);

async function startGatedServer(
  world: RecoveryWorld,
  openAfterMs: number,
): Promise<void> {
  const timers = new SystemTimers();
  const gate = new StartGate(timers);
  world.handled = [];
  world.relayServer = new RelayServer(
    (request, response) => {
      world.handled.push({ request, at: timers.now() });
      response.writeHead(200, []);
      response.end();
      return undefined;
    },
    undefined,
    gate,
  );
  await world.relayServer.listen("127.0.0.1", 0);
  timers.after(openAfterMs, () => gate.open());
}

Given(
  "a relay server whose gate opens after {int} milliseconds",
  function (this: RecoveryWorld, ms: number) {
    return startGatedServer(this, ms);
  },
);

When(
  "a caller sends a request with a deadline of {int} milliseconds",
  async function (this: RecoveryWorld, deadlineMs: number) {
    this.sentAt = new SystemTimers().now();
    const res = await request(`http://127.0.0.1:${this.relayServer?.port}/a`, {
      headers: {
        "oleanderarch-attempt-id": "held",
        "oleanderarch-deadline-ms": String(deadlineMs),
      },
    });
    await res.body.dump();
    this.received = `HTTP/1.1 ${res.statusCode} `;
  },
);

Then(
  "the request is handled after {int} to {int} milliseconds, with {int} to {int} left",
  function (
    this: RecoveryWorld,
    from: number,
    to: number,
    leastLeft: number,
    mostLeft: number,
  ) {
    const [{ request, at }] = this.handled;
    const afterMs = at - this.sentAt;
    assert.ok(afterMs >= from && afterMs <= to, `after ${afterMs} ms`);
    const leftMs = (request.deadlineMs ?? NaN) - request.heldMs;
    assert.ok(leftMs >= leastLeft && leftMs <= mostLeft, `${leftMs} ms left`);
  },
);

When(
  "a caller sends a request and leaves after {int} milliseconds",
  async function (this: RecoveryWorld, ms: number) {
    const timers = new SystemTimers();
    const socket = connect(this.relayServer?.port ?? 0, "127.0.0.1");
    socket.write(
      "GET /a HTTP/1.1\r\nHost: a\r\nOleanderarch-Attempt-Id: left\r\n\r\n",
    );
    await sleep(timers, ms);
    socket.end();
    await sleep(timers, 500);
  },
);

Then("no request is handled", function (this: RecoveryWorld) {
  assert.deepEqual(this.handled, []);
});

When(
  "{int} requests arrive at a closed gate",
  async function (this: RecoveryWorld, count: number) {
    const timers = new VirtualTimers();
    const gate = new StartGate(timers);
    this.passed = [];
    for (let i = 0; i < count; i++) gate.pass(() => this.passed.push(i));
    this.passedAtOnce = this.passed.length;
    await timers.run(100);
    gate.open();
  },
);

Then(
  "{int} of them pass at once, and {int} when it opens, in order",
  function (this: RecoveryWorld, atOnce: number, later: number) {
    assert.equal(this.passedAtOnce, atOnce);
    const released = this.passed.slice(atOnce);
    assert.deepEqual(released, Array.from({ length: later }, (_, i) => i));
  },
);

Given("a bundle of the node", { timeout: 60_000 }, function () {
  mkdirSync(BUNDLE_FOLDER, { recursive: true });
  execFileSync(process.execPath, [
    "tools/bundle.mjs",
    `${BUNDLE_FOLDER}/oleander_node.js`,
  ]);
});

When(
  "it is started with {}",
  { timeout: 20_000 },
  function (this: RecoveryWorld, how: string) {
    const file = resolve(BUNDLE_FOLDER, "oleander_node.js");
    const script = `process.argv.splice(1, 0, ${JSON.stringify(file)});` +
      `require(${JSON.stringify(file)});` +
      "console.log(globalThis.oleanderCodeIsCached);";
    this.output = execFileSync(process.execPath, [
      ...(how === "other flags" ? ["--no-sparkplug"] : flagsOfDeployment()),
      "--input-type=commonjs",
      "--eval",
      script,
      "--",
      "--version",
    ], { encoding: "utf8" });
  },
);

Then(
  "it runs, {word} the code compiled for it",
  function (this: RecoveryWorld, how: string) {
    assert.match(this.output, /^oleander-node\/\d/);
    const isCached = this.output.trim().split("\n").at(-1);
    assert.equal(isCached, how === "with" ? "true" : "false");
  },
);

Given(
  "an endpoint server for {string} that responds 200, and fails when asked to",
  async function (this: RecoveryWorld, path: string) {
    this.endpointErrors = [];
    this.endpoints = new EndpointServer({
      [path]: (query) => {
        if (query.has("fail")) throw new Error("asked to");
        const body = `zone=${query.get("zone") ?? "none"}`;
        return { status: 200, contentType: "text/plain", body };
      },
    }, (err) => this.endpointErrors.push(err));
    await this.endpoints.listen("127.0.0.1", 0);
  },
);

When(
  "{word} {word} is requested from it",
  async function (
    this: RecoveryWorld,
    method: "GET" | "HEAD" | "POST",
    target: string,
  ) {
    const url = `http://127.0.0.1:${this.endpoints?.port}${target}`;
    const res = await request(url, { method });
    this.status = res.statusCode;
    this.body = await res.body.text();
  },
);

Then(
  "its response has status {int} and body {string}",
  function (this: RecoveryWorld, status: number, body: string) {
    assert.deepEqual([this.status, this.body], [status, body]);
    assert.equal(this.endpointErrors.length, status === 500 ? 1 : 0);
  },
);

/** Flags of Node.js in the command line of the deployment. */
function flagsOfDeployment(): readonly string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  return /^run = "node ((?:--\S+ )*)/m.exec(text)?.[1].trim().split(" ") ?? [];
}

async function restartAll(fleet: NodeFleet, pauseMs: number): Promise<void> {
  for (const entryHost of fleet.entryHosts) entryHost.kill();
  await fleet.timers.run(pauseMs);
  for (const entryHost of fleet.entryHosts) entryHost.start();
}

function startLines(entryHost: EntryHost) {
  const events = entryHost.log?.events ?? [];
  return events.filter(({ event }) => event === "started_serving");
}
