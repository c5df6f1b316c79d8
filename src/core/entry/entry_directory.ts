/**
 * Which addresses the callers of a zone get.
 *
 * @module
 */
import { hash32 } from "../../base/hash.ts";
import { withoutBehind } from "./behind_nodes.ts";
import type { EntryNode, RatedNode, ZonePlan } from "./entry_node.ts";
import { rateNodes } from "./entry_node.ts";
import { ZoneDemand } from "./zone_demand.ts";
import { ZoneMembers } from "./zone_members.ts";
import type { LoadBounds } from "./zone_planner.ts";
import { MIN_OWN_NODES, ZonePlanner } from "./zone_planner.ts";

/** Callers accept at most this many addresses. */
export const MAX_ADDRESSES = 64;
/** Answers are decided anew after this time, however often they are asked for. */
const DECISION_INTERVAL_MS = 500;
/** Bounds within which nodes must be members of a zone. */
const REQUIRED: LoadBounds = { maxLoad: 0.5, helpedRatio: 0.9 };
/** Bounds within which nodes may stay members of a zone. */
const WANTED: LoadBounds = { maxLoad: 0.3, helpedRatio: 1.25 };
/** For this time after its start a node is still learning of its peers. */
const SETTLING_MS = 3_000;
/** A zone without nodes is remembered for this time after a caller named it. */
const ZONE_MEMORY_MS = 60_000;
/** Maximum number of zones without nodes. */
const MAX_FOREIGN_ZONES = 8;
/** Longer names of zones aren't remembered. */
const MAX_ZONE_NAME = 64;
/** Stands for callers that name no zone, or one that isn't remembered. */
const NO_ZONE = "";
/** Callers get the nodes of their zone. */
const OWN_NODES: ZonePlan = {
  isAll: false,
  weakOut: 0,
  helpers: [],
  isSpread: false,
};
/** Callers get all nodes. */
const ALL_NODES: ZonePlan = { ...OWN_NODES, isAll: true };

/** Number of serving nodes that an answer lacks, by reason. */
export interface LeftOut {
  /** Nodes that can't keep up. */
  readonly behind: number;
  /** Nodes of the zone without which the others have ample room. */
  readonly weak: number;
  /** Nodes of other zones. */
  readonly elsewhere: number;
  /** Nodes that don't fit into an answer. */
  readonly beyondLimit: number;
}

/** The answer for callers of a zone, in numbers. */
export interface EntryAnswer {
  readonly zone: string;
  readonly addresses: number;
  readonly leftOut: LeftOut;
}

/** An answer that differs from the one before it. */
export interface EntryChange extends EntryAnswer {
  /** Number of addresses that the answer before it lacked. */
  readonly added: number;
  /** Number of addresses that were in the answer before it. */
  readonly removed: number;
}

/** Dependencies of {@linkcode EntryDirectory}. */
export interface EntryDirectoryDependencies {
  /** Id of this node. */
  readonly selfId: string;
  /** All serving nodes, this one included if it serves. */
  readonly nodes: () => readonly EntryNode[];
  /** Called when the answer for callers of a zone has changed. */
  readonly onChange: (change: EntryChange) => void;
  /**
   * Called when answers begin or cease to depend on capacity; `unrated` is the
   * number of nodes that don't say theirs.
   */
  readonly onSwitch: (isOn: boolean, unrated: number) => void;
}

interface ZoneState {
  readonly members: ZoneMembers;
  /** When a caller last named the zone. */
  askedAt: number;
  /** Plan in force; undefined before the first one. */
  plan: ZonePlan | undefined;
  /** Whether this node decides the plan. */
  isDecider: boolean;
  /** Ids of the nodes that callers may have been given. */
  listed: ReadonlySet<string>;
  addresses: readonly string[];
  /** Addresses at the last report of a change. */
  reported: readonly string[];
  leftOut: LeftOut;
}

/** What a decision for one zone is based on. */
interface ZoneScene {
  readonly zone: string;
  /** All serving nodes. */
  readonly nodes: readonly RatedNode[];
  readonly planner: ZonePlanner;
  /** Nodes that aren't left out for being behind, in their order for the zone. */
  readonly order: readonly RatedNode[];
  readonly now: number;
}

/** Nodes that were left after each stage of a decision for a zone. */
interface DecisionStages {
  /** All serving nodes. */
  readonly nodes: readonly RatedNode[];
  /** Without those that are behind. */
  readonly eligible: readonly RatedNode[];
  readonly members: readonly RatedNode[];
}

