/**
 * Steps of platform.feature: commands and reports over HTTP.
 *
 * @module
 */
import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { HttpHostControl } from "../../src/platform/http_host_control.ts";
import type { HostControl } from "../../src/ports/host_control.ts";
import { EngineHosts } from "../../src/standins/fleet/engine_hosts.ts";
import { EXAMPLE_MODELS } from "../../src/standins/fleet/example_catalog.ts";
import { HostStandin } from "../../src/standins/platform/host_standin.ts";

const timers = new SystemTimers();
const SERVING = "i-serving";
const GONE = "i-gone";

interface HostControlWorld {
  engines: EngineHosts;
  server: HostStandin | undefined;
  address: string;
  results: Awaited<ReturnType<HostControl["command" | "report"]>>[];
}

After(function (this: HostControlWorld) {
  this.server?.close();
});

Given(
  "a host that serves at the address of one that is gone",
  async function (this: HostControlWorld) {
    this.engines = new EngineHosts(timers, EXAMPLE_MODELS, {
      onAnnounced() {},
      onWithdrawn() {},
    });
    this.engines.add(SERVING, "domain-0", "zone-0");
    this.server = new HostStandin(SERVING, timers, this.engines, []);
    this.address = await this.server.listen("127.0.0.1");
  },
);

When(
  "a join is sent to the host that is gone, and its report is requested",
  async function (this: HostControlWorld) {
    const control = new HttpHostControl(timers);
    const host = { id: GONE, address: this.address };
    const group = { group: "g-1", epoch: 1, model: "large", members: [GONE] };
    this.results = [
      await control.command(host, { ...group, kind: "join" }, 0),
      await control.report(host),
    ];
  },
);

Then(
  "the join is refused as sent to another host, and the report as well",
  function (this: HostControlWorld) {
    const [joined, reported] = this.results;
    assert.deepEqual(joined, { ok: true, value: "wrong_host" });
    assert.equal(reported.ok || reported.err.kind, "refused");
  },
);

Then(
  "the host that serves there has accepted no command",
  async function (this: HostControlWorld) {
    const report = await this.engines.report({ id: SERVING, address: "" });
    assert.ok(report.ok);
    assert.equal(report.value.seq, 0);
  },
);
