/**
 * Steps of recovery.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { hash32 } from "../../src/base/hash.ts";
import { START_STEPS } from "../../src/node/start_timeline.ts";
import type { EntryHost } from "./entry_host.ts";
import type { NodeFleet } from "./node_fleet.ts";

interface RecoveryWorld {
  hash: number;
  nodeFleet: NodeFleet;
}

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

async function restartAll(fleet: NodeFleet, pauseMs: number): Promise<void> {
  for (const entryHost of fleet.entryHosts) entryHost.kill();
  await fleet.timers.run(pauseMs);
  for (const entryHost of fleet.entryHosts) entryHost.start();
}

function startLines(entryHost: EntryHost) {
  const events = entryHost.log?.events ?? [];
  return events.filter(({ event }) => event === "started_serving");
}
