/**
 * Plans replica groups: pure functions from the observed state to the next
 * records.
 *
 * @module
 */
import type { Configuration, Model } from "../../world/configuration.ts";
import { isZoneInService } from "../../world/configuration.ts";
import type {
  DomainRecord,
  GroupState,
  ReplicaGroup,
} from "../../world/replica_group.ts";
import type { HostView, HostViews } from "./host_view.ts";
import {
  HOST_SILENT_MS,
  memberHealth,
  memberReady,
  memberReleased,
} from "./host_view.ts";

/** Longest load time before a group is released. */
export const LOAD_TIMEOUT_MS = 180_000;
/** Longest wait for requests in flight on a draining group. */
export const DRAIN_TIMEOUT_MS = 30_000;
/** Shortest drain, so that every gateway has read the new state. */
const MIN_DRAIN_MS = 1_000;
/**
 * Groups that may load at once, so that the weight store serves the needed ones
 * first.
 */
export const MAX_LOADING_GROUPS = 8;

/** Input of a plan. */
export interface PlanInput {
  readonly cfg: Configuration;
  readonly views: HostViews;
  readonly records: ReadonlyMap<string, DomainRecord>;
  /** Time since a group entered its state, in milliseconds. */
  readonly ageMs: (group: ReplicaGroup) => number;
  readonly changedBy: string;
  /** Fencing token of the controller that plans. */
  readonly fence: number;
}

/** A change of a group's state, with its reason. */
export interface PlacementDecision {
  readonly fabricDomain: string;
  readonly groupId: string;
  readonly state: GroupState | "gone";
  readonly reason: string;
}

/** The next record of a domain. */
export interface DomainPlan {
  readonly record: DomainRecord;
  readonly decisions: readonly PlacementDecision[];
}

/** A domain's record during planning. */
interface Draft {
  readonly old: DomainRecord;
  readonly groups: ReplicaGroup[];
  readonly decisions: PlacementDecision[];
  nextEpoch: number;
}

/**
 * Plans every fabric domain. Returns only the domains that change.
 *
 * @example
 * ```ts
 * for (const plan of planFleet(input)) await write(plan.record);
 * ```
 */
export function planFleet(input: PlanInput): DomainPlan[] {
  const drafts = new Map<string, Draft>();
  for (const [id, record] of input.records) {
    drafts.set(id, advanceGroups(record, input));
  }
  formGroups(drafts, input);
  const plans: DomainPlan[] = [];
  for (const draft of drafts.values()) {
    if (draft.decisions.length === 0) continue;
    plans.push({ record: toRecord(draft, input), decisions: draft.decisions });
  }
  return plans;
}

/** Advances the states of existing groups. */
function advanceGroups(record: DomainRecord, input: PlanInput): Draft {
  const draft: Draft = {
    old: record,
    groups: [],
    decisions: [],
    nextEpoch: record.revision + 1,
  };
  for (const group of record.groups) {
    const next = advanceGroup(group, draft, input);
    if (next !== undefined) draft.groups.push(next);
  }
  return draft;
}

/** Returns the group's next state; undefined once all members are released. */
function advanceGroup(
  group: ReplicaGroup,
  draft: Draft,
  input: PlanInput,
): ReplicaGroup | undefined {
  if (group.state === "releasing") return releaseMembers(group, draft, input);
  const missing = group.members.find((member) =>
    memberHealth(member, input.views) === "missing"
  );
  if (missing !== undefined) {
    return transition(
      group,
      "releasing",
      `Host ${missing.hostId} is missing`,
      draft,
    );
  }
  if (group.state === "loading") return advanceLoading(group, draft, input);
  if (group.state === "open") return advanceOpen(group, draft, input);
  return advanceDraining(group, draft, input);
}

function advanceLoading(
  group: ReplicaGroup,
  draft: Draft,
  input: PlanInput,
): ReplicaGroup {
  if (!isDeclared(group, input)) {
    return transition(group, "releasing", "The model is not declared", draft);
  }
  if (group.members.every((m) => memberReady(m, group, input.views))) {
    return transition(group, "open", "Every member confirmed the epoch", draft);
  }
  if (input.ageMs(group) > LOAD_TIMEOUT_MS) {
    return transition(group, "releasing", "The load took too long", draft);
  }
  return group;
}

function advanceOpen(
  group: ReplicaGroup,
  draft: Draft,
  input: PlanInput,
): ReplicaGroup {
  const unconfirmed = group.members.find((m) =>
    !memberReady(m, group, input.views)
  );
  if (unconfirmed !== undefined) {
    const reason = `Host ${unconfirmed.hostId} is not in the epoch`;
    return transition(group, "releasing", reason, draft);
  }
  const leaving = group.members.find((member) =>
    memberHealth(member, input.views) === "leaving"
  );
  if (leaving !== undefined) {
    return transition(
      group,
      "draining",
      `Host ${leaving.hostId} is leaving`,
      draft,
    );
  }
  if (!isDeclared(group, input)) {
    return transition(group, "draining", "The model is not declared", draft);
  }
  const model = modelOf(group, input.cfg);
  const isOutdated = model !== undefined && model.version !== group.version;
  if (isOutdated && mayUpgrade(group, input)) {
    return transition(
      group,
      "draining",
      `Version ${model.version} is due`,
      draft,
    );
  }
  return group;
}

