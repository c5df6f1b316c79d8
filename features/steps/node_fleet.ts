/**
 * Nodes in virtual time that share a store, hosts of a plain service, and a
 * network.
 *
 * @module
 */
import { Random } from "../../src/base/random.ts";
import type { Timer, Timers } from "../../src/base/timers.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { Node } from "../../src/node/node.ts";
import type { CoordinationStore } from "../../src/ports/coordination_store.ts";
import type { FleetSchema } from "../../src/ports/fleet_schema.ts";
import type { RelayClient } from "../../src/ports/relay_client.ts";
import type { NodeSettings } from "../../src/settings/node_settings.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";
import type { Catalog } from "../../src/world/catalog.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";
import { RecordedResponse } from "./relay_fixture.ts";
import { RecordedLog } from "./simulated_fleet.ts";

const CATALOG_KEY = "operator/catalog";
/** API key of all requests. */
const API_KEY = "bindery-key";
const LINK_DELAY_MS = 1;
/** Time from one start of a node to that of the next. */
const START_INTERVAL_MS = 20;
/** A node ends this long after SIGTERM if no request is in flight. */
const SHUTDOWN_MS = 2_700;
/** Interval of the requests that each node receives. */
const REQUEST_INTERVAL_MS = 70;

const SCHEMA: FleetSchema = {
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

/** How the store treats the requests of one node. */
export type StoreAccess = "served" | "silent" | "refused";

/** A request that a node sent to a host. */
export interface SentRequest {
  readonly nodeId: string;
  readonly hostId: string;
  readonly at: number;
}

/** Timers of one process: no callback runs after the process has ended. */
class ProcessTimers implements Timers {
  readonly #timers: Timers;
  isRunning = true;

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  now(): number {
    return this.#timers.now();
  }

  after(delayMs: number, callback: () => void): Timer {
    return this.#timers.after(delayMs, this.#guard(callback));
  }

  afterInput(callback: () => void): void {
    this.#timers.afterInput(this.#guard(callback));
  }

  subscribe(periodMs: number, callback: () => void): Timer {
    return this.#timers.subscribe(periodMs, this.#guard(callback));
  }

  #guard(callback: () => void): () => void {
    return () => {
      if (this.isRunning) callback();
    };
  }
}

/** One run of a node's process. */
interface NodeRun {
  readonly node: Node;
  readonly timers: ProcessTimers;
  readonly log: RecordedLog;
}

/** A machine, whose process may end and start again. */
export class NodeMachine {
  readonly id: string;
  readonly #fleet: NodeFleet;
  readonly #zone: string;
  #run: NodeRun | undefined;
  #runCount = 0;
  #requestCount = 0;
  /** Number of times that responses of the store were lost. */
  #lossCount = 0;
  storeAccess: StoreAccess = "served";
  receivesStatuses = true;
  /** When the machine was last stopped, started, or turned away by the store. */
  disturbedAt = -Infinity;

  constructor(fleet: NodeFleet, id: string, zone: string) {
    this.#fleet = fleet;
    this.id = id;
    this.#zone = zone;
    fleet.timers.subscribe(REQUEST_INTERVAL_MS, () => this.#sendRequest());
  }

  get isRunning(): boolean {
    return this.#run !== undefined;
  }

  /** Whether the node leads, according to its last log line about the lease. */
  get isLeader(): boolean {
    const events = this.#run?.log.events ?? [];
    const last = events.findLast(({ event }) =>
      event === "acting_gained" || event === "acting_lost"
    );
    return last?.event === "acting_gained";
  }

  get #isStoreSilent(): boolean {
    return this.storeAccess === "silent";
  }

  /** Log events of the current run. */
  get log(): RecordedLog | undefined {
    return this.#run?.log;
  }

