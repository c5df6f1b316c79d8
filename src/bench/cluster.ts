/**
 * A deployment in virtual time: its processes, simulated systems and faults.
 *
 * @module
 */
import type { Outcome } from "../base/outcome.ts";
import { Random } from "../base/random.ts";
import type {
  AcceptedChange,
  AdministrationError,
} from "../core/configuration/administration.ts";
import { Administration } from "../core/configuration/administration.ts";
import type { Action } from "../core/configuration/change.ts";
import { applyChange } from "../core/configuration/change.ts";
import { CONFIG_KEY } from "../core/configuration/store_keys.ts";
import { Controller } from "../core/controller/controller.ts";
import type { Decision } from "../core/gateway/decision_log.ts";
import type { EntryGateway } from "../core/gateway/entry_gateway.ts";
import { Gateway } from "../core/gateway/gateway.ts";
import { AffinityRouter } from "../core/routing/affinity_router.ts";
import { NaiveController } from "../naive/naive_controller.ts";
import { NaiveGateway } from "../naive/naive_gateway.ts";
import type { FleetHost } from "../standins/fleet_layout.ts";
import { layOutFleet } from "../standins/fleet_layout.ts";
import { EngineSim } from "../standins/sim/engine_sim.ts";
import type { JournalEvent } from "../standins/sim/journal.ts";
import { MemoryKeyValue } from "../standins/sim/memory_key_value.ts";
import { ServiceSim } from "../standins/sim/service_sim.ts";
import { WeightStoreSim } from "../standins/sim/weight_store.ts";
import type { GatewayMember } from "../world/configuration.ts";
import { EMPTY_CONFIGURATION } from "../world/configuration.ts";
import type { Host } from "../world/host.ts";
import type { Deployment } from "./deployment.ts";
import { declarations } from "./deployment.ts";
import {
  FakeEngineControl,
  FakeHostList,
  FakePeerNetwork,
  FakeStore,
  FakeUpstreamClient,
  StoreService,
} from "./fakes.ts";
import { VirtualNetwork, VirtualProcess } from "./virtual_network.ts";
import { VirtualTimers } from "./virtual_timers.ts";

/** Delay from a change of a host until the host list shows it. */
export const HOST_LIST_LAG_MS = 2_000;
/** Interval between engines' load reports. */
const REPORT_PERIOD_MS = 500;
/** Maximum number of weight loads at the same time. */
const WEIGHT_STORE_PARALLELISM = 12;
const CONTROLLER_COUNT = 2;
const CHANGE_TIMEOUT_MS = 20_000;

/** Which implementation runs: the product or the naive baseline. */
export type Variant = "product" | "naive";

/** A gateway and the process that it runs in. */
export interface GatewayInstance {
  readonly member: GatewayMember;
  readonly process: VirtualProcess;
  readonly gateway: EntryGateway;
}

/** A controller and the process that it runs in. */
export interface ControllerInstance {
  readonly process: VirtualProcess;
  readonly controller: Controller | NaiveController;
}

/** An operator's change and its result. Times are in virtual milliseconds. */
export interface OperatorChange {
  readonly action: Action;
  readonly submittedAt: number;
  acceptedAt: number | undefined;
  revision: number | undefined;
  /** Kind of the error, if the change was refused. */
  refused: string | undefined;
}

/**
 * All processes and simulated systems of a deployment, with fault injection.
 */
export class Cluster {
  readonly timers = new VirtualTimers();
  readonly random: Random;
  readonly network: VirtualNetwork;
  readonly store: StoreService;
  /** Simulated engines by host id. */
  readonly engines = new Map<string, EngineSim>();
  /** Simulated services by host id. */
  readonly services = new Map<string, ServiceSim>();
  readonly hosts: readonly FleetHost[];
  readonly journal: JournalEvent[] = [];
  /** Decisions of gateways and controllers; only some kinds are recorded. */
  readonly decisions: Decision[] = [];
  readonly gateways: GatewayInstance[] = [];
  readonly controllers: ControllerInstance[] = [];
  readonly changes: OperatorChange[] = [];
  readonly deployment: Deployment;
  readonly variant: Variant;
  /** Simulated engines and services by address. */
  readonly sims = {
    engines: new Map<string, EngineSim>(),
    services: new Map<string, ServiceSim>(),
    ignoresCancel: false,
  };
  /** Hosts as the host list shows them, by id. */
  readonly #listedHosts = new Map<string, Host>();
  readonly #operator: VirtualProcess;
  readonly #gatewaySpecs: Array<Omit<GatewayMember, "incarnation">> = [];
  #incarnationCount = 0;
  #changeCount = 0;

