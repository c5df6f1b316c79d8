/**
 * Stand-in for the platform, in one process on loopback: its store, its hosts and
 * the operator's manifest.
 *
 * @module
 */
import type { Server } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { Random } from "../../base/random.ts";
import type { Timers } from "../../base/timers.ts";
import type { EngineHostSettings } from "../fleet/engine_hosts.ts";
import { EngineHosts } from "../fleet/engine_hosts.ts";
import { EXAMPLE_MODELS } from "../fleet/example_catalog.ts";
import { MemoryCoordination } from "../fleet/memory_coordination.ts";
import type { RunJournal } from "./host_standin.ts";
import { EntryWriter } from "./entry_writer.ts";
import { HostStandin, RESPONSE_MS } from "./host_standin.ts";
import { serveStore } from "./store_listener.ts";

const IP = "127.0.0.1";
/** Load times are short, so that groups are repaired many times in one run. */
const MODELS = EXAMPLE_MODELS.map((model) => ({
  ...model,
  loadMs: 400,
  warmMs: 200,
}));

/** Longer than polls of the store take to notice a compaction. */
const COMPACTION_MS = 60;

/** Time within which the operator writes the manifest again. */
const MAX_REWRITE_MS = 500;

/** The customers' API keys at the start. */
export const STANDIN_KEYS = ["bindery-key", "desk-key"] as const;

/** A platform into which a test can inject faults. */
export class PlatformStandin {
  readonly store: MemoryCoordination;
  readonly journal: RunJournal = [];
  readonly engines: EngineHosts;
  readonly entries: EntryWriter;
  readonly #timers: Timers;
  readonly #responseMs: number;
  readonly #hosts: HostStandin[] = [];
  readonly #addresses = new Map<string, string>();
  /** Last written states of hosts of the plain service, by id. */
  readonly #counterStates = new Map<string, "ready" | "draining">();
  #storeServer: Server | undefined;
  #manifestVersion = 0;
  #keys: string[] = [...STANDIN_KEYS];

  /** `responseMs` is the time until a plain service responds. */
  constructor(
    timers: Timers,
    responseMs = RESPONSE_MS,
    engineSettings: Partial<EngineHostSettings> = {},
  ) {
    this.#timers = timers;
    this.#responseMs = responseMs;
    this.store = new MemoryCoordination(timers);
    this.engines = new EngineHosts(timers, MODELS, {
      onAnnounced: (host) => this.entries.write(host),
      onWithdrawn: (id) => this.entries.withdraw(id),
    }, engineSettings);
    this.entries = new EntryWriter(
      timers,
      this.store,
      (id) => this.#addresses.get(id),
      (id) => this.engines.announcementOf(id),
    );
  }

