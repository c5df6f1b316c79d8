/**
 * Composes a gateway with its adapters and servers.
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
import { UndiciUpstreamClient } from "../adapters/undici_upstream_client.ts";
import { hash32 } from "../base/hash.ts";
import { Random } from "../base/random.ts";
import { SystemTimers } from "../base/system_timers.ts";
import { Gateway } from "../core/gateway/gateway.ts";
import { AffinityRouter } from "../core/routing/affinity_router.ts";
import { ConsolaDecisionLog } from "../logging/logger.ts";
import { PeerClient } from "../peer/peer_client.ts";
import { createPeerServer } from "../peer/peer_server.ts";
import type { GatewaySettings } from "../settings/gateway_settings.ts";
import type { GatewayMember } from "../world/configuration.ts";
import { createCallerServer } from "./caller_server.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";

/** A running gateway with its servers and adapters. */
export class GatewayProcess {
  readonly gateway: Gateway;
  readonly #settings: GatewaySettings;
  readonly #store: EtcdStore;
  readonly #hostList: HttpHostList;
  readonly #engineControl = new HttpEngineControl();
  readonly #upstreamClient = new UndiciUpstreamClient();
  readonly #peerClient: PeerClient;
  readonly #servers: Server[];

  constructor(settings: GatewaySettings, log: ConsolaInstance) {
    this.#settings = settings;
    this.#store = new EtcdStore({ endpoint: settings.platform.store });
    this.#hostList = new HttpHostList(settings.platform.host_list);
    this.#peerClient = new PeerClient(settings.peers.key);
    const incarnation = randomUUID();
    const metrics = new GatewayMetrics(() => this.gateway);
    this.gateway = new Gateway({
      self: selfMember(settings, incarnation),
      seeds: settings.peers.seeds.map(seedMember),
      timers: new SystemTimers(),
      random: new Random(hash32(incarnation)),
      store: this.#store,
      hostList: this.#hostList,
      control: this.#engineControl,
      client: this.#upstreamClient,
      network: this.#peerClient,
      router: new AffinityRouter(new Random(hash32(`${incarnation} router`))),
      log: new ConsolaDecisionLog(log),
      onResult: (request, result) => metrics.observe(request, result),
    });
    this.#servers = [
      createPeerServer(this.gateway, settings.peers.key),
      createCallerServer({
        gateway: this.gateway,
        metrics,
        maxBodyBytes: settings.limits.max_body,
      }),
    ];
  }

  /** Listens for peers and callers, and starts the gateway. */
  async start(): Promise<void> {
    const { peer_address, caller_address } = this.#settings.gateway;
    await listen(this.#servers[0], peer_address);
    await listen(this.#servers[1], caller_address);
    this.gateway.start();
  }

  /** Shuts down after the requests in flight have ended. */
  async shutdown(): Promise<void> {
    await this.gateway.shutdown();
    await this.close();
  }

  /** Stops immediately and aborts open connections. */
  async close(): Promise<void> {
    this.gateway.stop();
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    this.#peerClient.close();
    await Promise.all([
      this.#store.close(),
      this.#hostList.close(),
      this.#engineControl.close(),
      this.#upstreamClient.close(),
    ]);
  }
}

function selfMember(
  settings: GatewaySettings,
  incarnation: string,
): GatewayMember {
  const { id, availability_zone, caller_address, peer_address } =
    settings.gateway;
  return {
    id,
    incarnation,
    peerAddress: peer_address,
    callerAddress: caller_address,
    availabilityZone: availability_zone,
  };
}

/** Describes a peer of which only the address is known. */
function seedMember(peerAddress: string): GatewayMember {
  return {
    id: `seed ${peerAddress}`,
    incarnation: "",
    peerAddress,
    callerAddress: "",
    availabilityZone: "",
  };
}
