/**
 * Simulates engine hosts that form groups: commands, reports and announcements.
 *
 * @module
 */
import type { Outcome } from "../../base/outcome.ts";
import { failure, success } from "../../base/outcome.ts";
import type { Timers } from "../../base/timers.ts";
import { sleep } from "../../base/timers.ts";
import type {
  CommandReply,
  HostCommand,
  HostControl,
  HostControlError,
  HostRef,
} from "../../ports/host_control.ts";
import type {
  HostReport,
  Membership,
  ServingHost,
} from "../../world/serving_host.ts";
import type { EngineModel } from "../../world/catalog.ts";

/** Time to join a group if the host has its model in memory. */
const LOADED_JOIN_MS = 200;
/** Time from the `open` command until the group serves. */
const FORMATION_MS = 300;
const RESPONSE_MS = 2;
const TIMEOUT_MS = 220;
/** A head that stands still for this time is broken. */
const STALL_MS = 4_000;
/** The announcement of a silent host expires after three heartbeats. */
const EXPIRY_MS = 3_600;
/** `born` of a host that starts at 0 ms of the timers' clock. */
const BORN_ORIGIN_MS = 1_790_000_000_000;

/** Settings of the simulated hosts. */
export interface EngineHostSettings {
  /** Age of the command count in reports; the other values are current. */
  readonly reportLagMs: number;
  /** Time for which a head that was told to close is closing. */
  readonly closeMs: number;
  /**
   * Whether a group may be opened without a member that was ready in it and was
   * lost, as nobody may know of the loss yet.
   */
  readonly excusesLostMembers: boolean;
}

const DEFAULT_SETTINGS: EngineHostSettings = {
  reportLagMs: 0,
  closeMs: 0,
  excusesLostMembers: false,
};

/** State of one life of a host: a restart creates another one. */
interface HostState {
  /** The host as it was added; later changes are in the other fields. */
  readonly host: ServingHost;
  /** Commands accepted since the start. */
  seq: number;
  /** Times at which commands were accepted, if reports lag. */
  acceptedAt: number[];
  /** Identifies the join from which the membership results. */
  joinNumber: number;
  /** Highest epoch of a join since the start. */
  maxEpoch: number;
  /** For a head: the members' join numbers as it was told to open. */
  partners: ReadonlyMap<string, number>;
  /** Since when an open head has lacked a member. */
  stalledAt: number | undefined;
  membership: Membership | undefined;
  /** Host ids of the group last joined, the head first. */
  members: readonly string[];
  /** Model that is loaded in memory, also after the host left its group. */
  loadedModel: string | undefined;
  /** Models whose weights are staged on the host. */
  staged: string[];
  /** An isolated host can be reached by its group only. */
  link: "up" | "down" | "isolated" | "crashed";
  isDraining: boolean;
  /** Delay added to each join, in milliseconds. */
  joinDelayMs: number;
  /** Whether the next command is executed but its response is lost. */
  dropsNextResponse: boolean;
  /** Time after which the next command is executed; its response is lost. */
  nextCommandDelayMs: number | undefined;
}

/** A violation of a rule of groups; `at` is in milliseconds. */
export interface GroupBreach {
  readonly rule:
    /**
     * The host joined a group while the head of its current group was open or
     * closing, or stood still and was not yet broken.
     */
    | "two_groups"
    /**
     * The host opened a group some of whose members were not present, or, if lost
     * members are excused, had never been ready in it.
     */
    | "partial_group";
  readonly host: string;
  readonly at: number;
  /** The host's group, its head and the command, for a trace. */
  readonly detail: string;
}

/** Receives the announcements of the simulated hosts. */
export interface EngineHostsListener {
  onAnnounced(host: ServingHost): void;
  /** Called when the announcement of a host expires. */
  onWithdrawn(hostId: string): void;
}

