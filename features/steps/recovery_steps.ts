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
import { After, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { hash32 } from "../../src/base/hash.ts";
import { EndpointServer } from "../../src/platform/endpoint_server.ts";
import { START_STEPS } from "../../src/node/start_timeline.ts";
import type { EntryHost } from "./entry_host.ts";
import type { NodeFleet } from "./node_fleet.ts";

const BUNDLE_FOLDER = "reports/bundle";

interface RecoveryWorld {
  hash: number;
  nodeFleet: NodeFleet;
  output: string;
  endpoints: EndpointServer | undefined;
  endpointErrors: unknown[];
  status: number;
  body: string;
}

After({ tags: "@recovery" }, function (this: RecoveryWorld) {
  this.endpoints?.close();
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
    await restartAll(this.nodeFleet, 700);
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
