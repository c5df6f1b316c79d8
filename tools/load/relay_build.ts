/**
 * Adapter to the relay of a build, which may be an earlier one.
 *
 * @module
 */
import { join, resolve } from "node:path";
import { pathToFileURL } from "node:url";
import type { Timers } from "../../src/base/timers.ts";
import type { RelayDependencies } from "../../src/core/relay/relay.ts";
import type { RelayClient } from "../../src/ports/relay_client.ts";
import type { Catalog } from "../../src/world/catalog.ts";
import type { PredictionListener } from "./load_node.ts";
import { LoadNode } from "./load_node.ts";

/** Modules that are loaded from the folder of a build. */
export interface RelayModules {
  readonly random: typeof import("../../src/base/random.ts");
  readonly timers: typeof import("../../src/bench/virtual_timers.ts");
  readonly catalog: typeof import("../../src/core/catalog/catalog_holder.ts");
  readonly hosts: typeof import("../../src/core/fleet/host_registry.ts");
  readonly view: typeof import("../../src/core/fleet/replica_view.ts");
  readonly suspicions:
    typeof import("../../src/core/fleet/suspicion_tracker.ts");
  readonly observations:
    typeof import("../../src/core/gossip/observation_exchange.ts");
  readonly relay: typeof import("../../src/core/relay/relay.ts");
}

/** Settings of a node. */
export interface LoadNodeSettings {
  readonly index: number;
  readonly nodeCount: number;
  readonly zone: string;
  readonly seed: number;
  readonly timers: Timers;
  readonly catalog: Catalog;
  readonly client: RelayClient;
  readonly onPrediction: PredictionListener;
  /** Dependencies that earlier builds ignore. */
  readonly extra?: Partial<RelayDependencies>;
}

/** Creates nodes from a build's own classes. */
export class RelayBuild {
  readonly #modules: RelayModules;

  private constructor(modules: RelayModules) {
    this.#modules = modules;
  }

  /**
   * Loads a build.
   *
   * @example
   * ```ts
   * const before = await RelayBuild.load("../before/dist");
   * ```
   */
  static async load(dist: string): Promise<RelayBuild> {
    const load = (path: string) =>
      import(pathToFileURL(resolve(join(dist, "src", path))).href);
    return new RelayBuild({
      random: await load("base/random.js"),
      timers: await load("bench/virtual_timers.js"),
      catalog: await load("core/catalog/catalog_holder.js"),
      hosts: await load("core/fleet/host_registry.js"),
      view: await load("core/fleet/replica_view.js"),
      suspicions: await load("core/fleet/suspicion_tracker.js"),
      observations: await load("core/gossip/observation_exchange.js"),
      relay: await load("core/relay/relay.js"),
    });
  }

  /** Virtual time for the nodes of one run. */
  createTimers(): InstanceType<RelayModules["timers"]["VirtualTimers"]> {
    return new this.#modules.timers.VirtualTimers();
  }

  /** Creates and starts a node that knows nothing but the catalog. */
  createNode(settings: LoadNodeSettings): LoadNode {
    return new LoadNode(this.#modules, settings);
  }
}
