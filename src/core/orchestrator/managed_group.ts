/**
 * Replica groups as last known to the leader.
 *
 * @module
 */
import type { EngineModel, EngineSpec } from "../../world/catalog.ts";
import { groupKey } from "../fleet/replica.ts";
import type { TrackedHost } from "./host_state_tracker.ts";

/** Name prefix of single-host groups that keep a spare warm. */
export const SPARE_PREFIX = "s-";

/** A group, derived from the last known states of its members. */
export interface ManagedGroup {
  readonly key: string;
  readonly name: string;
  readonly epoch: number;
  readonly members: readonly TrackedHost[];
  readonly head: TrackedHost | undefined;
  readonly model: EngineModel | undefined;
}

/**
 * Derives groups from the last known states of hosts; `modelOf` returns the
 * model of a group that this node formed and that is not announced yet.
 *
 * @example
 * ```ts
 * const groups = collectGroups(states, engine, (key) => forming.get(key));
 * ```
 */
export function collectGroups(
  states: readonly TrackedHost[],
  engine: EngineSpec,
  modelOf: (key: string) => string | undefined,
): ManagedGroup[] {
  const members = new Map<string, TrackedHost[]>();
  for (const state of states) {
    const { membership } = state;
    if (membership === undefined) continue;
    if (membership.group.startsWith(SPARE_PREFIX)) continue;
    const key = groupKey(membership.group, membership.epoch);
    const list = members.get(key) ?? [];
    list.push(state);
    members.set(key, list);
  }
  return [...members].map(([key, list]) => {
    const [{ membership }] = list;
    const head = list.find((member) => member.membership?.rank === 0);
    const modelName = modelOf(key) ?? (head ?? list[0]).models[0];
    return {
      key,
      name: membership?.group ?? "",
      epoch: membership?.epoch ?? 0,
      members: list,
      head,
      model: engine.models.find((model) => model.name === modelName),
    };
  });
}

/**
 * Whether a group serves, or will serve once its members are ready.
 *
 * @example
 * ```ts
 * const serving = groups.filter(isHealthy);
 * ```
 */
export function isHealthy(group: ManagedGroup): boolean {
  const { model, members, head } = group;
  return model !== undefined && head !== undefined &&
    members.length === model.size &&
    members.every((member) => !member.isSilent && !member.host.draining) &&
    !["closing", "broken"].includes(head.membership?.state ?? "broken");
}

/**
 * Whether draining members are the only problem of an unhealthy group: it is
 * open or closing, complete, and all its members respond.
 *
 * @example
 * ```ts
 * if (isOnlyDraining(group)) drain(group);
 * ```
 */
export function isOnlyDraining(group: ManagedGroup): boolean {
  const state = group.head?.membership?.state;
  return group.members.length === group.model?.size &&
    group.members.every((member) => !member.isSilent) &&
    (state === "open" || state === "closing");
}

/**
 * Whether a group's hosts are in several fabric domains.
 *
 * @example
 * ```ts
 * const crossDomain = groups.filter(isCrossDomain);
 * ```
 */
export function isCrossDomain(group: ManagedGroup): boolean {
  const [{ host }] = group.members;
  return group.members.some((member) => member.host.domain !== host.domain);
}