  /** Starts the store and all hosts; returns the store's address. */
  async start(domains: number, hostsPerDomain: number): Promise<string> {
    this.#storeServer = createServer(serveStore(this.store));
    const port = await new Promise<number>((resolve) => {
      this.#storeServer?.listen(0, IP, () => {
        const address = this.#storeServer?.address() as AddressInfo;
        resolve(address.port);
      });
    });
    for (let d = 0; d < domains; d++) {
      for (let h = 0; h < hostsPerDomain; h++) {
        await this.#startEngine(`i-${d}-${h}`, d);
      }
    }
    for (const id of ["counter-1", "counter-2"]) await this.startCounter(id);
    this.writeManifest();
    return `${IP}:${port}`;
  }

  /** Stops the store and all hosts. */
  stop(): void {
    for (const host of this.#hosts) host.close();
    this.#storeServer?.close();
    this.#storeServer?.closeAllConnections();
  }

  /** Compacts the store's history, so that all nodes list again. */
  async compact(): Promise<void> {
    const listing = await this.store.client().list("servers/");
    if (!listing.ok) return;
    const { asOf } = listing.value;
    // Ends the polls of nodes that have read all changes, too.
    this.store.faults.compactedBefore = asOf + 1;
    this.#timers.after(COMPACTION_MS, () => {
      this.store.faults.compactedBefore = asOf;
    });
  }

  /**
   * Writes again what the operator and the hosts wrote last, as they do after the
   * store was restored from an older copy.
   */
  writeAgain(random: Random): void {
    const ids = [...this.#addresses.keys()];
    const engineIds = ids.filter((id) => !this.#counterStates.has(id));
    this.entries.writeAgain(engineIds, random);
    this.#timers.after(random.int(MAX_REWRITE_MS), () => {
      const body = manifest(this.#manifestVersion, this.#keys);
      this.store.put("op/config", body);
      for (const [id, state] of this.#counterStates) {
        this.#writeCounterEntry(id, state);
      }
    });
  }

  /** Version of the newest manifest. */
  get manifestVersion(): number {
    return this.#manifestVersion;
  }

  /**
   * Writes a new version of the manifest, in which only the passed API keys are
   * valid.
   */
  writeManifest(keys: readonly string[] = this.#keys): void {
    this.#keys = [...keys];
    this.#manifestVersion += 3;
    this.store.put("op/config", manifest(this.#manifestVersion, keys));
  }

  async #startEngine(id: string, domain: number): Promise<void> {
    const host = new HostStandin(
      id,
      this.#timers,
      this.engines,
      this.journal,
    );
    this.#hosts.push(host);
    this.#addresses.set(id, await host.listen(IP));
    this.engines.add(id, `domain-${domain}`, `zone-${domain % 3}`);
  }

  /** Starts a host of the plain service, and announces it. */
  async startCounter(id: string): Promise<void> {
    const host = new HostStandin(
      id,
      this.#timers,
      undefined,
      this.journal,
      this.#responseMs,
    );
    this.#hosts.push(host);
    this.#addresses.set(id, await host.listen(IP));
    this.#writeCounterEntry(id, "ready");
  }

  /** Announces that a host of the plain service leaves; it goes on serving. */
  drainCounter(id: string): void {
    this.#writeCounterEntry(id, "draining");
  }

  #writeCounterEntry(id: string, state: "ready" | "draining"): void {
    this.#counterStates.set(id, state);
    this.store.put(`servers/${id}`, {
      service: "counter",
      address: this.#addresses.get(id),
      zone: "zone-0",
      version: "v1",
      slots: 6,
      state,
      cold_left_ms: 0,
      seq: 1,
      born: 1,
    });
  }
}

function manifest(version: number, keys: readonly string[]) {
  const stream = {
    host: "album.example",
    kind: "streaming",
    timeout_ms: 5_000,
    goal_ms: 400,
    gap_target_ms: 400,
    priority: 1,
    attempts: 3,
    public: false,
    sticky: true,
    resumable: true,
    service: "pool",
  };
  const plain = {
    ...stream,
    timeout_ms: 2_000,
    resumable: false,
    sticky: false,
    service: "counter",
  };
  return {
    version,
    routes: [
      { ...stream, name: "draft", path_prefix: "/draft/" },
      {
        ...plain,
        name: "order",
        path_prefix: "/order/",
        kind: "non_idempotent",
        attempts: 1,
      },
      {
        ...plain,
        name: "look",
        path_prefix: "/look/",
        kind: "idempotent",
        attempts: 2,
      },
    ],
    services: [
      {
        name: "pool",
        health: "/health",
        max_conns: 400,
        cold_s: 0,
        cold_per_s: 0,
        engine: {
          slots: 18,
          kv_tokens: 1_000_000,
          stride: 7,
          models: MODELS.map((model) => ({
            name: model.name,
            size: model.size,
            share: model.share,
            pace: model.pace,
            load_s: model.loadMs / 1_000,
            warm_s: model.warmMs / 1_000,
          })),
          step_ms: 2,
          per_seq_ms: 0.05,
          context_per_k: 0.01,
          read_per_s: 50_000,
          loads_per_s: 20,
          loads_at_once: 20,
          usual: { prompt: 200, answer: 70 },
          form_ms: 300,
          far_x: 2.5,
        },
      },
      { name: "counter", health: "/health", max_conns: 100 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: keys.map((key, i) => ({ name: `customer-${i}`, keys: [key] })),
  };
}
