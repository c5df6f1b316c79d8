/**
 * Steps of groups.feature that test the command sender on its own.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import type { CommandOutcome } from "../../src/core/orchestrator/command_sender.ts";
import { CommandSender } from "../../src/core/orchestrator/command_sender.ts";
import { HostStateTracker } from "../../src/core/orchestrator/host_state_tracker.ts";
import { EngineHosts } from "../../src/standins/fleet/engine_hosts.ts";
import { EXAMPLE_MODELS } from "../../src/standins/fleet/example_catalog.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";
import { RecordedLog } from "./simulated_fleet.ts";

interface SenderWorld {
  timers: VirtualTimers;
  engine: EngineHosts;
  states: HostStateTracker;
  sender: CommandSender;
  /** The host as first announced, before it joined the group. */
  host: ServingHost;
  outcome: CommandOutcome | undefined;
  /** How far the event loop was behind; none if undefined. */
  lagMs: number | undefined;
}

const OWN = { group: "g-1", epoch: 1 };

Given(
  "a host that serves in a group of its own and is announced as free",
  async function (this: SenderWorld) {
    this.timers = new VirtualTimers();
    const announced: ServingHost[] = [];
    this.engine = new EngineHosts(this.timers, EXAMPLE_MODELS, {
      onAnnounced: (host) => announced.push(host),
      onWithdrawn() {},
    });
    this.engine.add("h", "domain-0", "zone-0");
    [this.host] = announced;
    const join = { ...OWN, kind: "join", model: "large", members: ["h"] };
    this.engine.command(this.host, { ...join, kind: "join" }, 0);
    await this.timers.run(20_000);
    this.engine.command(this.host, { ...OWN, kind: "open" }, 1);
    await this.timers.run(1_000);
    this.states = new HostStateTracker(() => false);
    this.sender = new CommandSender({
      timers: this.timers,
      control: this.engine,
      states: this.states,
      log: new RecordedLog(),
      isLeader: () => true,
      loopLag: { worstSince: () => this.lagMs ?? 0 },
    });
  },
);

Given(
  /^(none|one) of its commands (?:is|are) known to the sender$/,
  function (this: SenderWorld, known: string) {
    const now = this.timers.now();
    if (known === "one") {
      this.states.recordAccepted(this.host, 0, undefined, now);
    }
  },
);

When(
  "it is sent a join command for another group",
  async function (this: SenderWorld) {
    const command = {
      kind: "join",
      group: "g-2",
      epoch: 2,
      model: "large",
      members: ["h"],
    } as const;
    this.sender.send(this.host, command).then((outcome) =>
      this.outcome = outcome
    );
    await this.timers.run(5_000);
  },
);

Then("the command is abandoned", function (this: SenderWorld) {
  assert.equal(this.outcome, "refused");
});

Then(
  "the host keeps serving and violates no group invariant",
  function (this: SenderWorld) {
    assert.deepEqual(this.engine.breaches, []);
    assert.equal(this.engine.servingGroups.length, 1);
  },
);
