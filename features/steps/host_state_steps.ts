/**
 * Steps of groups.feature that test what the leader takes for a host's state.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { HostObservation } from "../../src/core/orchestrator/host_observation.ts";
import { collectGroups } from "../../src/core/orchestrator/managed_group.ts";
import type { HostCommand } from "../../src/ports/host_control.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import type { TrackedHost } from "../../src/core/orchestrator/host_state_tracker.ts";
import { HostStateTracker } from "../../src/core/orchestrator/host_state_tracker.ts";
import type {
  HostReport,
  Membership,
  MembershipState,
  ServingHost,
} from "../../src/world/serving_host.ts";

interface HostStateWorld {
  states: HostStateTracker;
  host: ServingHost;
  now: number;
  decidedOn: HostObservation;
}

const GROUP = { group: "g-2", epoch: 2, rank: 1 };
const NEXT_GROUP = { group: "g-3", epoch: 3 };
const JOIN: HostCommand = {
  kind: "join",
  group: GROUP.group,
  epoch: GROUP.epoch,
  model: "large",
  members: ["head", "h"],
};
/** Long enough for an announcement to be followed by a newer one. */
const SETTLED_MS = 100;

function createHost(): ServingHost {
  return {
    id: "h",
    service: "pool",
    address: "h:1",
    zone: "zone-0",
    slots: 18,
    draining: false,
    coldLeftMs: 0,
    born: 1,
    domain: "domain-0",
    staged: [],
    models: [],
    membership: undefined,
  };
}

function membershipIn(state: string): Membership | undefined {
  if (state === "free") return undefined;
  return { ...GROUP, state: state as MembershipState };
}

function report(
  world: HostStateWorld,
  born: number,
  seq: number,
  state: string,
): void {
  const membership = membershipIn(state);
  const idle = { busy: false, queued: 0, active: 0, staged: [], models: [] };
  const reported: HostReport = { ...idle, born, seq, membership };
  world.states.recordReport(world.host, reported, ++world.now, false);
}

function announce(world: HostStateWorld, born: number, state: string): void {
  world.host = { ...world.host, born, membership: membershipIn(state) };
  world.states.get(world.host, ++world.now);
}

function current(world: HostStateWorld): TrackedHost {
  world.now += SETTLED_MS;
  return world.states.get(world.host, world.now);
}

Given(
  /^a host that reported (\d+) commands? in life (\d+) and is (\w+)$/,
  function (this: HostStateWorld, seq: string, born: string, state: string) {
    this.states = new HostStateTracker();
    this.host = createHost();
    this.now = 0;
    this.states.get(this.host, this.now);
    report(this, Number(born), Number(seq), state);
    const { observation } = this.states.get(this.host, this.now);
    assert.ok(observation);
    this.decidedOn = observation;
  },
);

When(
  /^it announces life (\d+), in which it is (\w+)$/,
  function (this: HostStateWorld, born: string, state: string) {
    announce(this, Number(born), state);
  },
);

When(
  /^a report of (\d+) commands? in life (\d+) arrives, in which it is (\w+)$/,
  function (this: HostStateWorld, seq: string, born: string, state: string) {
    report(this, Number(born), Number(seq), state);
  },
);

When(
  "the reply to a join that was decided on its first report arrives",
  function (this: HostStateWorld) {
    this.states.recordAccepted(
      this.host,
      this.decidedOn,
      JOIN,
      ++this.now,
    );
  },
);

Then(
  /^it is observed with (\d+) commands? in life (\d+), (\w+)$/,
  function (this: HostStateWorld, seq: string, born: string, state: string) {
    const { observation } = current(this);
    assert.deepEqual(
      [observation?.seq, observation?.born, observation?.membership],
      [Number(seq), Number(born), membershipIn(state)],
    );
  },
);

Then("it must report before any command", function (this: HostStateWorld) {
  assert.equal(current(this).observation, undefined);
});

Then(
  /^its announcement is (contradicted|not contradicted)$/,
  function (this: HostStateWorld, expected: string) {
    assert.equal(current(this).isContradicted, expected === "contradicted");
  },
);

Given(
  "a host that announces the model {string}",
  function (this: HostStateWorld, model: string) {
    this.states = new HostStateTracker();
    this.host = { ...createHost(), models: [model] };
    this.now = 0;
    this.states.get(this.host, this.now);
  },
);

When(
  "it reports that it is ready in a group of {string}",
  function (this: HostStateWorld, model: string) {
    const idle = { busy: false, queued: 0, active: 0, staged: [] };
    const membership = membershipIn("ready");
    const reported = { ...idle, born: 1, seq: 1, membership, models: [model] };
    this.states.recordReport(this.host, reported, ++this.now, false);
  },
);

When(
  "it leaves, and its join of a group of {string} is accepted",
  function (this: HostStateWorld, model: string) {
    for (const joins of [false, true]) {
      const { observation } = current(this);
      assert.ok(observation);
      const command: HostCommand = joins
        ? { ...NEXT_GROUP, kind: "join", model, members: [this.host.id] }
        : { ...GROUP, kind: "leave" };
      this.states.recordAccepted(this.host, observation, command, ++this.now);
    }
  },
);

When(
  "it announces that it is ready in the group, with the model {string}",
  function (this: HostStateWorld, model: string) {
    const membership = { ...NEXT_GROUP, rank: 0, state: "ready" } as const;
    this.host = { ...this.host, models: [model], membership };
    this.states.get(this.host, ++this.now);
  },
);

Then(
  "its group is taken for one of {string}",
  function (this: HostStateWorld, model: string) {
    const { engine } = exampleCatalog(1).services[0];
    assert.ok(engine);
    const [group] = collectGroups([current(this)], engine, () => undefined);
    assert.equal(group.model?.name, model);
  },
);