  constructor(deployment: Deployment, variant: Variant, seed: number) {
    this.deployment = deployment;
    this.variant = variant;
    this.random = new Random(seed);
    this.network = new VirtualNetwork(this.timers, new Random(seed + 1));
    const state = new MemoryKeyValue(this.timers);
    this.store = new StoreService(this.timers, state);
    this.#operator = new VirtualProcess("operator", this.timers);
    this.hosts = layOutFleet(deployment.fleet, (i) => `host-${i}`);
    this.#createHosts();
    for (let i = 1; i <= deployment.gatewayCount; i++) {
      this.#gatewaySpecs.push(this.#makeGatewaySpec(i));
    }
    for (const spec of this.#gatewaySpecs) this.startGateway(spec.id);
    for (let i = 1; i <= CONTROLLER_COUNT; i++) this.#startController(i);
  }

  /**
   * Declares classes, models, services and customers, and advances the clock
   * until groups have had time to form.
   */
  async deploy(): Promise<void> {
    // The product's controller first adds the gateways to the configuration, one
    // at a time.
    await this.timers.run(this.variant === "product" ? 8_000 : 500);
    for (const action of declarations(this.deployment)) {
      this.submitChange(action, "deploy");
      await this.timers.run(200);
    }
    await this.timers.run(40_000);
  }

  /**
   * Submits an operator's change. Returns a record at once, which is updated
   * with the result later. With `checkRevision`, the change names the newest
   * revision as its base, so that conflicting concurrent changes are detected.
   */
  submitChange(
    action: Action,
    author = "operator",
    checkRevision = false,
  ): OperatorChange {
    const baseRevision = checkRevision ? this.#newestRevision() : undefined;
    const record: OperatorChange = {
      action,
      submittedAt: this.timers.now(),
      acceptedAt: undefined,
      revision: undefined,
      refused: undefined,
    };
    this.changes.push(record);
    this.#submit(action, author, baseRevision).then((res) => {
      if (res.ok) {
        record.acceptedAt = this.timers.now();
        record.revision = res.value.cfg.revision;
      } else {
        record.refused = res.err.kind;
      }
    });
    return record;
  }

  /** Takes a zone out of service, or returns it to service. */
  setZone(zone: string, state: "in" | "out"): OperatorChange {
    return this.submitChange({ kind: "set_zone", zone, state });
  }

  /** Kills a host. Connections to it time out instead of being refused. */
  killHost(id: string): void {
    const sim = this.#hostSim(id);
    this.network.disconnect(sim.address, "*");
    sim.die();
    this.timers.after(HOST_LIST_LAG_MS, () => {
      if (!sim.alive) this.#listedHosts.delete(id);
    });
  }

  /** Restarts a killed host with a new boot id. */
  restartHost(id: string): void {
    const sim = this.#hostSim(id);
    this.network.reconnect(sim.address, "*");
    sim.restart();
    this.timers.after(HOST_LIST_LAG_MS, () => this.#showInHostList(id));
  }

  /** Makes the host list show a host as leaving, after `HOST_LIST_LAG_MS`. */
  markHostLeaving(id: string): void {
    const sim = this.#hostSim(id);
    this.timers.after(HOST_LIST_LAG_MS, () => {
      const host = this.#listedHosts.get(id);
      if (host === undefined) return;
      this.#listedHosts.set(id, { ...host, state: "leaving" });
      sim.leavingSince = this.timers.now();
    });
  }

  /**
   * Starts a gateway in a new process, which replaces any earlier process with
   * that id.
   */
  startGateway(id: string): GatewayInstance {
    const spec = this.#gatewaySpecs.find((s) => s.id === id);
    if (spec === undefined) throw new Error(`No gateway has the id ${id}`);
    const incarnation = `${id}-i${++this.#incarnationCount}`;
    const member: GatewayMember = { ...spec, incarnation };
    const process = new VirtualProcess(id, this.timers);
    const gateway = this.variant === "product"
      ? this.#makeProductGateway(member, process)
      : this.#makeNaiveGateway(process);
    const instance = { member, process, gateway };
    const index = this.gateways.findIndex((g) => g.member.id === id);
    if (index >= 0) this.gateways[index] = instance;
    else this.gateways.push(instance);
    gateway.start();
    return instance;
  }

  /** Kills a gateway's process without a shutdown. */
  killGateway(id: string): void {
    this.gateway(id).process.kill();
  }

  /** Returns the gateway's latest instance, which may have been killed. */
  gateway(id: string): GatewayInstance {
    const instance = this.gateways.find((g) => g.member.id === id);
    if (instance === undefined) throw new Error(`No gateway has the id ${id}`);
    return instance;
  }

  /** Returns the leading controller, or the first one if none leads. */
  leadingController(): ControllerInstance {
    return this.controllers.find(({ controller }) =>
      controller instanceof Controller && controller.isLeader
    ) ?? this.controllers[0];
  }

  /**
   * Returns the heads (first members) of the model's ready groups. In a ready
   * group, every member is alive, ready and not paused.
   */
  readyGroupHeads(model: string): EngineSim[] {
    return [...this.engines.values()].filter((engine) => {
      const group = engine.membership;
      if (group?.model !== model || group.members[0] !== engine.address) {
        return false;
      }
      return group.members.every((address) => {
        const member = this.sims.engines.get(address);
        return member?.alive === true && member.phase === "ready" &&
          member.membership?.epoch === group.epoch && !member.paused;
      });
    });
  }

  #newestRevision(): number {
    return Math.max(...this.gateways.map((g) => g.gateway.cfg.revision));
  }

  #hostSim(id: string): EngineSim | ServiceSim {
    const sim = this.engines.get(id) ?? this.services.get(id);
    if (sim === undefined) throw new Error(`No host has the id ${id}`);
    return sim;
  }

  #makeGatewaySpec(index: number): Omit<GatewayMember, "incarnation"> {
    const id = `gw-${index}`;
    const { zones } = this.deployment.fleet;
    return {
      id,
      peerAddress: id,
      callerAddress: id,
      availabilityZone: zones[(index - 1) % zones.length],
    };
  }

  #createHosts(): void {
    const { timers } = this;
    const journal = {
      record: (event: JournalEvent) => this.#recordEvent(event),
    };
    const weights = new WeightStoreSim(timers, WEIGHT_STORE_PARALLELISM);
    const engineAt = (address: string) => this.sims.engines.get(address);
    const engineDeps = { timers, weights, journal, engineAt };
    for (const host of this.hosts) {
      const placement = { hostId: host.id, ...host };
      if (host.kind === "engine") {
        const engine = new EngineSim(
          engineDeps,
          placement,
          this.deployment.profile,
        );
        this.engines.set(host.id, engine);
        this.sims.engines.set(host.address, engine);
      } else {
        const service = new ServiceSim(timers, journal, placement);
        this.services.set(host.id, service);
        this.sims.services.set(host.address, service);
      }
      this.#showInHostList(host.id);
    }
    timers.subscribe(REPORT_PERIOD_MS, () => {
      for (const engine of this.engines.values()) engine.publishReport();
    });
  }

  #recordEvent(event: JournalEvent): void {
    this.journal.push(event);
    // A crashed engine restarts by itself; the host list then shows its new boot
    // id.
    if (event.kind !== "crashed") return;
    const lagMs = this.deployment.profile.restartMs + HOST_LIST_LAG_MS;
    this.timers.after(lagMs, () => this.#showInHostList(event.hostId));
  }

  /** Shows a host as live in the host list, unless it is down. */
  #showInHostList(id: string): void {
    const host = this.hosts.find((h) => h.id === id);
    const sim = this.#hostSim(id);
    if (host === undefined || !sim.alive) return;
    this.#listedHosts.set(id, { ...host, bootId: sim.bootId, state: "live" });
  }

  #dependencies(process: VirtualProcess) {
    const { network } = this;
    const findPeer = (address: string) => {
      const instance = this.gateways.find((g) =>
        g.member.peerAddress === address
      );
      return instance &&
        { process: instance.process, handler: instance.gateway };
    };
    return {
      timers: process,
      store: new FakeStore(process, network, this.store),
      hostList: new FakeHostList(
        process,
        network,
        () => [...this.#listedHosts.values()],
      ),
      control: new FakeEngineControl(process, network, this.sims),
      client: new FakeUpstreamClient(process, network, this.sims),
      network: new FakePeerNetwork(process, network, findPeer),
      log: { record: (decision: Decision) => this.#recordDecision(decision) },
    };
  }

  #recordDecision(decision: Decision): void {
    const recordedKinds = [
      "place",
      "close_upstream",
      "cool_down",
      "command",
      "lifecycle",
    ];
    if (recordedKinds.includes(decision.kind)) this.decisions.push(decision);
  }

  #makeProductGateway(self: GatewayMember, process: VirtualProcess): Gateway {
    // Leaves gaps between the random seeds, as the router uses `randomSeed + 1`.
    const randomSeed = ++this.#incarnationCount * 7919;
    const seedMembers = this.#gatewaySpecs.map((spec) => ({
      ...spec,
      id: `seed ${spec.id}`,
      incarnation: "",
    }));
    return new Gateway({
      ...this.#dependencies(process),
      self,
      seeds: seedMembers.filter((spec) =>
        spec.peerAddress !== self.peerAddress
      ),
      random: new Random(randomSeed),
      router: new AffinityRouter(new Random(randomSeed + 1)),
      onResult: () => {},
    });
  }

  #makeNaiveGateway(process: VirtualProcess): NaiveGateway {
    const members = this.#gatewaySpecs.map((spec) => ({
      ...spec,
      incarnation: "",
    }));
    return new NaiveGateway({ ...this.#dependencies(process), members });
  }

  #startController(index: number): void {
    const id = `ctl-${index}`;
    const process = new VirtualProcess(id, this.timers);
    if (this.variant === "naive") {
      if (index > 1) return;
      const controller = new NaiveController(this.#dependencies(process));
      this.controllers.push({ process, controller });
      controller.start();
      return;
    }
    const incarnation = `${id}-i${++this.#incarnationCount}`;
    const controller = new Controller({
      ...this.#dependencies(process),
      id,
      incarnation,
    });
    this.controllers.push({ process, controller });
    controller.start();
  }

  async #submit(
    action: Action,
    author: string,
    baseRevision: number | undefined,
  ): Promise<Outcome<AcceptedChange, AdministrationError>> {
    const changeId = `${author}-${++this.#changeCount}`;
    const change = { changeId, author, action, baseRevision };
    const { store, timers, network } = this.#dependencies(this.#operator);
    const administration = new Administration({
      timers,
      store,
      network,
      selfId: "operator",
      incarnation: "operator-i1",
    });
    if (this.variant === "product") {
      return await administration.submit(change, CHANGE_TIMEOUT_MS);
    }
    // The baseline accepts a change as soon as it is stored.
    const current = await store.read(CONFIG_KEY);
    const detail = "The store did not respond";
    const unavailable = { kind: "store_unavailable", detail } as const;
    if (!current.ok) return { ok: false, err: unavailable };
    const { value, modRevision } = current.value;
    const cfg = value === "" ? EMPTY_CONFIGURATION : JSON.parse(value);
    const next = applyChange(cfg, { changeId, author, action });
    if (!next.ok) return next;
    const configText = JSON.stringify(next.value);
    const put = {
      key: CONFIG_KEY,
      value: configText,
      expectRevision: modRevision,
    };
    const res = await store.transact([put]);
    if (!res.ok) return { ok: false, err: unavailable };
    const [applied] = next.value.changes.slice(-1);
    return { ok: true, value: { change: applied, cfg: next.value } };
  }
}