  start(): void {
    if (this.#run !== undefined) return;
    this.#disturb();
    const timers = new ProcessTimers(this.#fleet.timers);
    const log = new RecordedLog();
    const node = this.#createNode(timers, log);
    this.#run = { node, timers, log };
    node.start();
  }

  /** Sends SIGTERM: the node withdraws and its process ends later. */
  terminate(): void {
    const run = this.#run;
    if (run === undefined) return;
    this.#disturb();
    run.node.withdraw();
    this.#fleet.timers.after(SHUTDOWN_MS, () => {
      if (this.#run === run) this.kill();
    });
  }

  /** Ends the process at once. */
  kill(): void {
    if (this.#run === undefined) return;
    this.#disturb();
    this.#run.timers.isRunning = false;
    this.#run = undefined;
  }

  /** Delivers a datagram. */
  receive(payload: Uint8Array, from: string): void {
    if (this.receivesStatuses) this.#receive?.(payload, from);
  }

  /** Loses the store's responses to the requests in progress. */
  loseResponses(): void {
    this.#lossCount += 1;
  }

  #receive: ((payload: Uint8Array, from: string) => void) | undefined;

  #disturb(): void {
    this.disturbedAt = this.#fleet.timers.now();
  }

  #sendRequest(): void {
    if (this.#run === undefined) return;
    const id = `${this.id}-${this.#requestCount++}`;
    const { node, timers } = this.#run;
    node.relay.handle({
      id,
      method: "GET",
      hostName: "album.example",
      target: `/look/${id}`,
      headers: [],
      body: new Uint8Array(),
      apiKey: API_KEY,
      deadlineMs: 800,
      lastEventId: undefined,
      model: undefined,
      promptTokens: 0,
      maxTokens: 0,
      promptParts: [],
      expectedTokens: undefined,
    }, new RecordedResponse(() => timers.now()));
  }

  #createNode(timers: ProcessTimers, log: RecordedLog): Node {
    const fleet = this.#fleet;
    const unreachable = () =>
      Promise.resolve(
        { ok: false, err: { kind: "refused", detail: "no engine" } } as const,
      );
    return new Node({
      settings: this.#settings(),
      timers,
      wallClock: () => timers.now(),
      random: new Random(fleet.random.int(1_000_000)),
      incarnation: `${this.id}-run-${this.#runCount++}`,
      store: this.#store(timers),
      schema: SCHEMA,
      control: { report: unreachable, command: unreachable },
      client: this.#client(timers),
      datagrams: {
        send: (to, payload) => {
          if (timers.isRunning) fleet.deliver(this, to, payload);
        },
        onMessage: (receive) => {
          this.#receive = (payload, from) => {
            if (timers.isRunning) receive(payload, from);
          };
        },
      },
      log,
      addressTtlMs: 3_000,
      onLimits: () => {},
    });
  }

  #settings(): NodeSettings {
    return {
      node: {
        id: this.id,
        availability_zone: this.#zone,
        region: "region",
        ip: this.id,
        caller_address: `${this.id}:1`,
        ready_address: `${this.id}:2`,
        directory_address: `${this.id}:3`,
        internal_port: 7,
        metrics_port: 8,
        link: 1_000,
        seeds: this.#fleet.seeds,
      },
      platform: { store: "store:1", heartbeat: 1_200 },
      bounds: {
        confirm_keys_within: 5_000,
        change_in_force_within: 3_000,
        drain_within: this.#fleet.drainMs,
        shutdown_within: 8_000,
        stall: 4_000,
        retry_ratio: 0.2,
        retry_window: 10_000,
        retry_slack: 298,
        load_window: 5_000,
        address_ttl_max: 5_000,
      },
      log: { format: "json", level: "info" },
    };
  }

  /** The store as this machine reaches it. */
  #store(timers: ProcessTimers): CoordinationStore {
    const client = this.#fleet.store.client();
    const through = async <T>(request: () => Promise<T>): Promise<T> => {
      if (this.storeAccess === "refused") return refusal as T;
      const lossCount = this.#lossCount;
      const res = this.#isStoreSilent ? undefined : await request();
      // The response is lost, too, if the store has turned silent meanwhile.
      const isLost = res === undefined || this.#isStoreSilent ||
        lossCount !== this.#lossCount || !timers.isRunning;
      return isLost ? new Promise(() => {}) : res;
    };
    return {
      list: (prefix) => through(() => client.list(prefix)),
      changes: (prefix, after, waitMs) => {
        this.#fleet.countRead(prefix);
        return through(() => client.changes(prefix, after, waitMs));
      },
      write: (conditions, puts, removes) =>
        through(() => client.write(conditions, puts, removes)),
      grantLease: (ttlMs) => through(() => client.grantLease(ttlMs)),
      renewLease: (id) => through(() => client.renewLease(id)),
      endLease: (id) => through(() => client.endLease(id)),
    };
  }

  /** Hosts answer each request at once. */
  #client(timers: ProcessTimers): RelayClient {
    return {
      send: (host, _attempt, listener) => {
        const at = timers.now();
        this.#fleet.sent.push({ nodeId: this.id, hostId: host.id, at });
        timers.after(2 * LINK_DELAY_MS, () => {
          listener.onHead({
            status: 200,
            headers: [],
            notRun: false,
            wrongHost: false,
            faultyMemberId: undefined,
            isStream: false,
            rateLimit: { kind: "unlimited" },
          });
          listener.onEnd({ kind: "ended" });
        });
        return { cancel() {}, discard() {}, pause() {}, resume() {} };
      },
    };
  }
}

const refusal = {
  ok: false,
  err: { kind: "unavailable", detail: "status 503" },
} as const;

/** Nodes, and the store and hosts that they use. */
export class NodeFleet {
  readonly timers = new VirtualTimers();
  readonly store = new MemoryCoordination(this.timers);
  readonly random: Random;
  readonly drainMs: number;
  readonly machines: NodeMachine[];
  /** Requests that nodes sent to hosts. */
  readonly sent: SentRequest[] = [];
  /** When the store acknowledged that a host leaves, by host. */
  readonly leftAt = new Map<string, number>();
  /** Requests for changes that nodes sent to the store, by prefix. */
  readonly reads = new Map<string, number>();
  /** Time for which a status waits to be read; its ages leave it out. */
  statusDelayMs = LINK_DELAY_MS;
  #hostCount = 0;

  constructor(size: number, seed: number, drainMs: number) {
    this.random = new Random(seed);
    this.drainMs = drainMs;
    this.store.put(CATALOG_KEY, exampleCatalog(1));
    for (let i = 0; i < 6; i++) this.addHost();
    // Ids have three digits, so that they sort in numeric order.
    this.machines = Array.from(
      { length: size },
      (_, i) => new NodeMachine(this, `n${100 + i}`, `z${i % 3}`),
    );
  }

  /** Addresses by which starting nodes find their first peers. */
  get seeds(): string[] {
    return this.machines.slice(0, 3).map(({ id }) => `${id}:9`);
  }

  /** Starts all nodes, and waits until they follow the store in their roles. */
  async start(): Promise<void> {
    for (const machine of this.machines) {
      machine.start();
      await this.timers.run(START_INTERVAL_MS);
    }
    await this.timers.run(8_000);
  }

  /** Serving machines, the one with the lowest id first. */
  get running(): NodeMachine[] {
    return this.machines.filter(({ isRunning }) => isRunning);
  }

  get leader(): NodeMachine | undefined {
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

  deliver(from: NodeMachine, to: string, payload: Uint8Array): void {
    const target = this.machines.find(({ id }) => to === `${id}:7`);
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
