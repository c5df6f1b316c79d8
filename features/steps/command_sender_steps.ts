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
import type { HostCommand } from "../../src/ports/host_control.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";
import { RecordedLog } from "./simulated_fleet.ts";

interface SenderWorld {
  timers: VirtualTimers;
  engine: EngineHosts;
  states: HostStateTracker;
  sender: CommandSender;
  /** All announcements of the host, the first one from before it joined the group. */
  announced: ServingHost[];
  /** The announcement that the sender is given. */
  host: ServingHost;
  outcome: CommandOutcome | undefined;
  /** How far the event loop was behind; none if undefined. */
  lagMs: number | undefined;
}

const OWN = { group: "g-1", epoch: 1 };

const OWN_MEMBER = { ...OWN, rank: 0, state: "ready" } as const;
const JOIN_OWN: HostCommand = {
  ...OWN,
  kind: "join",
  model: "large",
  members: ["h"],
};
const OPEN_OWN: HostCommand = { ...OWN, kind: "open" };
/** A load, and the time until an open group serves. */
const JOINED_AFTER_MS = 20_000;
const OPEN_AFTER_MS = 1_000;

/** Adds a free host, and a sender that knows nothing of it. */
function createSender(world: SenderWorld): void {
  world.timers = new VirtualTimers();
  world.announced = [];
  world.engine = new EngineHosts(world.timers, EXAMPLE_MODELS, {
    onAnnounced: (host) => world.announced.push(host),
    onWithdrawn() {},
  });
  world.engine.add("h", "domain-0", "zone-0");
  [world.host] = world.announced;
  world.states = new HostStateTracker();
  world.sender = new CommandSender({
    timers: world.timers,
    control: world.engine,
    states: world.states,
    log: new RecordedLog(),
    isLeader: () => true,
    loopLag: { worstSince: () => world.lagMs ?? 0 },
  });
}

Given(
  "a host that serves in a group of its own and is announced as free",
  async function (this: SenderWorld) {
    createSender(this);
    this.engine.command(this.host, JOIN_OWN, 0);
    await this.timers.run(JOINED_AFTER_MS);
    this.engine.command(this.host, OPEN_OWN, 1);
    await this.timers.run(OPEN_AFTER_MS);
  },
);

Given(
  "a host that the sender joined to a group of its own and opened",
  async function (this: SenderWorld) {
    createSender(this);
    for (
      const [command, ms] of [
        [JOIN_OWN, JOINED_AFTER_MS],
        [OPEN_OWN, OPEN_AFTER_MS],
      ] as const
    ) {
      this.sender.send(this.announced.at(-1) ?? this.host, command);
      await this.timers.run(ms);
      const newest = this.announced.at(-1) ?? this.host;
      this.states.get(newest, this.timers.now());
    }
    assert.equal(this.engine.servingGroups.length, 1);
  },
);

When(
  "its announcement from before the join arrives {int} milliseconds later",
  async function (this: SenderWorld, ms: number) {
    await this.timers.run(ms);
    this.host = { ...this.announced[0] };
    this.states.get(this.host, this.timers.now());
  },
);

Given(
  /^(none|one) of its commands (?:is|are) known to the sender$/,
  function (this: SenderWorld, known: string) {
    const now = this.timers.now();
    if (known === "one") {
      const { born } = this.host;
      this.states.recordAccepted(
        this.host,
        {
          born,
          seq: 0,
          membership: OWN_MEMBER,
          models: [],
          from: "report",
          at: now,
        },
        { ...OWN, kind: "leave" },
        now,
      );
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
