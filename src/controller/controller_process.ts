/**
 * Composes a controller with its adapters and administration server.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { Server } from "node:http";
import type { ConsolaInstance } from "consola";
import { EtcdStore } from "../adapters/etcd_store.ts";
import { HttpEngineControl } from "../adapters/http_engine_control.ts";
import { HttpHostList } from "../adapters/http_host_list.ts";
import { listen } from "../adapters/listen.ts";
import { SystemTimers } from "../base/system_timers.ts";
import { Controller } from "../core/controller/controller.ts";
import { ConsolaDecisionLog } from "../logging/logger.ts";
import { PeerClient } from "../peer/peer_client.ts";
import type { ControllerSettings } from "../settings/controller_settings.ts";
import { createAdminServer } from "./admin_server.ts";
import { createControllerMetrics } from "./controller_metrics.ts";
import { RecentDecisionLog } from "./recent_decision_log.ts";

/** A running controller with its server and adapters. */
export class ControllerProcess {
  readonly controller: Controller;
  readonly #settings: ControllerSettings;
  readonly #store: EtcdStore;
  readonly #hostList: HttpHostList;
  readonly #engineControl = new HttpEngineControl();
  readonly #peerClient: PeerClient;
  readonly #server: Server;

  constructor(settings: ControllerSettings, log: ConsolaInstance) {
    this.#settings = settings;
    this.#store = new EtcdStore({ endpoint: settings.platform.store });
    this.#hostList = new HttpHostList(settings.platform.host_list);
    this.#peerClient = new PeerClient(settings.peers.key);
    const decisions = new RecentDecisionLog(new ConsolaDecisionLog(log));
    this.controller = new Controller({
      id: settings.controller.id,
      incarnation: randomUUID(),
      timers: new SystemTimers(),
      store: this.#store,
      hostList: this.#hostList,
      control: this.#engineControl,
      network: this.#peerClient,
      log: decisions,
    });
    this.#server = createAdminServer({
      controller: this.controller,
      tokens: settings.token,
      decisions,
      registry: createControllerMetrics(() => this.controller),
    });
  }

  /** Listens on the administration port and starts the controller. */
  async start(): Promise<void> {
    await listen(this.#server, this.#settings.controller.admin_address);
    this.controller.start();
  }

  /** Releases the lease and stops. */
  async shutdown(): Promise<void> {
    await this.controller.shutdown();
    await this.close();
  }

  /** Stops immediately and aborts open connections. */
  async close(): Promise<void> {
    this.controller.stop();
    this.#server.close();
    this.#server.closeAllConnections();
    this.#peerClient.close();
    await Promise.all([
      this.#store.close(),
      this.#hostList.close(),
      this.#engineControl.close(),
    ]);
  }
}