function advanceDraining(
  group: ReplicaGroup,
  draft: Draft,
  input: PlanInput,
): ReplicaGroup {
  const age = input.ageMs(group);
  const headStatus = input.views.get(group.members[0].hostId)?.status;
  const isIdle = headStatus !== undefined && headStatus.running === 0;
  if ((isIdle && age > MIN_DRAIN_MS) || age > DRAIN_TIMEOUT_MS) {
    return transition(group, "releasing", "The group is drained", draft);
  }
  return group;
}

/** Removes the members whose engines have confirmed that they left. */
function releaseMembers(
  group: ReplicaGroup,
  draft: Draft,
  input: PlanInput,
): ReplicaGroup | undefined {
  const members = group.members.filter((member) =>
    !memberReleased(member, group, input.views)
  );
  if (members.length === group.members.length) return group;
  const freed = group.members.length - members.length;
  draft.decisions.push({
    fabricDomain: draft.old.fabricDomain,
    groupId: group.id,
    state: members.length === 0 ? "gone" : "releasing",
    reason: `${freed} hosts confirmed the release`,
  });
  return members.length === 0 ? undefined : { ...group, members };
}

function transition(
  group: ReplicaGroup,
  state: GroupState,
  reason: string,
  draft: Draft,
): ReplicaGroup {
  const fabricDomain = draft.old.fabricDomain;
  draft.decisions.push({ fabricDomain, groupId: group.id, state, reason });
  return { ...group, state };
}

function modelOf(group: ReplicaGroup, cfg: Configuration): Model | undefined {
  return cfg.models.find((model) => model.name === group.model);
}

/**
 * Whether the configuration has the group's model, with as many hosts per
 * replica as the group has members.
 */
function isDeclared(group: ReplicaGroup, input: PlanInput): boolean {
  const model = modelOf(group, input.cfg);
  return model !== undefined &&
    model.hostsPerReplica === group.members.length;
}

/**
 * Whether a group of an older version may be drained: only while all groups of
 * the model are open and there are at least two. A version is thus replaced one
 * group at a time, while the other groups serve.
 */
function mayUpgrade(group: ReplicaGroup, input: PlanInput): boolean {
  let open = 0;
  for (const record of input.records.values()) {
    for (const other of record.groups) {
      if (other.model !== group.model) continue;
      if (other.state === "open") open += 1;
      else return false;
    }
  }
  return open > 1;
}

/**
 * Forms groups: first each model's minimum of replicas, by rank, then as many
 * as still fit.
 */
function formGroups(drafts: Map<string, Draft>, input: PlanInput): void {
  const models = [...input.cfg.models].sort((a, b) =>
    b.rank - a.rank || b.hostsPerReplica - a.hostsPerReplica
  );
  for (const model of models) {
    while (liveReplicas(model, drafts) < model.minReplicas) {
      if (formOne(model, drafts, input, "Copies below the minimum")) continue;
      preemptGroups(model, drafts, input);
      break;
    }
  }
  for (const model of models) {
    while (formOne(model, drafts, input, "Hosts would be idle")) {
      // Each iteration forms one group until no domain has enough free hosts.
    }
  }
}

function liveReplicas(model: Model, drafts: Map<string, Draft>): number {
  let count = 0;
  for (const draft of drafts.values()) {
    for (const group of draft.groups) {
      const isLive = group.state === "open" || group.state === "loading";
      if (group.model === model.name && isLive) count += 1;
    }
  }
  return count;
}

function formOne(
  model: Model,
  drafts: Map<string, Draft>,
  input: PlanInput,
  reason: string,
): boolean {
  if (loadingGroups(drafts) >= MAX_LOADING_GROUPS) return false;
  const choice = bestDomain(model, drafts, input);
  if (choice === undefined) return false;
  const { draft, free } = choice;
  const epoch = draft.nextEpoch++;
  const members = free.slice(0, model.hostsPerReplica).map((view) => ({
    hostId: view.host.id,
    bootId: view.status?.bootId ?? view.host.bootId,
    address: view.host.address,
  }));
  const group: ReplicaGroup = {
    id: `${draft.old.fabricDomain}.${model.name}.${epoch}`,
    epoch,
    model: model.name,
    version: model.version,
    members,
    state: "loading",
    changedBy: input.changedBy,
  };
  draft.groups.push(group);
  draft.decisions.push({
    fabricDomain: draft.old.fabricDomain,
    groupId: group.id,
    state: "loading",
    reason,
  });
  return true;
}

function loadingGroups(drafts: Map<string, Draft>): number {
  let count = 0;
  for (const draft of drafts.values()) {
    count += draft.groups.filter((g) => g.state === "loading").length;
  }
  return count;
}

/**
 * Returns the domain where a replica costs least: most members with the weights
 * in memory, then the zone with the fewest replicas, then the fewest hosts left
 * over.
 */
