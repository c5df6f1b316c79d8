/**
 * Steps of host_entries.feature: entries that the store shows late or turns away.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Random } from "../../src/base/random.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";
import type { EntryMode } from "../../src/standins/platform/entry_writer.ts";
import { EntryWriter } from "../../src/standins/platform/entry_writer.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";

interface HostEntriesWorld {
  timers: VirtualTimers;
  state: MemoryCoordination;
  entries: EntryWriter;
  host: ServingHost;
  /** Slots of the entries, which number them, as they appeared. */
  shown: { readonly slots: number; readonly at: number }[];
  lastWriteAt: number;
}

Given(
  /^a store that shows entries (late|reordered)$/,
  function (
    this: HostEntriesWorld,
    mode: Exclude<EntryMode, "at_once">,
  ) {
    startStore(this);
    this.entries.delay(mode, 10_000, new Random(1));
  },
);

Given(
  "a store that turns a host away for 6 seconds",
  function (this: HostEntriesWorld) {
    startStore(this);
    this.entries.write(this.host);
    this.entries.turnAway(["h-0"], 6_000, new Random(1));
    this.host = { ...this.host, slots: 2 };
    this.entries.write(this.host);
  },
);

function startStore(world: HostEntriesWorld): void {
  world.timers = new VirtualTimers();
  world.host = {
    id: "h-0",
    service: "pool",
    address: "h-0:1",
    zone: "zone-0",
    slots: 1,
    draining: false,
    coldLeftMs: 0,
    born: 1,
    domain: "domain-0",
    staged: [],
    models: [],
    membership: undefined,
  };
  world.state = new MemoryCoordination(world.timers);
  world.entries = new EntryWriter(
    world.timers,
    world.state,
    () => "10.0.0.1:1",
    () => world.host,
  );
}

function shownSlots(world: HostEntriesWorld): number | undefined {
  const text = world.state.readValue("servers/h-0");
  return text === undefined ? undefined : JSON.parse(text).slots;
}

When(
  "a host writes 20 entries in 2 seconds",
  async function (this: HostEntriesWorld) {
    this.shown = [];
    for (let step = 0; step < 6_000; step++) {
      if (step < 2_000 && step % 100 === 0) {
        this.host = { ...this.host, slots: step / 100 + 1 };
        this.entries.write(this.host);
        this.lastWriteAt = this.timers.now();
      }
      await this.timers.run(1);
      const slots = shownSlots(this);
      if (slots !== undefined && slots !== this.shown.at(-1)?.slots) {
        this.shown.push({ slots, at: this.timers.now() });
      }
    }
  },
);

Then(
  /^the entries appear in (the order of their writing|another order)$/,
  function (this: HostEntriesWorld, order: string) {
    const slots = this.shown.map((entry) => entry.slots);
    const sorted = [...slots].sort((a, b) => a - b);
    const isSorted = slots.join() === sorted.join();
    assert.equal(isSorted, order === "the order of their writing");
  },
);

Then(
  "the last entry is shown within {int} milliseconds",
  function (this: HostEntriesWorld, ms: number) {
    const last = this.shown.at(-1);
    assert.equal(last?.slots, 20);
    assert.ok(last.at - this.lastWriteAt <= ms);
  },
);

Then(
  /^the entry is (old|absent|current) after (\d+) milliseconds$/,
  async function (this: HostEntriesWorld, state: string, ms: string) {
    await this.timers.run(Number(ms) - this.timers.now());
    const slots = { old: 1, absent: undefined, current: 2 }[state];
    assert.equal(shownSlots(this), slots);
  },
);
