import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Given, Then, When } from "@cucumber/cucumber";
import type { NodeSettings } from "../../src/settings/node_settings.ts";
import { NodeSettingsSchema } from "../../src/settings/node_settings.ts";
import { loadSettings } from "../../src/settings/settings_file.ts";
import { SettingsWatcher } from "../../src/settings/settings_watcher.ts";
import { NODE_SETTINGS } from "./sample_settings.ts";
import { RecordedLog } from "./simulated_fleet.ts";

interface WatcherWorld {
  file: string;
  log: RecordedLog;
  applied: NodeSettings[];
  watcher: SettingsWatcher<typeof NodeSettingsSchema>;
}

Given("a watched settings file of a node", function (this: WatcherWorld) {
  this.file = join(mkdtempSync(join(tmpdir(), "oleander-")), "node.ini");
  writeFileSync(this.file, NODE_SETTINGS);
  const settings = loadSettings(this.file, NodeSettingsSchema);
  assert.ok(settings.ok);
  this.log = new RecordedLog();
  this.applied = [];
  this.watcher = new SettingsWatcher(
    this.file,
    NodeSettingsSchema,
    settings.value,
    this.log,
    (changed) => this.applied.push(changed),
  );
});

function editSettings(world: WatcherWorld, from: string, to: string): void {
  const text = readFileSync(world.file, "utf8");
  writeFileSync(world.file, text.replace(from, to));
  world.watcher.reload("test");
}

When("its seeds change", function (this: WatcherWorld) {
  editSettings(
    this,
    "seeds = 10.1.0.4:8229",
    "seeds = 10.1.0.4:8229,10.2.0.5:8229",
  );
});

Then("the changed settings are applied", function (this: WatcherWorld) {
  assert.deepEqual(this.applied.map((s) => s.node.seeds), [
    ["10.1.0.4:8229", "10.2.0.5:8229"],
  ]);
});

When("its store address becomes a host name", function (this: WatcherWorld) {
  editSettings(this, "10.200.1.7:8223", "store.example:8223");
});

Then(
  "the settings stay unchanged and the reason is logged",
  function (this: WatcherWorld) {
    assert.equal(this.applied.length, 1);
    const [refusal] = this.log.named("reload_refused");
    assert.match(JSON.stringify(refusal.problems), /\[platform\] store/);
  },
);