/**
 * Decides which addresses the callers of each zone get.
 *
 * Built for fleets of uneven nodes, such as six strong nodes beside some sixty
 * with a quarter of their processor and a tenth of their link, in zones that are
 * several milliseconds apart and between which bytes cost money; for zones that
 * get most of the callers for a time, or lose their nodes; and for nodes that
 * turn slow. Callers choose among the addresses uniformly and drop connections to
 * addresses that a newer answer lacks. So a zone's callers get its nodes, as many
 * of other zones as its demand needs, and the same ones for as long as they do.
 *
 * One node of each zone decides its plan, and all nodes follow it, so that their
 * answers agree; when it is lost, the next one goes on from the plan that it has
 * followed. Unless every serving node says its capacity, callers get all serving
 * nodes.
 */
export class EntryDirectory {
  readonly #deps: EntryDirectoryDependencies;
  readonly #demand = new ZoneDemand();
  readonly #zones = new Map<string, ZoneState>();
  /** Answer while not all capacities are known; undefined else. */
  #allAddresses: readonly string[] | undefined;
  #isOn: boolean | undefined;
  #startedAt: number | undefined;
  #decidedAt = -Infinity;
  /**
   * Whether the whole fleet may just have started, so that nobody has a plan. Until
   * loads are known, callers get the nodes of their zone.
   */
  #isFleetStarting = true;

  constructor(deps: EntryDirectoryDependencies) {
    this.#deps = deps;
  }

  /**
   * Returns the addresses for callers in a zone; empty only if no node serves.
   *
   * @example
   * ```ts
   * const addresses = directory.addresses("zone-a", timers.now());
   * ```
   */
  addresses(zone: string | undefined, now: number): readonly string[] {
    const state = this.#ask(zone ?? NO_ZONE, now);
    this.#decideIfDue(now);
    return this.#allAddresses ?? state.addresses;
  }

