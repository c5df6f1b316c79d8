/**
 * Steps of shutdown.feature: a real node process and the platform's stand-in.
 *
 * @module
 */
import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import {
  PlatformStandin,
  STANDIN_KEYS,
} from "../../src/standins/platform/platform_standin.ts";
import { NodeRunner } from "../../tools/soak/node_runner.ts";

const REPORT_FOLDER = "reports/shutdown";
/** Third octet of the node's address; soaks use others. */
const SUBNET = 253;
const ORDER_COUNT = 4;
/** Only a scenario that hangs reaches this limit. */
const MAX_WAIT_MS = 30_000;
const timers = new SystemTimers();

interface ShutdownWorld {
  platform: PlatformStandin;
  runner: NodeRunner;
  /** Bodies of complete responses; undefined for orders without one. */
  responses: (string | undefined)[];
}

Given(
  "a node process and hosts that respond after {int} milliseconds",
  { timeout: MAX_WAIT_MS },
  async function (this: ShutdownWorld, responseMs: number) {
    this.platform = new PlatformStandin(timers, responseMs);
    const store = await this.platform.start(0, 0);
    this.runner = new NodeRunner(REPORT_FOLDER, 0, SUBNET, store);
    this.runner.start();
    while (!(await hasAddress(this.runner))) await sleep(timers, 100);
  },
);

After({ tags: "@shutdown" }, function (this: ShutdownWorld) {
  this.runner.signal("SIGKILL");
  this.platform.stop();
});

async function hasAddress(runner: NodeRunner): Promise<boolean> {
  try {
    const res = await request(runner.directoryUrl);
    const body = await res.body.json() as { addresses?: string[] };
    return res.statusCode === 200 && (body.addresses ?? []).length > 0;
  } catch {
    return false;
  }
}

When(
  "orders are in flight as SIGTERM is sent {int} times, {int} milliseconds apart",
  { timeout: MAX_WAIT_MS },
  async function (this: ShutdownWorld, times: number, gapMs: number) {
    const orders = Array.from(
      { length: ORDER_COUNT },
      (_, i) => sendOrder(this.runner, i),
    );
    await sleep(timers, 200);
    for (let i = 0; i < times; i++) {
      this.runner.signal("SIGTERM");
      await sleep(timers, gapMs);
    }
    this.responses = await Promise.all(orders);
  },
);

/** Sends an order; returns the body of a complete response. */
async function sendOrder(
  runner: NodeRunner,
  index: number,
): Promise<string | undefined> {
  try {
    const url = `http://${runner.ip}:${runner.callerPort}/order/${index}`;
    const res = await request(url, {
      method: "POST",
      headers: {
        host: "album.example",
        authorization: `Token ${STANDIN_KEYS[0]}`,
        "oleanderarch-attempt-id": `order-${index}`,
        "oleanderarch-deadline-ms": "4000",
      },
      body: `order ${index}`,
    });
    const body = await res.body.text();
    return res.statusCode === 200 ? body : undefined;
  } catch {
    return undefined;
  }
}

Then(
  "every order receives its complete response",
  function (this: ShutdownWorld) {
    const expected = this.responses.map((_, i) => `done /order/${i}`);
    assert.deepEqual(this.responses, expected);
  },
);

Then(
  "the process then exits with code {int}",
  { timeout: MAX_WAIT_MS },
  async function (this: ShutdownWorld, code: number) {
    while (this.runner.isRunning) await sleep(timers, 50);
    assert.equal(this.runner.exitCode, code);
  },
);
