/**
 * Runs a load against the relays of a build.
 *
 * @module
 */
import { Random } from "../../src/base/random.ts";
import type { Timers } from "../../src/base/timers.ts";
import { EngineClient } from "./engine_client.ts";
import { EngineCluster, zoneName } from "./engine_cluster.ts";
import { LoadCaller } from "./load_caller.ts";
import type { EngineBehaviour } from "./load_kinds.ts";
import { loadCatalog } from "./load_kinds.ts";
import type { LoadNode } from "./load_node.ts";
import type { LoadResult } from "./load_result.ts";
import type { LoadScenario, OfferedRequest } from "./load_scenarios.ts";
import { NODES_GONE_MS } from "./load_scenarios.ts";
import type { RelayBuild } from "./relay_build.ts";

/** Time until a peer receives a status. */
const STATUS_DELAY_MS = 4;
/** Time until nodes learn of an announcement. */
const ANNOUNCEMENT_DELAY_MS = 50;
/** Time for which requests may go on after the last arrival. */
export const RUN_OUT_MS = 12_000;

/** Settings of a run. */
export interface RunSettings {
  readonly scenario: LoadScenario;
  readonly engine: EngineBehaviour;
  readonly offered: readonly OfferedRequest[];
  readonly durationMs: number;
  readonly seed: number;
  readonly nodeCount: number;
  /** Time between a node's statuses. */
  readonly statusIntervalMs: number;
}

/** Several relays in front of virtual groups. */
export class ProductRun {
  readonly #build: RelayBuild;
  readonly #settings: RunSettings;
  readonly #timers: Timers & { runUntil(untilMs: number): Promise<void> };
  readonly #random: Random;
  readonly #cluster: EngineCluster;
  readonly #callers = new Map<number, LoadCaller>();
  readonly #results: LoadResult[] = [];
  #nodes: LoadNode[] = [];
  #clients: EngineClient[] = [];

  constructor(build: RelayBuild, settings: RunSettings) {
    this.#build = build;
    this.#settings = settings;
    this.#timers = build.createTimers();
    this.#random = new Random(settings.seed);
    const { engine, scenario } = settings;
    this.#cluster = new EngineCluster(this.#timers, engine, scenario.faults);
    this.#cluster.onAnnounced = (id, host) => {
      this.#timers.after(ANNOUNCEMENT_DELAY_MS, () => {
        for (const node of this.#nodes) node.announce(id, host);
      });
    };
  }

  /** Returns one result for each offered request. */
  async run(): Promise<LoadResult[]> {
    const { scenario, offered, durationMs, nodeCount } = this.#settings;
    this.#startNodes();
    for (let index = 0; index < nodeCount; index++) {
      // Nodes don't send their statuses at the same time.
      this.#timers.after(
        index * this.#settings.statusIntervalMs / nodeCount,
        () => this.#sendStatuses(index),
      );
    }
    for (const request of offered) {
      this.#timers.after(request.at, () => this.#startCaller(request));
    }
    if (scenario.nodesEndAt !== undefined) {
      this.#timers.after(scenario.nodesEndAt, () => this.#endNodes());
    }
    await this.#timers.runUntil(durationMs + RUN_OUT_MS);
    return this.#results;
  }

  #startNodes(): void {
    const { engine, offered, seed, nodeCount } = this.#settings;
    const catalog = loadCatalog(engine);
    for (let index = 0; index < nodeCount; index++) {
      const zone = zoneName(index);
      const client = new EngineClient({
        timers: this.#timers,
        random: this.#random,
        cluster: this.#cluster,
        startMs: engine.startMs,
        zone,
        offeredOf: (requestId) => offered[Number.parseInt(requestId)],
      });
      const node = this.#build.createNode({
        index,
        nodeCount,
        zone,
        seed: seed * 1_000 + index,
        timers: this.#timers,
        catalog,
        client,
        onPrediction: (requestId, prediction) =>
          this.#callers.get(Number.parseInt(requestId))
            ?.onPrediction(prediction),
      });
      for (const host of this.#cluster.hosts()) node.announce(host.id, host);
      this.#clients.push(client);
      this.#nodes.push(node);
    }
  }

  #endNodes(): void {
    this.#nodes = [];
    for (const client of this.#clients) client.close();
    this.#clients = [];
    for (const caller of [...this.#callers.values()]) {
      if (caller.node !== undefined) caller.onNodeEnded();
    }
    this.#timers.after(NODES_GONE_MS, () => this.#startNodes());
  }

  #sendStatuses(index: number): void {
    const { statusIntervalMs } = this.#settings;
    this.#timers.after(statusIntervalMs, () => this.#sendStatuses(index));
    const sender = this.#nodes.at(index);
    if (sender === undefined) return;
    const status = sender.takeStatus();
    this.#timers.after(STATUS_DELAY_MS, () => {
      for (const node of this.#nodes) {
        if (node.name !== sender.name) {
          node.applyStatus(status, STATUS_DELAY_MS);
        }
      }
    });
  }

  #startCaller(offered: OfferedRequest): void {
    const deps = {
      timers: this.#timers,
      pickNode: () => this.#pickNode(offered),
      inFlightOf: (hostId: string) =>
        this.#cluster.groupOf(hostId)?.inFlight ?? 0,
      onDone: (result: LoadResult) => {
        this.#results.push(result);
        this.#callers.delete(offered.index);
      },
    };
    const caller = new LoadCaller(deps, offered);
    this.#callers.set(offered.index, caller);
    caller.start();
  }

  /** A random node of the caller's availability zone, or of any other. */
  #pickNode({ zone }: OfferedRequest): LoadNode | undefined {
    const near = this.#nodes.filter((node) => node.zone === zoneName(zone));
    const nodes = near.length > 0 ? near : this.#nodes;
    return nodes.length > 0 ? this.#random.pick(nodes) : undefined;
  }
}