  /**
   * Returns the plan for this node's zone; undefined unless this node decides it.
   *
   * @example
   * ```ts
   * const status = { ...loadMeter.read(now), plan: directory.ownPlan(now) };
   * ```
   */
  ownPlan(now: number): ZonePlan | undefined {
    if (!this.#mayDecide()) return undefined;
    this.#decideIfDue(now);
    if (this.#isOn !== true || this.#isFleetStarting) return undefined;
    for (const { isDecider, plan } of this.#zones.values()) {
      if (isDecider) return plan;
    }
    return undefined;
  }

  /** Decides anew at the next question, as a node has begun or ceased to serve. */
  invalidate(): void {
    this.#decidedAt = -Infinity;
  }

  /**
   * Answers for zones that callers named of late, in numbers.
   *
   * @example
   * ```ts
   * for (const { zone, addresses } of directory.answers(now)) gauge.set({ zone }, addresses);
   * ```
   */
  answers(now: number): EntryAnswer[] {
    if (this.#isOn !== true) return [];
    return [...this.#zones].filter(([, state]) => isRemembered(state, now))
      .map(([zone, { addresses, leftOut }]) => ({
        zone,
        addresses: addresses.length,
        leftOut,
      }));
  }

  /** Notes that a caller named a zone, and returns the state that answers it. */
  #ask(name: string, now: number): ZoneState {
    const known = this.#zones.get(name);
    if (known !== undefined) {
      known.askedAt = now;
      return known;
    }
    const ownZones = new Set(this.#deps.nodes().map(({ zone }) => zone));
    const isRoom = this.#zones.size < ownZones.size + MAX_FOREIGN_ZONES;
    const isUsable = isRoom && name.length <= MAX_ZONE_NAME;
    if (name !== NO_ZONE && !isUsable) return this.#ask(NO_ZONE, now);
    const state = createZone(now);
    this.#zones.set(name, state);
    this.invalidate();
    return state;
  }

  /**
   * Whether this node decides its zone's plan or may be the next to do so. Others
   * follow plans only when a caller asks.
   */
  #mayDecide(): boolean {
    const nodes = this.#deps.nodes();
    const self = nodes.find(({ id }) => id === this.#deps.selfId);
    if (self === undefined) return false;
    const { zone, id: selfId } = self;
    const before = nodes.filter((node) =>
      node.zone === zone && node.id < selfId
    );
    return before.length <= 1 || this.#zones.get(zone)?.isDecider === true;
  }

  #decideIfDue(now: number): void {
    if (now - this.#decidedAt < DECISION_INTERVAL_MS) return;
    this.#decidedAt = now;
    this.#startedAt ??= now;
    const nodes = this.#deps.nodes();
    const rated = rateNodes(nodes);
    const isOn = rated !== undefined;
    if (isOn !== this.#isOn) {
      this.#isOn = isOn;
      const unrated = nodes.filter(({ status }) => status === undefined);
      this.#deps.onSwitch(isOn, unrated.length);
    }
    if (isOn) {
      this.#allAddresses = undefined;
      this.#decide(rated, now);
    } else {
      this.#allAddresses = nodes.map(({ address }) => address)
        .slice(0, MAX_ADDRESSES);
      this.#holdAll(nodes.map(({ id }) => id));
    }
  }

  /** Lets plans begin from all nodes once they depend on capacity. */
  #holdAll(ids: readonly string[]): void {
    for (const state of this.#zones.values()) {
      state.members.adopt(ids);
      state.plan = ALL_NODES;
      state.isDecider = false;
    }
  }

  #decide(nodes: readonly RatedNode[], now: number): void {
    this.#updateZones(nodes, now);
    this.#noteStart(nodes, now);
    const mayDecide = this.#mayDecide();
    if (mayDecide) this.#updateDemand(nodes, now);
    const eligible = withoutBehind(nodes);
    const planner = new ZonePlanner(eligible, (zone) => this.#demand.of(zone));
    for (const [zone, state] of this.#zones) {
      if (!mayDecide && !isRemembered(state, now)) continue;
      const order = planner.order(zone);
      const scene = { zone, nodes, planner, order, now };
      this.#updatePlan(state, scene);
      const members = this.#followPlan(state, scene);
      const stages = { nodes, eligible, members };
      this.#setAnswer(zone, state, stages, now);
    }
  }

  /** Finds out whether the fleet has been running before this node started. */
  #noteStart(nodes: readonly RatedNode[], now: number): void {
    if (!this.#isFleetStarting) return;
    const ageMs = now - (this.#startedAt ?? now);
    const hasPlans = nodes.some(({ plan }) => plan !== undefined);
    // Nodes that start together publish plans only once they have settled.
    if (hasPlans && ageMs < SETTLING_MS / 2) this.#isFleetStarting = false;
    if (ageMs < SETTLING_MS) return;
    this.#isFleetStarting = false;
    for (const state of this.#zones.values()) state.plan ??= OWN_NODES;
  }

  #updateDemand(nodes: readonly RatedNode[], now: number): void {
    const lists = new Map(
      [...this.#zones].map(([zone, { listed }]) => [zone, listed]),
    );
    this.#demand.update(nodes, lists, now);
  }

  /** Adds zones that have got nodes, and drops those that nobody names any more. */
  #updateZones(nodes: readonly RatedNode[], now: number): void {
    const own = new Set(nodes.map(({ zone }) => zone));
    for (const zone of own) {
      if (!this.#zones.has(zone)) this.#zones.set(zone, createZone(-Infinity));
    }
    for (const [zone, state] of this.#zones) {
      if (own.has(zone) || isRemembered(state, now)) continue;
      this.#zones.delete(zone);
    }
  }

  /** Decides the plan for a zone, or takes over that of the node that does. */
  #updatePlan(state: ZoneState, scene: ZoneScene): void {
    const { zone, nodes, now } = scene;
    const isSettling = now - (this.#startedAt ?? now) < SETTLING_MS;
    const { selfId } = this.#deps;
    const inZone = nodes.filter((node) => node.zone === zone);
    const peers = inZone.filter(({ id }) => id !== selfId);
    const decider = peers.filter(({ plan }) => plan !== undefined)
      .reduce(lowerId, undefined);
    const isFirst = peers.every(({ id }) => id > selfId) &&
      (decider === undefined || !isSettling);
    const isHere = inZone.length > peers.length;
    const precedes = decider === undefined || selfId < decider.id;
    state.isDecider = isHere && precedes && (isFirst || state.isDecider);
    if (!this.#isFleetStarting && state.plan === undefined) {
      state.plan = ALL_NODES;
      state.members.adopt(scene.order.map(({ id }) => id));
    }
    if (!state.isDecider) {
      state.plan = decider?.plan ?? state.plan;
      return;
    }
    if (this.#isFleetStarting) return;
    this.#updateMembers(state, scene);
    const members = scene.order.filter(({ id }) => state.members.ids.has(id));
    state.plan = {
      ...toPlan(scene, members),
      isSpread: this.#needsSpread(zone, state, members),
    };
  }

  #updateMembers(state: ZoneState, scene: ZoneScene): void {
    const { zone, planner, order, now } = scene;
    const plan = (bounds: LoadBounds) =>
      planner.plan(zone, bounds, state.members.ids).map(({ id }) => id);
    state.members.update(
      {
        order: order.map(({ id }) => id),
        required: plan(REQUIRED),
        wanted: plan(WANTED),
      },
      now,
    );
  }

  #needsSpread(
    zone: string,
    state: ZoneState,
    members: readonly RatedNode[],
  ): boolean {
    if (members.length <= MAX_ADDRESSES) return false;
    const answer = members.slice(0, MAX_ADDRESSES);
    const weakest = Math.min(...answer.map(({ capacity }) => capacity));
    const { maxLoad } = state.plan?.isSpread ? WANTED : REQUIRED;
    return this.#demand.of(zone) > maxLoad * MAX_ADDRESSES * weakest;
  }

  /** Returns the nodes that callers of a zone get by the plan in force. */
  #followPlan(
    state: ZoneState,
    { zone, planner, order }: ZoneScene,
  ): readonly RatedNode[] {
    const plan = state.plan ?? OWN_NODES;
    const ownCount = planner.own(zone).length;
    const isAll = plan.isAll || ownCount < MIN_OWN_NODES;
    const isFollower = !state.isDecider || this.#isFleetStarting;
    // Once the zone has enough nodes again, the others leave a few at a time.
    if (isAll && isFollower && !this.#isFleetStarting) state.plan = ALL_NODES;
    const kept = Math.max(1, ownCount - plan.weakOut);
    const helpers = new Set(plan.helpers);
    const members = isAll
      ? order
      : order.filter(({ id }, i) => i < kept || helpers.has(id));
    if (isFollower) state.members.adopt(members.map(({ id }) => id));
    return members;
  }

  /** Chooses as many members as an answer holds. */
  #fit(
    zone: string,
    isSpread: boolean,
    members: readonly RatedNode[],
  ): readonly RatedNode[] {
    if (members.length <= MAX_ADDRESSES || !isSpread) {
      return members.slice(0, MAX_ADDRESSES);
    }
    // Each node answers with others, so that together they name all members.
    const rank = ({ id }: RatedNode) =>
      hash32(`${zone}|${this.#deps.selfId}|${id}`);
    return members
      .map((node) => ({
        node,
        isOwn: node.zone === zone ? 1 : 0,
        rank: rank(node),
      }))
      .sort((a, b) => b.isOwn - a.isOwn || b.rank - a.rank)
      .slice(0, MAX_ADDRESSES)
      .map(({ node }) => node);
  }

  #setAnswer(
    zone: string,
    state: ZoneState,
    stages: DecisionStages,
    now: number,
  ): void {
    const { members } = stages;
    const isSpread = state.plan?.isSpread ?? false;
    const chosen = this.#fit(zone, isSpread, members);
    state.listed = new Set((isSpread ? members : chosen).map(({ id }) => id));
    state.addresses = chosen.map(({ address }) => address);
    state.leftOut = countLeftOut(zone, chosen, stages);
    if (!isRemembered(state, now)) return;
    const former = new Set(state.reported);
    const added = state.addresses.filter((address) => !former.has(address));
    const removed = former.size + added.length - state.addresses.length;
    if (added.length + removed === 0) return;
    state.reported = state.addresses;
    const addresses = state.addresses.length;
    const { leftOut } = state;
    const counts = { addresses, added: added.length, removed };
    this.#deps.onChange({ zone, ...counts, leftOut });
  }
}

function createZone(askedAt: number): ZoneState {
  return {
    members: new ZoneMembers(),
    askedAt,
    plan: undefined,
    isDecider: false,
    listed: new Set(),
    addresses: [],
    reported: [],
    leftOut: { behind: 0, weak: 0, elsewhere: 0, beyondLimit: 0 },
  };
}

function isRemembered({ askedAt }: ZoneState, now: number): boolean {
  return now - askedAt <= ZONE_MEMORY_MS;
}

function lowerId(
  a: RatedNode | undefined,
  b: RatedNode,
): RatedNode | undefined {
  return a === undefined || b.id < a.id ? b : a;
}

/** Describes members, which are in order, for peers. */
function toPlan(
  { zone, planner, order }: ZoneScene,
  members: readonly RatedNode[],
): Omit<ZonePlan, "isSpread"> {
  if (members.length === order.length) return ALL_NODES;
  const helpers = members.filter((node) => node.zone !== zone)
    .map(({ id }) => id);
  const ownMembers = members.length - helpers.length;
  return {
    isAll: false,
    weakOut: planner.own(zone).length - ownMembers,
    helpers: helpers.slice(0, MAX_ADDRESSES),
  };
}

function countLeftOut(
  zone: string,
  chosen: readonly RatedNode[],
  { nodes, eligible, members }: DecisionStages,
): LeftOut {
  const memberIds = new Set(members.map(({ id }) => id));
  const others = eligible.filter(({ id }) => !memberIds.has(id));
  const weak = others.filter((node) => node.zone === zone).length;
  return {
    behind: nodes.length - eligible.length,
    weak,
    elsewhere: others.length - weak,
    beyondLimit: members.length - chosen.length,
  };
}
