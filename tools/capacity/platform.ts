/**
 * Simulated platform of the capacity measurement: a store with records of open
 * groups, and engines that respond to probes on addresses in 127.0.0.0/8.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { listen } from "../../src/adapters/listen.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { EtcdStore } from "../../src/adapters/etcd_store.ts";
import { Administration } from "../../src/core/configuration/administration.ts";
import {
  CONFIG_KEY,
  domainKey,
} from "../../src/core/configuration/store_keys.ts";
import { FleetMembership } from "../../src/core/controller/fleet_membership.ts";
import { PeerClient } from "../../src/peer/peer_client.ts";
import { HostListServer } from "../../src/standins/server/host_list_server.ts";
import { sendJson } from "../../src/standins/server/http_helpers.ts";
import { StoreServer } from "../../src/standins/server/store_server.ts";
import { MemoryKeyValue } from "../../src/standins/sim/memory_key_value.ts";
import type { Configuration } from "../../src/world/configuration.ts";
import { EMPTY_CONFIGURATION } from "../../src/world/configuration.ts";
import type { Host } from "../../src/world/host.ts";
import type {
  DomainRecord,
  ReplicaGroup,
} from "../../src/world/replica_group.ts";

const PEER_KEY = "capacity-peer-key-0123";
const ENGINE_PORT = 9_700;
const HOSTS_PER_GROUP = 4;
const HOSTS_PER_DOMAIN = 16;
const TEAM = "capacity";
const ADMISSION_TIMEOUT_MS = 40_000;

/** Loopback ports of the platform. */
export const PLATFORM_PORTS = { store: 7_691, hostList: 7_692 } as const;

/** Runs the simulated platform in the process that measures. */
export class CapacityPlatform {
  readonly store: StoreServer;
  readonly administration: Administration;
  readonly #timers = new SystemTimers();
  readonly #servers: Server[] = [];
  readonly #groupByHost = new Map<string, { id: string; epoch: number }>();
  readonly #storeClient: EtcdStore;
  readonly #membership: FleetMembership;
  readonly #keyValue: MemoryKeyValue;

  constructor() {
    this.#keyValue = new MemoryKeyValue(this.#timers);
    this.store = new StoreServer(this.#timers, this.#keyValue);
    const endpoint = `http://127.0.0.1:${PLATFORM_PORTS.store}`;
    this.#storeClient = new EtcdStore({ endpoint });
    this.administration = new Administration({
      timers: this.#timers,
      store: this.#storeClient,
      network: new PeerClient(PEER_KEY),
      selfId: "capacity",
      incarnation: "capacity",
    });
    this.#membership = new FleetMembership(this.#timers, this.#storeClient, {
      administration: this.administration,
      changeIdPrefix: "capacity",
    });
  }

  /** Starts the store, the host list and `hosts` engines. */
  async start(hosts: number): Promise<void> {
    await listen(this.store.server, `127.0.0.1:${PLATFORM_PORTS.store}`);
    const fleet = Array.from({ length: hosts }, (_, i) => makeHost(i));
    this.#writeRecords(fleet);
    const hostList = new HostListServer(() => fleet);
    const hostListServer = createServer((req, res) =>
      hostList.handle(req, res)
    );
    this.#servers.push(hostListServer);
    await listen(hostListServer, `127.0.0.1:${PLATFORM_PORTS.hostList}`);
    for (const host of fleet) {
      const engine = createServer((req, res) =>
        this.#sendStatus(host, req, res)
      );
      this.#servers.push(engine);
      await listen(engine, host.address);
    }
  }

  /**
   * Admits registered gateways until the configuration lists `count` of them.
   * Returns without an error after `ADMISSION_TIMEOUT_MS`.
   */
  async admitGateways(count: number): Promise<void> {
    const deadline = this.#timers.now() + ADMISSION_TIMEOUT_MS;
    while (this.#timers.now() < deadline) {
      const stored = await this.administration.read();
      if (stored.ok && stored.value.cfg.gateways.length === count) return;
      const cfg = stored.ok ? stored.value.cfg : EMPTY_CONFIGURATION;
      await this.#membership.step(cfg);
    }
  }

  /** Stops all servers and closes the store client. */
  async stop(): Promise<void> {
    for (const server of [this.store.server, ...this.#servers]) {
      server.close();
      server.closeAllConnections();
    }
    await this.#storeClient.close();
  }

  #sendStatus(host: Host, _req: IncomingMessage, res: ServerResponse): void {
    const group = this.#groupByHost.get(host.id);
    sendJson(res, 200, {
      hostId: host.id,
      bootId: host.bootId,
      phase: "ready",
      groupId: group?.id ?? "",
      epoch: group?.epoch ?? 0,
      running: 4,
      completed: 100,
      capacity: 16,
      weights: ["large@v1"],
    });
  }

  #writeRecords(fleet: readonly Host[]): void {
    const domains = groupByDomain(fleet);
    const records = [...domains].map(([id, hosts]) =>
      this.#makeRecord(id, hosts)
    );
    const cfg: Configuration = {
      ...EMPTY_CONFIGURATION,
      revision: 1,
      models: [{
        name: "large",
        team: TEAM,
        version: "v1",
        hostsPerReplica: HOSTS_PER_GROUP,
        minReplicas: 1,
        rank: 1,
        enginesCheckFencing: true,
      }],
    };
    this.#put(CONFIG_KEY, cfg);
    for (const record of records) {
      this.#put(domainKey(record.fabricDomain), record);
    }
  }

  #put(key: string, value: unknown): void {
    const text = JSON.stringify(value);
    this.#keyValue.transact([{ key, value: text, expectRevision: 0 }]);
  }

  #makeRecord(fabricDomain: string, hosts: readonly Host[]): DomainRecord {
    const groups: ReplicaGroup[] = [];
    for (let i = 0; i + HOSTS_PER_GROUP <= hosts.length; i += HOSTS_PER_GROUP) {
      const members = hosts.slice(i, i + HOSTS_PER_GROUP);
      const epoch = groups.length + 1;
      const id = `${fabricDomain}.large.${epoch}`;
      for (const host of members) this.#groupByHost.set(host.id, { id, epoch });
      groups.push({
        id,
        epoch,
        model: "large",
        version: "v1",
        members: members.map((host) => ({
          hostId: host.id,
          bootId: host.bootId,
          address: host.address,
        })),
        state: "open",
        changedBy: "capacity",
      });
    }
    const revision = groups.length + 1;
    return { fabricDomain, availabilityZone: "z", revision, fence: 1, groups };
  }
}

function groupByDomain(fleet: readonly Host[]): Map<string, Host[]> {
  const domains = new Map<string, Host[]>();
  for (const host of fleet) {
    const list = domains.get(host.fabricDomain) ?? [];
    list.push(host);
    domains.set(host.fabricDomain, list);
  }
  return domains;
}

/**
 * Creates host `index`. No IP address ends in 0: host 0 of each 256 shares the
 * IP address of host 255, which listens on another port.
 */
function makeHost(index: number): Host {
  const address = `127.10.${index >> 8}.${(index & 255) || 255}`;
  return {
    id: `host-${index}`,
    kind: "engine",
    address: `${address}:${ENGINE_PORT + ((index & 255) === 255 ? 1 : 0)}`,
    availabilityZone: "z",
    fabricDomain: `domain-${Math.floor(index / HOSTS_PER_DOMAIN)}`,
    accelerators: 8,
    bootId: `host-${index}-b1`,
    state: "live",
  };
}