function bestDomain(
  model: Model,
  drafts: Map<string, Draft>,
  input: PlanInput,
): { readonly draft: Draft; readonly free: HostView[] } | undefined {
  const zoneReplicas = replicasByZone(model, drafts);
  let best: { draft: Draft; free: HostView[] } | undefined;
  let bestScore = -Infinity;
  for (const draft of drafts.values()) {
    if (!isZoneInService(input.cfg, draft.old.availabilityZone)) continue;
    const free = freeHosts(draft, input);
    if (free.length < model.hostsPerReplica) continue;
    sortByWeights(free, model);
    const withWeights = free.slice(0, model.hostsPerReplica)
      .filter((view) => hasWeights(view, model)).length;
    const sameZone = zoneReplicas.get(draft.old.availabilityZone) ?? 0;
    const remainder = (free.length - model.hostsPerReplica) %
      Math.max(1, model.hostsPerReplica);
    const score = withWeights * 100 - sameZone * 10 - remainder;
    if (score > bestScore) [best, bestScore] = [{ draft, free }, score];
  }
  return best;
}

function replicasByZone(
  model: Model,
  drafts: Map<string, Draft>,
): Map<string, number> {
  const replicas = new Map<string, number>();
  for (const draft of drafts.values()) {
    const zone = draft.old.availabilityZone;
    const here = draft.groups.filter((g) =>
      g.model === model.name && g.state !== "releasing"
    ).length;
    replicas.set(zone, (replicas.get(zone) ?? 0) + here);
  }
  return replicas;
}

/** Hosts of a domain that can join a group now. */
function freeHosts(draft: Draft, input: PlanInput): HostView[] {
  const taken = new Set(
    draft.groups.flatMap((g) => g.members.map((m) => m.hostId)),
  );
  const free: HostView[] = [];
  for (const view of input.views.values()) {
    const { host, status, silentMs } = view;
    if (host.fabricDomain !== draft.old.fabricDomain) continue;
    if (host.state === "leaving" || taken.has(host.id)) continue;
    if (status === undefined || silentMs > HOST_SILENT_MS) continue;
    if (status.phase === "idle") free.push(view);
  }
  return free;
}

function sortByWeights(free: HostView[], model: Model): void {
  free.sort((a, b) =>
    Number(hasWeights(b, model)) - Number(hasWeights(a, model)) ||
    (a.host.id < b.host.id ? -1 : 1)
  );
}

function hasWeights(view: HostView, model: Model): boolean {
  const name = `${model.name}@${model.version}`;
  return view.status?.weights.includes(name) ?? false;
}

/**
 * Drains lower-ranked groups of one domain if that makes room for a replica of
 * a model below its minimum.
 */
function preemptGroups(
  model: Model,
  drafts: Map<string, Draft>,
  input: PlanInput,
): void {
  let best: { draft: Draft; victims: ReplicaGroup[] } | undefined;
  for (const draft of drafts.values()) {
    if (!isZoneInService(input.cfg, draft.old.availabilityZone)) continue;
    const victims = victimsFor(model, draft, input);
    if (victims === undefined) continue;
    if (victims.length === 0) return; // Enough hosts are being freed already.
    const isBetter = best === undefined || victims.length < best.victims.length;
    if (isBetter) best = { draft, victims };
  }
  if (best === undefined) return;
  for (const victim of best.victims) {
    const index = best.draft.groups.indexOf(victim);
    const reason = `Model ${model.name} is below its minimum`;
    best.draft.groups[index] = transition(
      victim,
      "draining",
      reason,
      best.draft,
    );
  }
}

/**
 * Lower-ranked groups to drain so that the domain has enough hosts for a
 * replica, lowest rank first; undefined if all of them together are too few.
 */
function victimsFor(
  model: Model,
  draft: Draft,
  input: PlanInput,
): ReplicaGroup[] | undefined {
  let hosts = freeHosts(draft, input).length;
  const ending = draft.groups.filter((g) =>
    (g.state === "draining" || g.state === "releasing") &&
    g.members.every((m) => memberHealth(m, input.views) === "present")
  );
  for (const group of ending) hosts += group.members.length;
  const victims: ReplicaGroup[] = [];
  const lower = draft.groups
    .filter((g) => g.state === "open" && rankOf(g, input.cfg) < model.rank)
    .sort((a, b) => rankOf(a, input.cfg) - rankOf(b, input.cfg));
  for (const group of lower) {
    if (hosts >= model.hostsPerReplica) break;
    victims.push(group);
    hosts += group.members.length;
  }
  return hosts >= model.hostsPerReplica ? victims : undefined;
}

function rankOf(group: ReplicaGroup, cfg: Configuration): number {
  return modelOf(group, cfg)?.rank ?? -1;
}

function toRecord(draft: Draft, input: PlanInput): DomainRecord {
  return {
    ...draft.old,
    // Epochs are allocated from revisions, so the revision must exceed them
    // all.
    revision: Math.max(draft.old.revision + 1, draft.nextEpoch),
    fence: input.fence,
    groups: draft.groups,
  };
}
