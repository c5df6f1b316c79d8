/**
 * Baseline controller: forms groups of hosts that the host list reports as live,
 * keeps them in memory and publishes them in the store.
 *
 * @module
 */
import type { Timers } from "../base/timers.ts";
import { CONFIG_KEY } from "../core/configuration/store_keys.ts";
import { parseConfiguration } from "../core/configuration/parse.ts";
import type { EngineControl } from "../ports/engine_control.ts";
import type { HostList } from "../ports/host_list.ts";
import type { KeyValueStore } from "../ports/key_value_store.ts";
import type { Configuration } from "../world/configuration.ts";
import type { Host } from "../world/host.ts";
import type { ReplicaGroup } from "../world/replica_group.ts";

/** Store key under which the groups are published. */
export const NAIVE_GROUPS_KEY = "naive/groups";
const RECONCILE_PERIOD_MS = 2_000;
const COMMAND_TTL_MS = 2_000;

/** A group with its location. */
export interface NaiveGroup extends ReplicaGroup {
  readonly availabilityZone: string;
  readonly fabricDomain: string;
}

/** Dependencies of {@linkcode NaiveController}. */
export interface NaiveControllerDependencies {
  readonly timers: Timers;
  readonly store: KeyValueStore;
  readonly hostList: HostList;
  readonly control: EngineControl;
}

/**
 * Forms and publishes groups. Doesn't check hosts itself, and forgets its groups
 * when it restarts.
 */
export class NaiveController {
  readonly #deps: NaiveControllerDependencies;
  #groups: NaiveGroup[] = [];
  #lastEpoch = 0;
  #isReconciling = false;

  constructor(deps: NaiveControllerDependencies) {
    this.#deps = deps;
  }

  /** Starts to reconcile groups with the host list at regular intervals. */
  start(): void {
    this.#deps.timers.subscribe(RECONCILE_PERIOD_MS, () => this.#poll());
  }

  async #poll(): Promise<void> {
    if (this.#isReconciling) return;
    this.#isReconciling = true;
    const [hosts, stored] = await Promise.all([
      this.#deps.hostList.list(),
      this.#deps.store.read(CONFIG_KEY),
    ]);
    const cfg = stored.ok ? parseConfiguration(stored.value.value) : undefined;
    if (hosts.ok && cfg !== undefined) await this.#reconcile(hosts.value, cfg);
    this.#isReconciling = false;
  }

  async #reconcile(hosts: readonly Host[], cfg: Configuration): Promise<void> {
    const live = new Map(
      hosts.filter((h) => h.kind === "engine" && h.state === "live")
        .map((h) => [h.id, h]),
    );
    this.#groups = this.#groups.filter((group) =>
      group.members.every((m) => live.get(m.hostId)?.bootId === m.bootId)
    );
    const usedHostIds = new Set(
      this.#groups.flatMap((g) => g.members.map((m) => m.hostId)),
    );
    const freeHosts = [...live.values()].filter((h) =>
      !usedHostIds.has(h.id) && cfg.zones[h.availabilityZone] !== "out"
    );
    this.#formGroups(freeHosts, cfg);
    await this.#openReadyGroups();
    await this.#publish();
  }

  #formGroups(freeHosts: Host[], cfg: Configuration): void {
    const models = [...cfg.models].sort((a, b) => b.rank - a.rank);
    const byDomain = new Map<string, Host[]>();
    for (const host of freeHosts) {
      const domainHosts = byDomain.get(host.fabricDomain) ?? [];
      domainHosts.push(host);
      byDomain.set(host.fabricDomain, domainHosts);
    }
    for (const model of models) {
      for (const domainHosts of byDomain.values()) {
        while (domainHosts.length >= model.hostsPerReplica) {
          const replicas = this.#groups.filter((g) => g.model === model.name);
          const isLowestRank = model === models[models.length - 1];
          // The model with the lowest rank gets all hosts that are left.
          if (replicas.length >= model.minReplicas && !isLowestRank) break;
          this.#loadGroup(model, domainHosts.splice(0, model.hostsPerReplica));
        }
      }
    }
  }

  #loadGroup(
    model: Configuration["models"][number],
    hosts: readonly Host[],
  ): void {
    const epoch = ++this.#lastEpoch;
    const id = `${model.name}-${epoch}`;
    this.#groups.push({
      id,
      epoch,
      model: model.name,
      version: model.version,
      members: hosts.map((h) => ({
        hostId: h.id,
        bootId: h.bootId,
        address: h.address,
      })),
      state: "loading",
      changedBy: "naive",
      availabilityZone: hosts[0].availabilityZone,
      fabricDomain: hosts[0].fabricDomain,
    });
    const members = hosts.map((h) => h.address);
    for (const host of hosts) {
      this.#deps.control.send(host.address, {
        command: {
          kind: "load",
          groupId: id,
          epoch,
          model: model.name,
          version: model.version,
          members,
        },
        fence: epoch,
        validForMs: COMMAND_TTL_MS,
      });
    }
  }

  /** Opens each group whose head is ready; doesn't check the other members. */
  async #openReadyGroups(): Promise<void> {
    this.#groups = await Promise.all(this.#groups.map(async (group) => {
      if (group.state === "open") return group;
      const res = await this.#deps.control.status(group.members[0].address);
      const isReady = res.ok && res.value.phase === "ready";
      return isReady ? { ...group, state: "open" as const } : group;
    }));
  }

  async #publish(): Promise<void> {
    const { store } = this.#deps;
    const current = await store.read(NAIVE_GROUPS_KEY);
    if (!current.ok) return;
    await store.transact([{
      key: NAIVE_GROUPS_KEY,
      value: JSON.stringify(this.#groups),
      expectRevision: current.value.modRevision,
    }]);
  }
}
