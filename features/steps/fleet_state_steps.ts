import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import { FleetState } from "../../src/core/fleet/fleet_state.ts";
import { StoreEra } from "../../src/core/fleet/store_era.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import type { FleetSchema } from "../../src/ports/fleet_schema.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";
import { SILENT_LISTENER } from "./fleet_state_fixture.ts";

interface FleetStateWorld {
  timers: VirtualTimers;
  store: MemoryCoordination;
  hosts: HostRegistry;
}

const SCHEMA: FleetSchema = {
  hostPrefix: "hosts/",
  operatorPrefix: "operator/",
  parseHost: (_key, value) =>
    JSON.parse(Buffer.from(value).toString()) as ServingHost,
  isCatalog: () => false,
  parseCatalog: () => undefined,
  zoneOutOfService: () => undefined,
};

const HOST: Partial<ServingHost> = {
  id: "h",
  service: "pool",
  address: "h:1",
  zone: "z",
  slots: 1,
  draining: false,
  coldLeftMs: 0,
};

Given(
  "the fleet state of a store that lists a host",
  async function (this: FleetStateWorld) {
    this.timers = new VirtualTimers();
    this.store = new MemoryCoordination(this.timers);
    this.store.put("hosts/h", HOST);
    this.hosts = new HostRegistry();
    const now = () => this.timers.now();
    const state = new FleetState({
      timers: this.timers,
      store: this.store.client(),
      era: new StoreEra(),
      schema: SCHEMA,
      catalog: new CatalogHolder(now, now),
      hosts: this.hosts,
      zonesOutOfService: new Set(),
      role: () => ({
        isLeader: true,
        isReader: true,
        isPublisher: true,
        fleetSize: 1,
      }),
      lapseAfterMs: 2_400,
      drainWithinMs: () => 2_000,
      listener: SILENT_LISTENER,
    });
    state.start();
    this.timers.subscribe(100, () => this.hosts.expire(this.timers.now()));
    await this.timers.run(1_000);
    assert.ok(this.hosts.get("h"));
  },
);

When(
  "the store is unavailable for {int} seconds and the host leaves meanwhile",
  async function (this: FleetStateWorld, seconds: number) {
    this.store.faults.down = true;
    await this.timers.run(seconds * 500);
    this.store.remove("hosts/h");
    await this.timers.run(seconds * 500);
    this.store.faults.down = false;
  },
);

Then(
  "the host is {word} half a second after the store recovers, and dropped within 3 seconds",
  async function (this: FleetStateWorld, outcome: string) {
    await this.timers.run(500);
    assert.equal(this.hosts.get("h") !== undefined, outcome === "kept");
    await this.timers.run(2_500);
    assert.equal(this.hosts.get("h"), undefined);
  },
);

When(
  "the store is unavailable for {int} seconds, and the host leaves {int} second after it recovers",
  async function (
    this: FleetStateWorld,
    outageSeconds: number,
    delaySeconds: number,
  ) {
    this.store.faults.down = true;
    await this.timers.run(outageSeconds * 1_000);
    this.store.faults.down = false;
    // The feed may notice the recovery 400 ms late, as it pauses between retries.
    await this.timers.run(delaySeconds * 1_000 + 400);
    this.store.remove("hosts/h");
  },
);

Then(
  "the host is dropped half a second later",
  async function (this: FleetStateWorld) {
    await this.timers.run(500);
    assert.equal(this.hosts.get("h"), undefined);
  },
);
