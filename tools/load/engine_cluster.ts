/**
 * The groups of a load, and what happens to them.
 *
 * @module
 */
import type { Timers } from "../../src/base/timers.ts";
import type {
  MembershipState,
  ServingHost,
} from "../../src/world/serving_host.ts";
import type { EngineGroupDependencies } from "./engine_group.ts";
import { EngineGroup } from "./engine_group.ts";
import type { EngineBehaviour } from "./load_kinds.ts";
import type { GroupFault } from "./load_scenarios.ts";
import { GROUP_MODELS, ZONE_COUNT } from "./load_scenarios.ts";

/** Time from the loss of a group until its announcement says so. */
const LOSS_ANNOUNCED_AFTER_MS = 1_500;
const SLOWDOWN = 2;

/**
 * Returns the name of an availability zone.
 *
 * @example
 * ```ts
 * zoneName(4); // "zone-1"
 * ```
 */
export function zoneName(index: number): string {
  return `zone-${index % ZONE_COUNT}`;
}

/** Groups in virtual time. A group that comes back has a new host and epoch. */
export class EngineCluster {
  readonly groups: EngineGroup[];
  /** Called when a host's announcement changes, or ends if undefined. */
  onAnnounced: (id: string, host: ServingHost | undefined) => void = () => {};
  /** Called when a group is lost, and when its successor serves. */
  onGroupChanged: (group: EngineGroup) => void = () => {};
  readonly #timers: Timers;
  readonly #engine: EngineBehaviour;
  readonly #take: EngineGroupDependencies["take"];
  readonly #epochs: number[];

  constructor(
    timers: Timers,
    engine: EngineBehaviour,
    faults: readonly GroupFault[],
    take?: EngineGroupDependencies["take"],
  ) {
    this.#timers = timers;
    this.#engine = engine;
    this.#take = take;
    this.groups = GROUP_MODELS.map((_, index) => this.#create(index));
    this.#epochs = GROUP_MODELS.map(() => 1);
    for (const fault of faults) {
      for (const index of fault.groups) this.#schedule(fault, index);
    }
  }

  /** The group that a host serves; undefined if the host has ended. */
  groupOf(hostId: string): EngineGroup | undefined {
    const index = Number(hostId.split("-")[1]);
    return this.#hostId(index) === hostId ? this.groups[index] : undefined;
  }

  /** Hosts of the groups that serve. */
  hosts(): ServingHost[] {
    return this.groups.filter((group) => !group.isLost)
      .map(({ index }) => this.#host(index, "open"));
  }

  #create(index: number): EngineGroup {
    return new EngineGroup({
      timers: this.#timers,
      engine: this.#engine,
      index,
      model: GROUP_MODELS[index],
      take: this.#take,
    });
  }

  #schedule({ kind, at, until }: GroupFault, index: number): void {
    this.#timers.after(at, () => {
      const group = this.groups[index];
      if (kind === "slow") group.slowdown = SLOWDOWN;
      else if (kind === "fails_half") group.failsHalf = true;
      else this.#lose(index, until - at);
    });
    if (kind === "lost") return;
    this.#timers.after(until, () => {
      this.groups[index].slowdown = 1;
      this.groups[index].failsHalf = false;
    });
  }

  #lose(index: number, downMs: number): void {
    this.groups[index].lose();
    this.onGroupChanged(this.groups[index]);
    const lost = this.#host(index, "broken");
    this.#timers.after(
      LOSS_ANNOUNCED_AFTER_MS,
      () => this.onAnnounced(lost.id, lost),
    );
    this.#timers.after(downMs, () => {
      this.onAnnounced(lost.id, undefined);
      this.groups[index] = this.#create(index);
      this.#epochs[index] += 1;
      const host = this.#host(index, "open");
      this.onAnnounced(host.id, host);
      this.onGroupChanged(this.groups[index]);
    });
  }

  #hostId(index: number): string {
    return `host-${index}-${this.#epochs[index]}`;
  }

  #host(index: number, state: MembershipState): ServingHost {
    const id = this.#hostId(index);
    const epoch = this.#epochs[index];
    const model = GROUP_MODELS[index];
    return {
      id,
      service: "pool",
      address: `${id}:1`,
      zone: zoneName(index),
      slots: this.#engine.spec.slots,
      draining: false,
      coldLeftMs: 0,
      born: 1,
      domain: `domain-${index}`,
      staged: [model],
      models: [model],
      membership: { group: `g-${index}`, epoch, rank: 0, state },
    };
  }
}
