import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { Given, Then, When } from "@cucumber/cucumber";
import { ControllerSettingsSchema } from "../../src/settings/controller_settings.ts";
import { GatewaySettingsSchema } from "../../src/settings/gateway_settings.ts";
import type { SettingsProblem } from "../../src/settings/settings_file.ts";
import { parseSettings } from "../../src/settings/settings_file.ts";
import { StandinsSettingsSchema } from "../../src/settings/standins_settings.ts";

const EXAMPLE = "examples/local/gateway-1.ini";
const MISTAKES: Readonly<Record<string, [string | RegExp, string]>> = {
  "an unknown key": ["id = gw-1", "id = gw-1\ncolour = red"],
  "an unknown section": ["[limits]", "[colours]\nred = 1\n[limits]"],
  "a host name": [
    "peer_address = 127.0.0.1:7101",
    "peer_address = gw-1.local:7101",
  ],
  "a bad unit": ["max_body = 4MiB", "max_body = 4 boxes"],
  "a missing section": [/\[peers\][^[]*/, ""],
  "a store by host name": ["http://127.0.0.1:7379", "http://store.local:7379"],
};

interface SettingsWorld {
  problems: SettingsProblem[];
  status: number | null;
  stderr: string;
}

function withMistake(name: string): string {
  const [find, replace] = MISTAKES[name];
  return readFileSync(EXAMPLE, "utf8").replace(find, replace);
}

Given(/^gateway settings with (.*)$/, function (
  this: SettingsWorld,
  mistake: string,
) {
  const res = parseSettings(
    "x.ini",
    withMistake(mistake),
    GatewaySettingsSchema,
  );
  assert.equal(res.ok, false);
  this.problems = res.ok ? [] : res.err;
});

Then(
  "the problem names section {string}, key {string} and expects {string}",
  function (
    this: SettingsWorld,
    section: string,
    key: string,
    expected: string,
  ) {
    const [problem] = this.problems;
    assert.equal(problem.file, "x.ini");
    assert.equal(problem.section, section);
    assert.equal(problem.key, key);
    assert.ok(problem.expected.startsWith(expected), problem.expected);
  },
);

Then("each example file is valid", function () {
  for (const folder of readdirSync("examples")) {
    for (const name of readdirSync(join("examples", folder))) {
      if (!name.endsWith(".ini")) continue;
      const file = join("examples", folder, name);
      const schema = name.startsWith("gateway")
        ? GatewaySettingsSchema
        : name.startsWith("controller")
        ? ControllerSettingsSchema
        : StandinsSettingsSchema;
      const res = parseSettings(file, readFileSync(file, "utf8"), schema);
      assert.ok(res.ok, JSON.stringify(res));
    }
  }
});

When(
  "the gateway binary runs with invalid settings",
  { timeout: 60_000 },
  function (this: SettingsWorld) {
    const folder = mkdtempSync(join(tmpdir(), "oleander-"));
    const file = join(folder, "gateway.ini");
    writeFileSync(file, withMistake("a host name"));
    const binary = "dist/src/bin/oleander_gateway.js";
    const res = spawnSync(process.execPath, [binary, file], {
      encoding: "utf8",
    });
    this.status = res.status;
    this.stderr = res.stderr;
  },
);

Then(
  "it prints the problem and exits with code {int}",
  function (this: SettingsWorld, code: number) {
    assert.equal(this.status, code);
    assert.match(
      this.stderr,
      /gateway\.ini: \[gateway\] peer_address: expected/,
    );
  },
);
