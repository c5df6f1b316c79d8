/**
 * The controller: forms replica groups and maintains the list of gateways.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import { TIMED_OUT, withTimeout } from "../../base/timers.ts";
import type {
  EngineCommand,
  EngineControl,
  EngineStatus,
} from "../../ports/engine_control.ts";
import type { HostList } from "../../ports/host_list.ts";
import type { KeyValueStore } from "../../ports/key_value_store.ts";
import type { Configuration } from "../../world/configuration.ts";
import type { Host } from "../../world/host.ts";
import type { DomainRecord, ReplicaGroup } from "../../world/replica_group.ts";
import {
  emptyDomainRecord,
  groupUpstreamId,
} from "../../world/replica_group.ts";
import { Administration } from "../configuration/administration.ts";
import { parseDomainRecord } from "../configuration/parse.ts";
import { DOMAIN_PREFIX, domainKey } from "../configuration/store_keys.ts";
import type { DecisionLog } from "../gateway/decision_log.ts";
import type { DomainPlan } from "../groups/group_planner.ts";
import { planFleet } from "../groups/group_planner.ts";
import type { HostView } from "../groups/host_view.ts";
import { OrderAdmin } from "../orders/order_admin.ts";
import type { PeerNetwork } from "../membership/messages.ts";
import { ControllerLease } from "./controller_lease.ts";
import { FleetMembership } from "./fleet_membership.ts";

/** Time between reconciliation steps. */
export const STEP_PERIOD_MS = 500;
/** Timeout of a request for an engine's status. */
const STATUS_TIMEOUT_MS = 400;
/** How long after it was sent a command may be executed. */
export const COMMAND_VALID_MS = 2_000;

/** External systems and settings of a controller. */
export interface ControllerDependencies {
  readonly id: string;
  readonly incarnation: string;
  readonly timers: Timers;
  readonly store: KeyValueStore;
  readonly hostList: HostList;
  readonly control: EngineControl;
  readonly network: PeerNetwork;
  readonly log: DecisionLog;
}

/** A status and the time at which it was requested. */
interface ObservedStatus {
  readonly status: EngineStatus;
  readonly requestedAt: number;
}

/** A domain's record as last read, and its store revision for writes. */
interface StoredRecord {
  readonly record: DomainRecord;
  readonly modRevision: number;
}

/** Runs on each host that runs a gateway; only the leader makes changes. */
export class Controller {
  readonly #deps: ControllerDependencies;
  readonly #lease: ControllerLease;
  readonly #administration: Administration;
  readonly #membership: FleetMembership;
  readonly #statuses = new Map<string, ObservedStatus>();
  readonly #stateStartTimes = new Map<string, number>();
  #records = new Map<string, StoredRecord>();
  #hosts: readonly Host[] = [];
  #timer: Timer | undefined;
  #isStepping = false;
  #isUpdatingMembership = false;

