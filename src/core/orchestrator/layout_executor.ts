/**
 * Sends the commands that form groups and prepare spares.
 *
 * @module
 */
import type { EventLog } from "../../base/event_log.ts";
import type { EngineModel, EngineSpec } from "../../world/catalog.ts";
import type { HostRegistry } from "../fleet/host_registry.ts";
import { groupKey } from "../fleet/replica.ts";
import type { CommandSender } from "./command_sender.ts";
import type { HostStateTracker } from "./host_state_tracker.ts";
import type { ManagedGroup } from "./managed_group.ts";
import { SPARE_PREFIX } from "./managed_group.ts";
import type { LayoutStep } from "./layout.ts";
import type { LoadLimiter } from "./load_limiter.ts";
import type { RetryLimiter } from "./retry_limiter.ts";

/** Epochs reserved for each term, so that later terms have larger epochs. */
const EPOCHS_PER_TERM = 4_096;

/** Dependencies of the layout executor. */
export interface LayoutExecutorDependencies {
  readonly sender: CommandSender;
  readonly states: HostStateTracker;
  readonly loadLimiter: LoadLimiter;
  readonly retry: RetryLimiter;
  readonly hosts: HostRegistry;
  readonly log: EventLog;
  readonly hasTraffic: () => boolean;
  readonly onChange: () => void;
}

/** Executes layout steps; each new group gets a new epoch. */
export class LayoutExecutor {
  readonly #deps: LayoutExecutorDependencies;
  /** Groups whose join commands have not all completed yet. */
  readonly #joining = new Set<string>();
  /** Model of each group, and when it began to form or was first seen, by key. */
  readonly #groups = new Map<string, { model: string; at: number }>();
  #nextEpoch = 0;

  constructor(deps: LayoutExecutorDependencies) {
    this.#deps = deps;
  }

  /** Selects the range of epochs that is reserved for a term. */
  beginTerm(term: number): void {
    this.#nextEpoch = term * EPOCHS_PER_TERM;
  }

  /** Whether join commands of a group are pending. */
  isJoining(key: string): boolean {
    return this.#joining.has(key);
  }

  /** Model of a group that this node formed or has seen forming. */
  modelOf(key: string): string | undefined {
    return this.#groups.get(key)?.model;
  }

  /** Time at which this node began to form a group, or else first saw it. */
  formingSince(group: ManagedGroup, now: number): number {
    const known = this.#groups.get(group.key);
    if (known !== undefined) return known.at;
    this.#groups.set(group.key, { model: group.model?.name ?? "", at: now });
    return now;
  }

  /** Drops groups that no longer exist. */
  retain(keys: ReadonlySet<string>): void {
    for (const key of this.#groups.keys()) {
      if (!keys.has(key) && !this.#joining.has(key)) this.#groups.delete(key);
    }
  }

  /** Executes a step of a layout. */
  execute(
    step: Exclude<LayoutStep, { kind: "reclaim" }>,
    engine: EngineSpec,
    now: number,
  ): void {
    const model = engine.models.find((spec) => spec.name === step.model);
    if (model === undefined) return;
    if (step.kind === "form") this.#formGroup(model, step.members, now);
    if (step.kind === "warm") this.#warmSpare(model, step.host, now);
    if (step.kind === "stage") this.#stageModel(model, step.host, now);
  }

  async #formGroup(
    model: EngineModel,
    memberIds: readonly string[],
    now: number,
  ): Promise<void> {
    const hosts = memberIds.flatMap((id) => this.#deps.hosts.get(id) ?? []);
    if (hosts.length !== memberIds.length) return;
    const epoch = this.#allocateEpoch();
    const group = `g-${epoch}`;
    this.#groups.set(groupKey(group, epoch), { model: model.name, at: now });
    this.#deps.log.info("group_forming", {
      group,
      epoch,
      model: model.name,
      domain: hosts[0].domain,
      members: memberIds,
    });
    for (const host of hosts) {
      const needsLoad = !host.staged.includes(model.name);
      if (needsLoad && this.#deps.hasTraffic()) {
        this.#deps.loadLimiter.record(now, model.loadMs);
      }
    }
    const key = groupKey(group, epoch);
    this.#joining.add(key);
    await Promise.all(hosts.map((host) =>
      this.#deps.sender.send(host, {
        kind: "join",
        group,
        epoch,
        model: model.name,
        members: memberIds,
      })
    ));
    this.#joining.delete(key);
    this.#deps.onChange();
  }

  async #warmSpare(
    model: EngineModel,
    hostId: string,
    now: number,
  ): Promise<void> {
    const host = this.#deps.hosts.get(hostId);
    if (
      host === undefined || !this.#deps.retry.allow(`warm ${hostId}`, now)
    ) return;
    const epoch = this.#allocateEpoch();
    const group = `${SPARE_PREFIX}${hostId}-${epoch}`;
    await this.#deps.sender.send(host, {
      kind: "join",
      group,
      epoch,
      model: model.name,
      members: [hostId],
    });
  }

  async #stageModel(
    model: EngineModel,
    hostId: string,
    now: number,
  ): Promise<void> {
    const host = this.#deps.hosts.get(hostId);
    if (
      host === undefined || !this.#deps.retry.allow(`stage ${hostId}`, now)
    ) return;
    this.#deps.loadLimiter.record(now, model.loadMs);
    this.#deps.states.recordStaging(host, model.name, now + model.loadMs * 2);
    await this.#deps.sender.send(host, {
      kind: "stage",
      model: model.name,
    });
  }

  #allocateEpoch(): number {
    this.#nextEpoch += 1;
    return this.#nextEpoch;
  }
}
