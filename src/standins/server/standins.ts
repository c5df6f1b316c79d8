/**
 * Runs the stand-ins for the platform, the engines and the services in one
 * process, and injects faults into them.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { listen } from "../../adapters/listen.ts";
import type { Timers } from "../../base/timers.ts";
import type { Host } from "../../world/host.ts";
import type { FleetHost } from "../fleet_layout.ts";
import type { EngineProfile } from "../sim/engine_sim.ts";
import { EngineSim } from "../sim/engine_sim.ts";
import type { Journal } from "../sim/journal.ts";
import { MemoryKeyValue } from "../sim/memory_key_value.ts";
import { ServiceSim } from "../sim/service_sim.ts";
import { WeightStoreSim } from "../sim/weight_store.ts";
import { EngineServer } from "./engine_server.ts";
import { HostListServer } from "./host_list_server.ts";
import { readJson, sendJson } from "./http_helpers.ts";
import { ServiceServer } from "./service_server.ts";
import { StoreServer } from "./store_server.ts";

/** Maximum number of loads that the weight store runs in parallel. */
const MAX_PARALLEL_LOADS = 12;

/** Addresses, hosts and dependencies of {@linkcode Standins}. */
export interface StandinsOptions {
  readonly timers: Timers;
  readonly journal: Journal;
  readonly storeAddress: string;
  readonly platformAddress: string;
  readonly hosts: readonly FleetHost[];
  readonly profile: EngineProfile;
}

type Sim = EngineSim | ServiceSim;

/** HTTP servers for everything that the serving system depends on. */
export class Standins {
  readonly store: StoreServer;
  readonly engines = new Map<string, EngineSim>();
  readonly services = new Map<string, ServiceSim>();
  readonly #options: StandinsOptions;
  readonly #platform: Server;
  readonly #servers: Server[] = [];
  readonly #leaving = new Set<string>();
  readonly #hostList = new HostListServer(() => this.#listHosts());

  constructor(options: StandinsOptions) {
    this.#options = options;
    const { timers } = options;
    this.store = new StoreServer(timers, new MemoryKeyValue(timers));
    this.#platform = createServer((req, res) => {
      this.#handlePlatform(req, res);
    });
    this.#createHosts();
  }

  /** Starts to listen on all ports. */
  async start(): Promise<void> {
    await listen(this.store.server, this.#options.storeAddress);
    await listen(this.#platform, this.#options.platformAddress);
    const hosts = this.#options.hosts;
    await Promise.all(
      this.#servers.map((server, i) => listen(server, hosts[i].address)),
    );
  }

  /** Closes all ports and connections. */
  shutdown(): Promise<void> {
    for (
      const server of [this.store.server, this.#platform, ...this.#servers]
    ) {
      server.close();
      server.closeAllConnections();
    }
    return Promise.resolve();
  }

  /**
   * Changes the state of one host; returns false if there is no such host.
   * `leave` lists the host as leaving, `stay` as live.
   */
  setHost(
    id: string,
    action: "die" | "restart" | "pause" | "resume" | "leave" | "stay",
  ): boolean {
    const sim = this.#findSim(id);
    if (sim === undefined) return false;
    if (action === "die") sim.die();
    if (action === "restart") sim.restart();
    if (action === "pause") sim.paused = true;
    if (action === "resume") sim.paused = false;
    if (action === "leave") this.#setLeaving(sim, true);
    if (action === "stay") this.#setLeaving(sim, false);
    return true;
  }

  #setLeaving(sim: Sim, leaving: boolean): void {
    sim.leavingSince = leaving ? this.#options.timers.now() : Infinity;
    if (leaving) this.#leaving.add(sim.hostId);
    else this.#leaving.delete(sim.hostId);
  }

  #findSim(id: string): Sim | undefined {
    return this.engines.get(id) ?? this.services.get(id);
  }

  #createHosts(): void {
    const { timers, journal, hosts, profile } = this.#options;
    const byAddress = new Map<string, EngineSim>();
    const weights = new WeightStoreSim(timers, MAX_PARALLEL_LOADS);
    const engineAt = (address: string) => byAddress.get(address);
    const deps = { timers, weights, journal, engineAt };
    for (const host of hosts) {
      const identity = { hostId: host.id, ...host };
      if (host.kind === "engine") {
        const engine = new EngineSim(deps, identity, profile);
        this.engines.set(host.id, engine);
        byAddress.set(host.address, engine);
        this.#servers.push(new EngineServer(engine).server);
      } else {
        const service = new ServiceSim(timers, journal, identity);
        this.services.set(host.id, service);
        const name = host.service ?? "";
        this.#servers.push(new ServiceServer(service, name).server);
      }
    }
  }

  #listHosts(): Host[] {
    return this.#options.hosts.flatMap((host) => {
      const sim = this.#findSim(host.id);
      if (sim === undefined || !sim.alive) return [];
      const state = this.#leaving.has(host.id) ? "leaving" : "live";
      return [{ ...host, bootId: sim.bootId, state }];
    });
  }

  async #handlePlatform(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.url === "/v1/hosts") return this.#hostList.handle(req, res);
    if (req.method !== "POST") return sendJson(res, 404, { error: "No path" });
    const body = await readJson(req);
    if (req.url === "/faults/store") {
      Object.assign(this.store.faults, body);
      if (this.store.faults.down) this.store.closeConnections();
      return sendJson(res, 200, this.store.faults);
    }
    if (req.url === "/faults/host") {
      const done = this.setHost(String(body.id), body.action as never);
      return sendJson(res, done ? 200 : 404, { done });
    }
    sendJson(res, 404, { error: "No such path" });
  }
}