  constructor(deps: ControllerDependencies) {
    this.#deps = deps;
    const { timers, store, network, id, incarnation } = deps;
    const holder = `${id}/${incarnation}`;
    this.#lease = new ControllerLease(timers, store, holder);
    this.#administration = new Administration({
      timers,
      store,
      network,
      selfId: id,
      incarnation,
    });
    this.#membership = new FleetMembership(timers, store, {
      administration: this.#administration,
      changeIdPrefix: incarnation,
    });
  }

  /**
   * Lets operators read and settle orders. Available on every controller, not
   * only on the leader.
   */
  get orders(): OrderAdmin {
    return new OrderAdmin(this.#deps.store);
  }

  /**
   * Accepts operators' changes. Available on every controller, not only on the
   * leader.
   */
  get administration(): Administration {
    return this.#administration;
  }

  /** Whether this controller is the leader: holds the lease. */
  get isLeader(): boolean {
    return this.#lease.leadership !== undefined;
  }

  /** Records of all fabric domains as last read. */
  get records(): DomainRecord[] {
    return [...this.#records.values()].map((stored) => stored.record);
  }

  /** Hosts as last listed. */
  get hosts(): readonly Host[] {
    return this.#hosts;
  }

  /** Starts the periodic steps. */
  start(): void {
    const step = () => this.step();
    this.#timer = this.#deps.timers.subscribe(STEP_PERIOD_MS, step);
    this.#deps.timers.after(0, step);
  }

  /** Stops and releases the lease. */
  async shutdown(): Promise<void> {
    this.stop();
    await this.#lease.release();
  }

  /** Stops without releasing the lease. */
  stop(): void {
    this.#timer?.cancel();
  }

  /**
   * Reads the state of the fleet, and reconciles it if this controller is the
   * leader.
   */
  async step(): Promise<void> {
    if (this.#isStepping) return;
    this.#isStepping = true;
    await this.#lease.maintain();
    await this.#observe();
    if (this.#lease.leadership !== undefined) await this.#reconcile();
    this.#isStepping = false;
  }

  async #observe(): Promise<void> {
    const [hosts, records] = await Promise.all([
      this.#deps.hostList.list(),
      this.#deps.store.readPrefix(DOMAIN_PREFIX),
    ]);
    if (hosts.ok) this.#hosts = hosts.value;
    if (records.ok) this.#mergeRecords(records.value);
    if (!this.isLeader) return;
    const engines = this.#hosts.filter((host) => host.kind === "engine");
    await Promise.all(engines.map((host) => this.#readStatus(host)));
  }

  #mergeRecords(
    entries: readonly {
      readonly value: string;
      readonly modRevision: number;
    }[],
  ): void {
    for (const entry of entries) {
      const record = parseDomainRecord(entry.value);
      if (record === undefined) continue;
      const known = this.#records.get(record.fabricDomain);
      if (known !== undefined && known.modRevision > entry.modRevision) {
        continue;
      }
      this.#records.set(record.fabricDomain, {
        record,
        modRevision: entry.modRevision,
      });
    }
  }

  async #readStatus(host: Host): Promise<void> {
    const { timers, control } = this.#deps;
    const at = timers.now();
    const call = control.status(host.address);
    const res = await withTimeout(timers, call, STATUS_TIMEOUT_MS);
    if (res === TIMED_OUT || !res.ok || res.value.hostId !== host.id) return;
    this.#statuses.set(host.id, { status: res.value, requestedAt: at });
  }

  async #reconcile(): Promise<void> {
    const stored = await this.#administration.read();
    if (!stored.ok) return;
    const { cfg } = stored.value;
    this.#updateMembership(cfg);
    const leadership = this.#lease.leadership;
    if (leadership === undefined) return;
    // Engines may not check fencing tokens, so this controller plans only when
    // all commands of the previous leader have expired. Otherwise one of them
    // could still change an engine after its status was read.
    const leadingMs = this.#deps.timers.now() - leadership.acquiredAt;
    if (leadingMs < COMMAND_VALID_MS) return;
    const plans = this.#plan(cfg, leadership.fence);
    await Promise.all(plans.map((plan) => this.#write(plan)));
    this.#sendCommands();
  }

  /**
   * Updates the list of gateways. Not awaited by the steps, because a change is
   * complete only when the gateways have accepted it.
   */
  async #updateMembership(cfg: Configuration): Promise<void> {
    if (this.#isUpdatingMembership) return;
    this.#isUpdatingMembership = true;
    await this.#membership.step(cfg);
    this.#isUpdatingMembership = false;
  }

  #plan(cfg: Configuration, fence: number): DomainPlan[] {
    const now = this.#deps.timers.now();
    this.#dropOldStartTimes();
    const records = new Map<string, DomainRecord>();
    for (const [id, stored] of this.#records) records.set(id, stored.record);
    for (const host of this.#hosts) {
      if (host.kind !== "engine" || records.has(host.fabricDomain)) continue;
      const { fabricDomain, availabilityZone } = host;
      const record = emptyDomainRecord(fabricDomain, availabilityZone);
      records.set(fabricDomain, record);
    }
    return planFleet({
      cfg,
      views: this.#hostViews(now),
      records,
      ageMs: (group) => now - this.#stateStartedAt(group, now),
      changedBy: this.#deps.incarnation,
      fence,
    });
  }

  #hostViews(now: number): Map<string, HostView> {
    const views = new Map<string, HostView>();
    for (const host of this.#hosts) {
      if (host.kind !== "engine") continue;
      const observed = this.#statuses.get(host.id);
      views.set(host.id, {
        host,
        status: observed?.status,
        silentMs: observed === undefined
          ? Infinity
          : now - observed.requestedAt,
      });
    }
    return views;
  }

  /** Drops the start times of group states that no longer exist. */
  #dropOldStartTimes(): void {
    const current = new Set(
      this.records.flatMap((r) => r.groups.map((group) => stateKey(group))),
    );
    for (const key of this.#stateStartTimes.keys()) {
      if (!current.has(key)) this.#stateStartTimes.delete(key);
    }
  }

  /**
   * Returns when this controller first observed the group in its current state.
   */
  #stateStartedAt(group: ReplicaGroup, now: number): number {
    const key = stateKey(group);
    const startedAt = this.#stateStartTimes.get(key) ?? now;
    this.#stateStartTimes.set(key, startedAt);
    return startedAt;
  }

  async #write(plan: DomainPlan): Promise<void> {
    if (this.#lease.leadership === undefined) return;
    const { record } = plan;
    const known = this.#records.get(record.fabricDomain);
    const res = await this.#deps.store.transact([{
      key: domainKey(record.fabricDomain),
      value: JSON.stringify(record),
      expectRevision: known?.modRevision ?? 0,
    }]);
    if (!res.ok || !res.value.applied) return;
    const modRevision = res.value.revision;
    this.#records.set(record.fabricDomain, { record, modRevision });
    for (const decision of plan.decisions) {
      this.#deps.log.record({
        kind: "place",
        upstream: decision.groupId,
        reason: `${decision.state}: ${decision.reason}`,
        revision: record.revision,
      });
    }
  }

  /**
   * Sends engines the commands that the records require. Each step repeats a
   * command until the engine's status shows its effect.
   */
  #sendCommands(): void {
    for (const { record } of this.#records.values()) {
      for (const group of record.groups) {
        if (group.state === "loading") this.#commandLoad(group);
        if (group.state === "releasing") this.#commandRelease(group);
      }
    }
    this.#releaseOrphans();
  }

  #commandLoad(group: ReplicaGroup): void {
    for (const member of group.members) {
      const status = this.#statuses.get(member.hostId)?.status;
      if (status === undefined || status.phase !== "idle") continue;
      if (status.bootId !== member.bootId) continue;
      this.#send(member.address, {
        kind: "load",
        groupId: group.id,
        epoch: group.epoch,
        model: group.model,
        version: group.version,
        members: group.members.map((m) => m.address),
      });
    }
  }

  #commandRelease(group: ReplicaGroup): void {
    for (const member of group.members) {
      const status = this.#statuses.get(member.hostId)?.status;
      if (status === undefined || status.groupId !== group.id) continue;
      const { id: groupId, epoch } = group;
      this.#send(member.address, { kind: "release", groupId, epoch });
    }
  }

  /** Releases engines from groups that are in no record. */
  #releaseOrphans(): void {
    const assigned = new Set<string>();
    for (const { record } of this.#records.values()) {
      for (const group of record.groups) {
        for (const member of group.members) {
          assigned.add(`${member.hostId} ${groupUpstreamId(group)}`);
        }
      }
    }
    for (const host of this.#hosts) {
      const status = this.#statuses.get(host.id)?.status;
      if (status === undefined || status.phase === "idle") continue;
      const { groupId, epoch } = status;
      if (assigned.has(`${host.id} ${groupId}@${epoch}`)) continue;
      this.#send(host.address, { kind: "release", groupId, epoch });
    }
  }

  #send(address: string, command: EngineCommand): void {
    const leadership = this.#lease.leadership;
    if (leadership === undefined) return;
    this.#deps.log.record({
      kind: "command",
      upstream: `${command.groupId}@${command.epoch}`,
      reason: `${command.kind} to ${address}`,
    });
    const { fence } = leadership;
    const request = { command, fence, validForMs: COMMAND_VALID_MS };
    this.#deps.control.send(address, request);
  }
}

function stateKey(group: ReplicaGroup): string {
  return `${groupUpstreamId(group)} ${group.state}`;
}
