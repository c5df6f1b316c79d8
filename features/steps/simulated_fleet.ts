import assert from "node:assert/strict";
import type { EventFields, EventLog } from "../../src/base/event_log.ts";
import { failure } from "../../src/base/outcome.ts";
import { sleep } from "../../src/base/timers.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import { SuspicionTracker } from "../../src/core/fleet/suspicion_tracker.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import { groupKey } from "../../src/core/fleet/replica.ts";
import { GroupOrchestrator } from "../../src/core/orchestrator/group_orchestrator.ts";
import type { HostControl } from "../../src/ports/host_control.ts";
import { EngineHosts } from "../../src/standins/fleet/engine_hosts.ts";
import {
  EXAMPLE_MODELS,
  exampleCatalog,
} from "../../src/standins/fleet/example_catalog.ts";
import type { EngineSpec } from "../../src/world/catalog.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";

/** Time after which a lost report counts as silence. */
const LOST_REPORT_MS = 220;

/** Settings in which a simulated fleet differs from the example catalog. */
export interface SimulatedFleetShape {
  readonly engine: Partial<EngineSpec>;
  /**
   * Engine milliseconds requested per second, by model, once there is traffic.
   */
  readonly demand: readonly (readonly [string, number])[];
  readonly domainsPerZone: number;
}

const EXAMPLE_SHAPE: SimulatedFleetShape = {
  engine: {},
  demand: [["large", 600], ["small", 600]],
  domainsPerZone: 1,
};

/** Records log events. */
export class RecordedLog implements EventLog {
  readonly events: { event: string; fields: EventFields; at: number }[] = [];
  readonly #now: () => number;

  constructor(now: () => number = () => 0) {
    this.#now = now;
  }

  info(event: string, fields: EventFields): void {
    this.events.push({ event, fields, at: this.#now() });
  }

  warn(event: string, fields: EventFields): void {
    this.info(event, fields);
  }

  debug(event: string, fields: EventFields): void {
    this.info(event, fields);
  }

  named(event: string): EventFields[] {
    return this.events.filter((e) => e.event === event).map((e) => e.fields);
  }
}

/** An orchestrator with simulated engine hosts, in virtual time. */
export class SimulatedFleet {
  readonly timers = new VirtualTimers();
  readonly log = new RecordedLog();
  readonly hosts = new HostRegistry();
  readonly suspicions = new SuspicionTracker();
  readonly engine: EngineHosts;
  readonly #catalog: CatalogHolder;
  orchestrator: GroupOrchestrator;
  isLeader = true;
  isStoreUnreachable = false;
  /** Time from a host's announcement until the store shows it, drawn for each. */
  announcementDelayMs: () => number = () => 0;
  /** Reports that were requested from each host, by id. */
  readonly reportCounts = new Map<string, number>();
  /** Whether reports of hosts are lost on their way. */
  losesReports = false;
  /** Keys of groups whose streams bring events. */
  readonly progressing = new Set<string>();
  /** How far the orchestrator's event loop was behind. */
  lagMs = 0;
  #term = 1;
  #isStarted = false;
  readonly #shape: SimulatedFleetShape;

  constructor(
    domains: number,
    hostsPerDomain: number,
    shape: SimulatedFleetShape = EXAMPLE_SHAPE,
  ) {
    this.#shape = shape;
    const models = shape.engine.models ?? EXAMPLE_MODELS;
    this.engine = new EngineHosts(this.timers, models, {
      onAnnounced: (host) => {
        if (!this.isStoreUnreachable) this.#deliver(host);
      },
      onWithdrawn: (id) => {
        if (!this.isStoreUnreachable) {
          this.hosts.withdraw(id, this.timers.now(), false);
        }
      },
    });
    const now = () => this.timers.now();
    this.#catalog = new CatalogHolder(now, now);
    const catalog = exampleCatalog(1);
    this.#catalog.installIfNewer({
      ...catalog,
      services: catalog.services.map((service) => ({
        ...service,
        engine: service.engine && { ...service.engine, ...shape.engine },
      })),
    });
    for (let d = 0; d < domains; d++) {
      for (let h = 0; h < hostsPerDomain; h++) {
        this.add(`i-${d}-${h}`, d);
      }
    }
    this.orchestrator = this.#createOrchestrator(() => this.isLeader);
  }

