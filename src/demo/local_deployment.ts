/**
 * A complete deployment in one process on loopback: stand-ins, gateways and a
 * controller.
 *
 * @module
 */
import type { Server } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { sha256 } from "../base/hash.ts";
import type { Timers } from "../base/timers.ts";
import { ControllerProcess } from "../controller/controller_process.ts";
import { AdminClient } from "../ctl/admin_client.ts";
import { GatewayProcess } from "../gateway/gateway_process.ts";
import { createLogger } from "../logging/logger.ts";
import type { FleetHost, FleetShape } from "../standins/fleet_layout.ts";
import { layOutFleet } from "../standins/fleet_layout.ts";
import { Standins } from "../standins/server/standins.ts";
import type { EngineProfile } from "../standins/sim/engine_sim.ts";
import type { JournalEvent } from "../standins/sim/journal.ts";

/** API key of the deployment's only customer. */
export const CUSTOMER_KEY = "demo-customer-key";
const OPERATOR_TOKEN = "demo-operator-token";
const PEER_KEY = "demo-peer-key-0123456789";

/** Size of a deployment and behaviour of its engines. */
export interface LocalDeploymentOptions {
  readonly timers: Timers;
  readonly fleet: FleetShape;
  readonly profile: EngineProfile;
  readonly gatewayCount: number;
}

/** A running deployment; faults are injected through its stand-ins. */
export class LocalDeployment {
  readonly standins: Standins;
  readonly gateways: GatewayProcess[] = [];
  readonly callerAddresses: string[] = [];
  readonly journal: JournalEvent[] = [];
  readonly admin: AdminClient;
  readonly #controller: ControllerProcess;

  private constructor(
    options: LocalDeploymentOptions,
    ports: readonly number[],
  ) {
    // Order of the ports: store, host list, administration API, then the peer and
    // caller ports of each gateway, then one for each host.
    const addressAt = (index: number) => `127.0.0.1:${ports[index]}`;
    const log = createLogger({
      format: "json",
      level: "error",
      process: "demo",
    });
    const platform = {
      store: `http://${addressAt(0)}`,
      host_list: `http://${addressAt(1)}`,
    };
    const logging = { format: "json", level: "error" } as const;
    const firstHostIndex = 3 + 2 * options.gatewayCount;
    const hosts: FleetHost[] = layOutFleet(
      options.fleet,
      (i) => addressAt(firstHostIndex + i),
    );
    this.standins = new Standins({
      timers: options.timers,
      journal: { record: (event) => this.journal.push(event) },
      storeAddress: addressAt(0),
      platformAddress: addressAt(1),
      hosts,
      profile: options.profile,
    });
    const seeds = Array.from(
      { length: options.gatewayCount },
      (_, i) => addressAt(3 + 2 * i),
    );
    const peers = { key: PEER_KEY, seeds };
    for (let i = 0; i < options.gatewayCount; i++) {
      const { zones } = options.fleet;
      const callerAddress = addressAt(4 + 2 * i);
      this.callerAddresses.push(callerAddress);
      this.gateways.push(
        new GatewayProcess({
          gateway: {
            id: `gw-${i + 1}`,
            availability_zone: zones[i % zones.length],
            caller_address: callerAddress,
            peer_address: seeds[i],
          },
          platform,
          peers,
          limits: { max_body: 1_048_576 },
          log: logging,
        }, log),
      );
    }
    this.#controller = new ControllerProcess({
      controller: { id: "ctl-1", admin_address: addressAt(2) },
      platform,
      peers,
      token: { demo: { role: "operator", hash: sha256(OPERATOR_TOKEN) } },
      log: logging,
    }, log);
    this.admin = new AdminClient({
      address: addressAt(2),
      token: OPERATOR_TOKEN,
    });
  }

  /** Starts the stand-ins, the gateways and the controller on free ports. */
  static async start(
    options: LocalDeploymentOptions,
  ): Promise<LocalDeployment> {
    const hosts = layOutFleet(options.fleet, () => "").length;
    const portCount = 3 + 2 * options.gatewayCount + hosts;
    const deployment = new LocalDeployment(options, await freePorts(portCount));
    await deployment.standins.start();
    for (const gateway of deployment.gateways) await gateway.start();
    await deployment.#controller.start();
    return deployment;
  }

  /** Submits a change; the response arrives once the change is in force. */
  async submit(action: Record<string, unknown>, changeId: string) {
    return await this.admin.submit({ changeId, action });
  }

  /** Stops the controller, the gateways and the stand-ins. */
  async close(): Promise<void> {
    await this.#controller.close();
    await Promise.all(this.gateways.map((gateway) => gateway.close()));
    await this.standins.shutdown();
  }
}

/** Finds ports on which no process listens. */
async function freePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  for (let i = 0; i < count; i++) {
    const server = createServer();
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    servers.push(server);
  }
  const ports = servers.map((s) => (s.address() as AddressInfo).port);
  await Promise.all(
    servers.map((s) => new Promise((resolve) => s.close(resolve))),
  );
  return ports;
}
