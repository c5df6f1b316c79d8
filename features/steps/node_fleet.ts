/**
 * Entry hosts in virtual time that share a store, hosts of a plain service, and a
 * network.
 *
 * @module
 */
import { Random } from "../../src/base/random.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import type { FleetSchema } from "../../src/ports/fleet_schema.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";
import type { Catalog } from "../../src/world/catalog.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";
import { EntryHost } from "./entry_host.ts";

const CATALOG_KEY = "operator/catalog";
/** API key of all requests. */
export const API_KEY = "bindery-key";
export const LINK_DELAY_MS = 1;
/** Time from one start of a node to that of the next. */
const START_INTERVAL_MS = 20;

/** Layout of the store. */
export const SCHEMA: FleetSchema = {
  hostPrefix: "hosts/",
  operatorPrefix: "operator/",
  parseHost: (_key, value) => JSON.parse(decode(value)) as ServingHost,
  isCatalog: (key) => key === CATALOG_KEY,
  parseCatalog: (value) => JSON.parse(decode(value)) as Catalog,
  zoneOutOfService: (key) => key.split("operator/out/")[1],
};

function decode(value: Uint8Array): string {
  return new TextDecoder().decode(value);
}

/** A request that a node sent to a host. */
export interface SentRequest {
  readonly nodeId: string;
  readonly hostId: string;
  readonly at: number;
}

/** Nodes, and the store and hosts that they use. */
export class NodeFleet {
  readonly timers = new VirtualTimers();
  readonly store = new MemoryCoordination(this.timers);
  readonly random: Random;
  readonly drainMs: number;
  readonly entryHosts: EntryHost[];
  /** Requests that nodes sent to hosts. */
  readonly sent: SentRequest[] = [];
  /** When the store acknowledged that a host leaves, by host. */
  readonly leftAt = new Map<string, number>();
  /** Requests for changes that nodes sent to the store, by prefix. */
  readonly reads = new Map<string, number>();
  /** Number of leases that nodes asked the store for. */
  grantCount = 0;
  /** Time that the store takes for each response, besides waits for changes. */
  storeDelayMs = 0;
  /** Time for which a status waits to be read; its ages leave it out. */
  statusDelayMs = LINK_DELAY_MS;
  /** Time for which nodes open a connection before they send a request. */
  connectMs = 0;
  #hostCount = 0;

  constructor(size: number, seed: number, drainMs: number) {
    this.random = new Random(seed);
    this.drainMs = drainMs;
    this.store.put(CATALOG_KEY, exampleCatalog(1));
    for (let i = 0; i < 6; i++) this.addHost();
    // Ids have three digits, so that they sort in numeric order.
    this.entryHosts = Array.from(
      { length: size },
      (_, i) => new EntryHost(this, `n${100 + i}`, `z${i % 3}`),
    );
  }

  /** Addresses by which starting nodes find their first peers. */
  get seeds(): string[] {
    return this.entryHosts.slice(0, 3).map(({ id }) => `${id}:9`);
  }

  /** Starts all nodes, and waits until they follow the store in their roles. */
  async start(): Promise<void> {
    for (const entryHost of this.entryHosts) {
      entryHost.start();
      await this.timers.run(START_INTERVAL_MS);
    }
    await this.timers.run(8_000);
  }

  /** Writes a catalog of a version, as the operator does. */
  putCatalog(version: number): void {
    this.store.put(CATALOG_KEY, exampleCatalog(version));
  }

  /** Announces a host anew; it serves on. */
  touchHost(id: string): void {
    this.store.put(`hosts/${id}`, createHost(id, this.leftAt.has(id)));
  }

  /** Serving entry hosts, the one with the lowest id first. */
  get running(): EntryHost[] {
    return this.entryHosts.filter(({ isRunning }) => isRunning);
  }

  get leader(): EntryHost | undefined {
    return this.running.find(({ isLeader }) => isLeader);
  }

  /** Writes a catalog in which the key of all requests is revoked. */
  revokeKey(): void {
    const catalog = exampleCatalog(2);
    const customers = catalog.customers?.filter(({ keys }) =>
      !keys.includes(API_KEY)
    );
    this.store.put(CATALOG_KEY, { ...catalog, customers });
  }

  addHost(): void {
    const id = `h${this.#hostCount++}`;
    this.store.put(`hosts/${id}`, createHost(id, false));
  }

  /** Hosts that are listed and not leaving. */
  get servingHosts(): string[] {
    const ids = Array.from({ length: this.#hostCount }, (_, i) => `h${i}`);
    return ids.filter((id) => !this.leftAt.has(id));
  }

  /**
   * A host leaves: it announces it, or its announcement is removed. It continues
   * to serve.
   */
  leave(id: string, how: "announced" | "removed"): void {
    this.leftAt.set(id, this.timers.now());
    const key = `hosts/${id}`;
    if (how === "removed") this.store.remove(key);
    else this.store.put(key, createHost(id, true));
  }

  deliver(from: EntryHost, to: string, payload: Uint8Array): void {
    const target = this.entryHosts.find(({ id }) => to === `${id}:7`);
    this.timers.after(
      this.statusDelayMs,
      () => target?.receive(payload, `${from.id}:7`),
    );
  }

  countRead(prefix: string): void {
    this.reads.set(prefix, (this.reads.get(prefix) ?? 0) + 1);
  }
}

function createHost(id: string, draining: boolean): ServingHost {
  return {
    id,
    service: "counter",
    address: `${id}:1`,
    zone: "z0",
    slots: 50,
    draining,
    coldLeftMs: 0,
    born: 1,
    domain: "",
    staged: [],
    models: [],
    membership: undefined,
  };
}