  /** Starts a host in a domain. */
  add(id: string, domain: number): void {
    const zone = Math.floor(domain / this.#shape.domainsPerZone);
    this.engine.add(id, `domain-${domain}`, `zone-${zone}`);
  }

  /** Makes another orchestrator the leader, which knows no host's state yet. */
  replaceOrchestrator(): void {
    this.isLeader = false;
    this.#term += 1;
    this.orchestrator = this.#createOrchestrator(() => true);
    this.orchestrator.start();
    this.orchestrator.onLeaseGained(this.#term);
  }

  /** Lists the hosts again: each gets a new object of its last announcement. */
  relist(): void {
    const hosts = [...this.hosts.hosts()].map((host) => ({ ...host }));
    this.hosts.replaceAll(hosts, this.timers.now(), false);
  }

  /** Makes the first orchestrator the leader again, in a new term. */
  regainLease(): void {
    this.isLeader = true;
    this.#term += 1;
    this.orchestrator.onLeaseGained(this.#term);
  }

  /** Runs the fleet for a time; the first run starts the orchestrator. */
  async run(ms: number): Promise<void> {
    if (!this.#isStarted) {
      this.#isStarted = true;
      this.orchestrator.start();
      this.orchestrator.onLeaseGained(this.#term);
    }
    await this.timers.run(ms);
  }

  /** Returns a group that serves a model. */
  groupOf(model: string): { key: string; members: readonly string[] } {
    const serving = this.engine.servingGroups.find((group) =>
      group.model === model
    );
    assert.ok(serving, `No group of ${model} serves`);
    const membership = this.hosts.get(serving.members[0])?.membership;
    assert.ok(membership);
    return {
      key: groupKey(membership.group, membership.epoch),
      members: serving.members,
    };
  }

  /** Records a suspicion, as if a group's streams to callers were silent. */
  async suspect(key: string): Promise<void> {
    await this.timers.run(150);
    const suspicion = { key, kind: "silent", at: this.timers.now() } as const;
    this.suspicions.record(suspicion, "own");
    this.orchestrator.onSuspicion(suspicion);
  }

  #deliver(host: ServingHost): void {
    const delayMs = this.announcementDelayMs();
    if (delayMs === 0) return this.hosts.announce(host, this.timers.now());
    this.timers.after(delayMs, () => {
      this.hosts.announce(host, this.timers.now());
    });
  }

  /** Control of the hosts as orchestrators reach it. */
  get #control(): HostControl {
    const { engine, timers } = this;
    return {
      report: async (host) => {
        const count = this.reportCounts.get(host.id) ?? 0;
        this.reportCounts.set(host.id, count + 1);
        if (!this.losesReports) return await engine.report(host);
        await sleep(timers, LOST_REPORT_MS);
        return failure({ kind: "silent", detail: "timeout" });
      },
      command: (host, command, seq) => engine.command(host, command, seq),
    };
  }

  #createOrchestrator(isLeader: () => boolean): GroupOrchestrator {
    return new GroupOrchestrator({
      timers: this.timers,
      control: this.#control,
      hosts: this.hosts,
      suspicions: this.suspicions,
      catalog: this.#catalog,
      zonesOutOfService: new Set(),
      log: this.log,
      isLeader,
      loopLag: { worstSince: () => this.lagMs },
      isStoreUnreachable: () => this.isStoreUnreachable,
      makesProgress: (key) => this.progressing.has(key),
      demand: () => this.#demand(),
      onGroupResponsive: (key) =>
        this.suspicions.clear(key, this.timers.now(), "own"),
      loadWindowMs: 5_000,
    });
  }

  /** Engine milliseconds requested per second; none while groups form. */
  #demand(): ReadonlyMap<string, number> {
    const isEarly = this.timers.now() < 20_000;
    return new Map(isEarly ? [] : this.#shape.demand);
  }
}