/** Simulates hosts and records breaches of the rules of groups. */
export class EngineHosts implements HostControl {
  readonly breaches: GroupBreach[] = [];
  readonly #timers: Timers;
  readonly #models: ReadonlyMap<string, EngineModel>;
  readonly #listener: EngineHostsListener;
  readonly #hosts = new Map<string, HostState>();
  readonly #settings: EngineHostSettings;
  /** Hosts that have been ready in a group, by the group's key. */
  readonly #everReady = new Map<string, Set<string>>();
  #joinCount = 0;

  constructor(
    timers: Timers,
    models: readonly EngineModel[],
    listener: EngineHostsListener,
    settings: Partial<EngineHostSettings> = {},
  ) {
    this.#settings = { ...DEFAULT_SETTINGS, ...settings };
    this.#timers = timers;
    this.#models = new Map(models.map((model) => [model.name, model]));
    this.#listener = listener;
  }

  /** Number of joins that hosts accepted. */
  get joinCount(): number {
    return this.#joinCount;
  }

  /** Adds a host that has no weights loaded. */
  add(id: string, domain: string, zone: string): void {
    this.#start({
      id,
      service: "pool",
      address: `${id}:1`,
      zone,
      slots: 18,
      draining: false,
      coldLeftMs: 0,
      born: BORN_ORIGIN_MS + Math.floor(this.#timers.now()),
      domain,
      staged: [],
      models: [],
      membership: undefined,
    });
  }

  /**
   * Makes the host unresponsive, also to its group. The host's announcement
   * expires after three heartbeats.
   */
  stopResponding(id: string): void {
    this.#setLink(id, "down");
  }

  /**
   * Isolates the host from all but its group, in which it continues to serve.
   * The host can't renew its announcement, which expires after three heartbeats.
   */
  isolate(id: string): void {
    this.#setLink(id, "isolated");
  }

  /** Restores the host's connections and announces it again. */
  restore(id: string): void {
    this.#setLink(id, "up");
  }

  /** Ends the host's process. Its announcement expires after three heartbeats. */
  crash(id: string): void {
    const state = this.#state(id);
    if (state.link === "crashed") return;
    state.membership = undefined;
    this.#setLink(id, "crashed");
  }

  /**
   * Starts a crashed host under the same id. It holds nothing but its staged
   * models.
   */
  restart(id: string): void {
    const { host, staged, link } = this.#state(id);
    if (link !== "crashed") return;
    const startedAt = BORN_ORIGIN_MS + Math.floor(this.#timers.now());
    this.#start({ ...host, born: Math.max(host.born + 1, startedAt), staged });
  }

  /** Announces that the host is draining. */
  drain(id: string): void {
    this.#state(id).isDraining = true;
    this.#announce(id);
  }

  /** Delays each join of the host. */
  delayJoins(id: string, ms: number): void {
    this.#state(id).joinDelayMs = ms;
  }

  /** Executes the host's next command but drops its response. */
  dropNextResponse(id: string): void {
    this.#state(id).dropsNextResponse = true;
  }

  /**
   * Executes the host's next command `ms` after it was sent, even if the host has
   * accepted newer ones or restarted by then. Its response is lost.
   */
  delayNextCommand(id: string, ms: number): void {
    this.#state(id).nextCommandDelayMs = ms;
  }

  /** Start of the host's process; undefined if it has crashed. */
  bornAt(id: string): number | undefined {
    const { host, link } = this.#state(id);
    return link === "crashed" ? undefined : host.born;
  }

  /** Last known announcement of the host; undefined if it can't send one. */
  announcementOf(id: string): ServingHost | undefined {
    const state = this.#state(id);
    return state.link === "up" ? this.#toAnnouncement(state) : undefined;
  }

  /** Membership of the host; undefined if it has none. */
  membershipOf(id: string): Membership | undefined {
    return this.#state(id).membership;
  }

  /** Groups whose head is open and whose members are all present. */
  get servingGroups(): { model: string; members: readonly string[] }[] {
    return [...this.#hosts.values()].flatMap((state) => {
      const { membership, members, link } = state;
      const isOpenHead = membership?.rank === 0 && membership.state === "open";
      if (!isOpenHead || link === "down" || this.#isStalled(state)) return [];
      return [{ model: state.loadedModel ?? "", members }];
    });
  }

  async report(host: HostRef): Promise<Outcome<HostReport, HostControlError>> {
    const state = this.#state(host.id);
    if (state.link === "crashed") return refused();
    if (state.link !== "up") return await this.#timeOut();
    await sleep(this.#timers, RESPONSE_MS);
    return success({
      seq: this.#reportedSeq(state),
      born: state.host.born,
      busy: false,
      queued: 0,
      active: 0,
      staged: state.staged,
      models: state.loadedModel === undefined ? [] : [state.loadedModel],
      membership: state.membership,
    });
  }

  async command(
    host: HostRef,
    command: HostCommand,
    expectedSeq: number | undefined,
  ): Promise<Outcome<CommandReply, HostControlError>> {
    const state = this.#state(host.id);
    if (state.link === "crashed") return refused();
    if (state.link !== "up") return await this.#timeOut();
    const { nextCommandDelayMs: delayMs } = state;
    if (delayMs !== undefined) {
      state.nextCommandDelayMs = undefined;
      this.#timers.after(delayMs, () => {
        const current = this.#state(host.id);
        if (current.link === "up") {
          this.#execute(host.id, current, command, expectedSeq);
        }
      });
      return await this.#timeOut();
    }
    await sleep(this.#timers, RESPONSE_MS);
    if (!this.#isRunning(host.id, state)) return refused();
    const result = this.#execute(host.id, state, command, expectedSeq);
    if (!state.dropsNextResponse) return success(result);
    state.dropsNextResponse = false;
    return await this.#timeOut();
  }

  #execute(
    id: string,
    state: HostState,
    command: HostCommand,
    expectedSeq: number | undefined,
  ): CommandReply {
    if (expectedSeq !== undefined && expectedSeq !== state.seq) {
      return "conflict";
    }
    return this.#apply(id, state, command);
  }

  #apply(
    id: string,
    state: HostState,
    command: HostCommand,
  ): CommandReply {
    switch (command.kind) {
      case "join":
        return this.#join(id, state, command);
      case "open":
        return this.#open(id, state, command);
      case "leave":
        if (!isInGroup(state, command)) return "done";
        this.#countCommand(state);
        state.membership = undefined;
        this.#announce(id);
        this.#reviewHeads(id);
        return "done";
      case "close":
        return this.#close(id, state, command);
      case "stage":
        return this.#stage(id, state, command.model);
    }
  }

  #join(
    id: string,
    state: HostState,
    command: HostCommand & { kind: "join" },
  ): CommandReply {
    const { group, epoch, members, model } = command;
    if (state.maxEpoch > epoch) return "stale";
    const isSame = isInGroup(state, command);
    if (isSame && members.join() !== state.members.join()) return "stale";
    this.#checkNotServing(id, state, command);
    this.#countCommand(state);
    state.maxEpoch = epoch;
    state.joinNumber = ++this.#joinCount;
    state.partners = new Map();
    state.stalledAt = undefined;
    state.members = members;
    state.membership = {
      group,
      epoch,
      rank: members.indexOf(id),
      state: "joining",
    };
    this.#announce(id);
    const modelSpec = this.#models.get(model);
    const joinMs = state.loadedModel === model
      ? LOADED_JOIN_MS
      : state.staged.includes(model)
      ? modelSpec?.warmMs ?? 0
      : modelSpec?.loadMs ?? 0;
    const { seq } = state;
    this.#reviewHeads(id);
    this.#timers.after(joinMs + state.joinDelayMs, () => {
      if (state.seq !== seq || !this.#isRunning(id, state)) return;
      state.loadedModel = model;
      state.staged = [model];
      this.#setMembershipState(id, state, "ready");
      const key = groupKey(command, members);
      this.#everReady.set(key, (this.#everReady.get(key) ?? new Set()).add(id));
    });
    return "begun";
  }

  /**
   * Records a breach if the head of the host's group is open or closing. A head
   * that stands still remains so until it is broken. Called when the host joins
   * a group.
   */
  #checkNotServing(
    id: string,
    state: HostState,
    command: HostCommand & { kind: "join" },
  ): void {
    const { membership, members, seq } = state;
    const head = this.#hosts.get(members[0]);
    if (membership === undefined || head?.membership === undefined) return;
    if (!isInGroup(head, membership)) return;
    const { state: headState } = head.membership;
    if (headState !== "open" && headState !== "closing") return;
    const own = `${membership.group}/${membership.epoch}`;
    const stalled = head.stalledAt === undefined ? "" : ", stands still";
    this.#recordBreach(
      "two_groups",
      id,
      `joined ${command.group}/${command.epoch} with count ${seq} while ` +
        `${members[0]} of ${own} was ${headState}${stalled}`,
    );
  }

  #open(
    id: string,
    state: HostState,
    command: HostCommand & { kind: "open" },
  ): CommandReply {
    if (!isInGroup(state, command)) return "conflict";
    const { membership, members } = state;
    if (membership?.state === "open") return "done";
    if (membership?.state !== "ready") return "conflict";
    const excused = this.#settings.excusesLostMembers
      ? this.#everReady.get(groupKey(membership, members))
      : undefined;
    const absent = members.filter((member) =>
      !this.#isPresent(member, membership) && excused?.has(member) !== true
    );
    if (absent.length > 0) {
      const detail = `opened ${command.group}/${command.epoch} without `;
      this.#recordBreach("partial_group", id, detail + absent.join(", "));
    }
    state.partners = this.#joinNumbers(members, membership);
    this.#countCommand(state);
    const { seq } = state;
    this.#timers.after(FORMATION_MS, () => {
      if (state.seq !== seq || !this.#isRunning(id, state)) return;
      this.#setMembershipState(id, state, "open");
    });
    return "begun";
  }

  #close(
    id: string,
    state: HostState,
    command: HostCommand & { kind: "close" },
  ): CommandReply {
    if (!isInGroup(state, command)) return "conflict";
    this.#countCommand(state);
    const { closeMs } = this.#settings;
    if (closeMs === 0 || state.membership?.state !== "open") {
      this.#setMembershipState(id, state, "ready");
      return "begun";
    }
    this.#setMembershipState(id, state, "closing");
    const { joinNumber } = state;
    this.#timers.after(closeMs, () => {
      const isSame = state.joinNumber === joinNumber &&
        this.#isRunning(id, state);
      if (isSame && state.membership?.state === "closing") {
        this.#setMembershipState(id, state, "ready");
      }
    });
    return "begun";
  }

  #stage(id: string, state: HostState, model: string): CommandReply {
    this.#countCommand(state);
    this.#timers.after(this.#models.get(model)?.loadMs ?? 0, () => {
      if (!this.#isRunning(id, state)) return;
      state.staged = [model];
      this.#announce(id);
    });
    return "begun";
  }

  #isPresent(id: string, membership: Membership): boolean {
    const state = this.#hosts.get(id);
    return state !== undefined && state.link !== "down" &&
      isInGroup(state, membership) && state.membership?.state !== "joining";
  }

  /** Returns the join numbers of the hosts that are in the group. */
  #joinNumbers(
    ids: readonly string[],
    membership: Membership,
  ): ReadonlyMap<string, number> {
    return new Map(ids.flatMap((id) => {
      const state = this.#hosts.get(id);
      if (state === undefined || !isInGroup(state, membership)) return [];
      return [[id, state.joinNumber] as const];
    }));
  }

  /** Whether a member of the head's group is missing, or joined again. */
  #isStalled(head: HostState): boolean {
    const { membership, members, partners } = head;
    return membership !== undefined && members.some((id) => {
      const joinNumber = this.#hosts.get(id)?.joinNumber;
      return !this.#isPresent(id, membership) ||
        joinNumber !== (partners.get(id) ?? joinNumber);
    });
  }

  /** Reviews the heads of groups that include a host whose state changed. */
  #reviewHeads(changedId: string): void {
    for (const [id, state] of this.#hosts) {
      if (state.membership?.rank === 0 && state.members.includes(changedId)) {
        this.#reviewHead(id, state);
      }
    }
  }

  /** Breaks a serving head once it has stood still for {@linkcode STALL_MS}. */
  #reviewHead(id: string, state: HostState): void {
    const isServing = state.membership?.state === "open" ||
      state.membership?.state === "closing";
    if (!isServing || !this.#isStalled(state)) {
      state.stalledAt = undefined;
      return;
    }
    if (state.stalledAt !== undefined) return;
    const stalledAt = this.#timers.now();
    state.stalledAt = stalledAt;
    this.#timers.after(STALL_MS, () => {
      const isSame = state.stalledAt === stalledAt &&
        this.#isRunning(id, state);
      if (isSame && this.#isStalled(state)) {
        this.#setMembershipState(id, state, "broken");
      }
    });
  }

  #setMembershipState(
    id: string,
    state: HostState,
    next: Membership["state"],
  ): void {
    if (state.membership === undefined) return;
    state.membership = { ...state.membership, state: next };
    this.#announce(id);
    this.#reviewHeads(id);
  }

  #recordBreach(
    rule: GroupBreach["rule"],
    host: string,
    detail: string,
  ): void {
    this.breaches.push({ rule, host, at: this.#timers.now(), detail });
  }

  #countCommand(state: HostState): void {
    state.seq += 1;
    if (this.#settings.reportLagMs > 0) {
      state.acceptedAt.push(this.#timers.now());
    }
  }

  #reportedSeq(state: HostState): number {
    const asOf = this.#timers.now() - this.#settings.reportLagMs;
    const hidden = state.acceptedAt.filter((at) => at > asOf);
    state.acceptedAt = hidden;
    return state.seq - hidden.length;
  }

  /** Starts a life of a host and announces it. */
  #start(host: ServingHost): void {
    this.#hosts.set(host.id, {
      host,
      seq: 0,
      acceptedAt: [],
      joinNumber: 0,
      maxEpoch: 0,
      partners: new Map(),
      stalledAt: undefined,
      membership: undefined,
      members: [],
      loadedModel: undefined,
      staged: [...host.staged],
      link: "up",
      isDraining: false,
      joinDelayMs: 0,
      dropsNextResponse: false,
      nextCommandDelayMs: undefined,
    });
    this.#announce(host.id);
  }

  /** Whether this life of the host has not ended. */
  #isRunning(id: string, state: HostState): boolean {
    return this.#hosts.get(id) === state && state.link !== "crashed";
  }

  #setLink(id: string, link: HostState["link"]): void {
    const state = this.#state(id);
    if (state.link === "crashed") return;
    state.link = link;
    this.#reviewHeads(id);
    if (link === "up") return this.#announce(id);
    this.#timers.after(EXPIRY_MS, () => {
      const isSame = this.#hosts.get(id) === state && state.link === link;
      if (isSame) this.#listener.onWithdrawn(id);
    });
  }

  #announce(id: string): void {
    const state = this.#state(id);
    if (state.link === "up") {
      this.#listener.onAnnounced(this.#toAnnouncement(state));
    }
  }

  #toAnnouncement(state: HostState): ServingHost {
    return {
      ...state.host,
      draining: state.isDraining,
      staged: state.staged,
      models: state.loadedModel === undefined ? [] : [state.loadedModel],
      membership: state.membership,
    };
  }

  #state(id: string): HostState {
    const state = this.#hosts.get(id);
    if (state === undefined) throw new Error(`Unknown host ${id}`);
    return state;
  }

  async #timeOut(): Promise<Outcome<never, HostControlError>> {
    await sleep(this.#timers, TIMEOUT_MS);
    return failure({ kind: "silent", detail: "timeout" });
  }
}

function groupKey(
  { group, epoch }: { readonly group: string; readonly epoch: number },
  members: readonly string[],
): string {
  return `${group}/${epoch}/${members.join()}`;
}

function refused(): Outcome<never, HostControlError> {
  return failure({ kind: "refused", detail: "ECONNREFUSED" });
}

function isInGroup(
  state: HostState,
  command: { readonly group: string; readonly epoch: number },
): boolean {
  return state.membership?.group === command.group &&
    state.membership.epoch === command.epoch;
}
