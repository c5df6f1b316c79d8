import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { spawn, spawnSync } from "node:child_process";
import process from "node:process";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import { CallerClient } from "../../src/load/caller_client.ts";

const BIN = "dist/src/bin";
/** Only a scenario that hangs reaches this limit. */
const MAX_WAIT_MS = 60_000;
const timers = new SystemTimers();

interface TourWorld {
  processes: ChildProcess[];
}

const PROCESSES: ReadonlyArray<readonly [string, string]> = [
  ["oleander_standins.js", "standins.ini"],
  ["oleander_gateway.js", "gateway-1.ini"],
  ["oleander_gateway.js", "gateway-2.ini"],
  ["oleander_controller.js", "controller.ini"],
];

function runCtl(...args: string[]) {
  return spawnSync(process.execPath, [`${BIN}/oleanderctl.js`, ...args], {
    encoding: "utf8",
    env: { ...process.env, OLEANDER_TOKEN: "operator-token" },
  });
}

/** Repeats a command until it succeeds and its output meets the condition. */
async function runCtlUntil(
  args: readonly string[],
  condition: (out: string) => boolean,
): Promise<void> {
  const deadline = timers.now() + MAX_WAIT_MS;
  while (true) {
    const res = runCtl(...args);
    if (res.status === 0 && condition(res.stdout)) return;
    assert.ok(
      timers.now() < deadline,
      `${args.join(" ")}: ${res.stderr}${res.stdout}`,
    );
    await sleep(timers, 300);
  }
}

Given("the tour's processes run", function (this: TourWorld) {
  this.processes = PROCESSES.map(([binary, settings]) =>
    spawn(
      process.execPath,
      [`${BIN}/${binary}`, `examples/local/${settings}`],
      {
        stdio: "ignore",
      },
    )
  );
});

When(
  "the declarations are applied with oleanderctl",
  { timeout: 130_000 },
  async function (this: TourWorld) {
    await runCtlUntil(["fleet"], (out) => out.includes('"active": true'));
    await runCtlUntil(
      ["apply", "examples/local/declarations.json"],
      () => true,
    );
    await runCtlUntil(["groups"], (out) => out.includes("open\t4 hosts"));
  },
);

Then(
  "a caller that looks up an address receives a complete streamed response",
  { timeout: 130_000 },
  async function (this: TourWorld) {
    const seeds = ["127.0.0.1:7001", "127.0.0.1:7002"];
    const caller = new CallerClient(
      { seeds, key: "counter-key" },
      () => timers.now(),
    );
    const deadline = timers.now() + MAX_WAIT_MS;
    while (true) {
      const response = await caller.chat("layout-large", "hello");
      if (response.isComplete && response.events > 0) return;
      assert.ok(timers.now() < deadline, response.text);
      await sleep(timers, 300);
    }
  },
);

Then(
  "oleanderctl takes a zone out",
  { timeout: 130_000 },
  async function (this: TourWorld) {
    await runCtlUntil(["zone-out", "ktm-a", "--json"], (out) => {
      return JSON.parse(out).accepted === true;
    });
  },
);

Then(
  "the processes stop on SIGTERM with exit code {int}",
  { timeout: 130_000 },
  async function (this: TourWorld, code: number) {
    const [standins, ...rest] = this.processes;
    // The stand-ins stop last: the controller releases its lease in their store.
    for (const batch of [rest, [standins]]) {
      const exits = batch.map((child) =>
        new Promise<number | null>((resolve) => child.once("exit", resolve))
      );
      for (const child of batch) child.kill("SIGTERM");
      const codes = await Promise.all(exits);
      assert.deepEqual(codes, batch.map(() => code));
    }
  },
);

After({ tags: "@tour" }, function (this: TourWorld) {
  for (const child of this.processes ?? []) child.kill("SIGKILL");
});
