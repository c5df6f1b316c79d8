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

interface HostState {
  /** The host as it was added; later changes are in the other fields. */
  readonly host: ServingHost;
  /** Commands accepted since the start. */
  seq: number;
  membership: Membership | undefined;
  /** Host ids of the group last joined, the head first. */
  members: readonly string[];
  /** Model that is loaded in memory, also after the host left its group. */
  loadedModel: string | undefined;
  /** Models whose weights are staged on the host. */
  staged: string[];
  /** An isolated host can be reached by its group only. */
  link: "up" | "down" | "isolated";
  isDraining: boolean;
  /** Delay added to each join, in milliseconds. */
  joinDelayMs: number;
  /** Whether the next command is executed but its response is lost. */
  dropsNextResponse: boolean;
}

/** A violation of a rule of groups; `at` is in milliseconds. */
export interface GroupBreach {
  readonly rule:
    /** The host joined a group while its current group was serving. */
    | "two_groups"
    /** The host opened a group some of whose members were not present. */
    | "partial_group";
  readonly host: string;
  readonly at: number;
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

  constructor(
    timers: Timers,
    models: readonly EngineModel[],
    listener: EngineHostsListener,
  ) {
    this.#timers = timers;
    this.#models = new Map(models.map((model) => [model.name, model]));
    this.#listener = listener;
  }

  /** Adds a host that has no weights loaded. */
  add(id: string, domain: string, zone: string): void {
    const host: ServingHost = {
      id,
      service: "pool",
      address: `${id}:1`,
      zone,
      slots: 18,
      draining: false,
      coldLeftMs: 0,
      born: 1,
      domain,
      staged: [],
      models: [],
      membership: undefined,
    };
    this.#hosts.set(id, {
      host,
      seq: 0,
      membership: undefined,
      members: [],
      loadedModel: undefined,
      staged: [],
      link: "up",
      isDraining: false,
      joinDelayMs: 0,
      dropsNextResponse: false,
    });
    this.#announce(id);
  }

  /**
   * Makes the host unresponsive, also to its group. The host's announcement
   * expires after three heartbeats.
   */
  stopResponding(id: string): void {
    this.#state(id).link = "down";
    this.#timers.after(3_600, () => {
      if (this.#state(id).link === "down") this.#listener.onWithdrawn(id);
    });
  }

  /**
   * Isolates the host from all but its group, in which it continues to serve.
   * The host can't renew its announcement, which expires after three heartbeats.
   */
  isolate(id: string): void {
    this.#state(id).link = "isolated";
    this.#timers.after(3_600, () => {
      if (this.#state(id).link === "isolated") this.#listener.onWithdrawn(id);
    });
  }

  /** Restores the host's connections and announces it again. */
  restore(id: string): void {
    this.#state(id).link = "up";
    this.#announce(id);
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

  /** Groups whose head is open and whose members are all present. */
  get servingGroups(): { model: string; members: readonly string[] }[] {
    return [...this.#hosts.values()].flatMap((state) => {
      const { membership, members, link } = state;
      const isOpenHead = membership?.rank === 0 && membership.state === "open";
      if (!isOpenHead || link === "down") return [];
      const isComplete = members.every((id) => this.#isPresent(id, membership));
      return isComplete ? [{ model: state.loadedModel ?? "", members }] : [];
    });
  }

  async report(host: HostRef): Promise<Outcome<HostReport, HostControlError>> {
    const state = this.#state(host.id);
    if (state.link !== "up") return await this.#timeOut();
    await sleep(this.#timers, RESPONSE_MS);
    return success({
      seq: state.seq,
      born: 1,
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
    if (state.link !== "up") return await this.#timeOut();
    await sleep(this.#timers, RESPONSE_MS);
    const result = expectedSeq !== undefined && expectedSeq !== state.seq
      ? "conflict"
      : this.#apply(host.id, state, command);
    if (!state.dropsNextResponse) return success(result);
    state.dropsNextResponse = false;
    return await this.#timeOut();
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
        state.seq += 1;
        state.membership = undefined;
        this.#announce(id);
        return "done";
      case "close":
        if (!isInGroup(state, command)) return "conflict";
        state.seq += 1;
        this.#setMembershipState(id, state, "ready");
        return "begun";
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
    if ((state.membership?.epoch ?? 0) > epoch) return "stale";
    this.#checkNotServing(id, state);
    state.seq += 1;
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
    this.#timers.after(joinMs + state.joinDelayMs, () => {
      if (state.seq !== seq) return;
      state.loadedModel = model;
      state.staged = [model];
      this.#setMembershipState(id, state, "ready");
    });
    return "begun";
  }

  /**
   * Records a breach if the host is in a group whose head serves. Called when
   * the host joins a group.
   */
  #checkNotServing(id: string, state: HostState): void {
    const { membership, members } = state;
    if (membership === undefined) return;
    const head = this.#hosts.get(members[0]);
    const headMembership = head?.membership;
    const isServing = head?.link !== "down" &&
      headMembership?.group === membership.group &&
      (headMembership.state === "open" || headMembership.state === "closing");
    if (isServing) this.#recordBreach("two_groups", id);
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
    const isComplete = members.every((member) =>
      this.#isPresent(member, membership)
    );
    if (!isComplete) this.#recordBreach("partial_group", id);
    state.seq += 1;
    const { seq } = state;
    this.#timers.after(FORMATION_MS, () => {
      if (state.seq === seq) this.#setMembershipState(id, state, "open");
    });
    return "begun";
  }

  #stage(id: string, state: HostState, model: string): CommandReply {
    state.seq += 1;
    this.#timers.after(this.#models.get(model)?.loadMs ?? 0, () => {
      state.staged = [model];
      this.#announce(id);
    });
    return "begun";
  }

  #isPresent(id: string, membership: Membership): boolean {
    const state = this.#hosts.get(id);
    return state?.link !== "down" &&
      state?.membership?.group === membership.group &&
      state.membership.state !== "joining";
  }

  #setMembershipState(
    id: string,
    state: HostState,
    next: Membership["state"],
  ): void {
    if (state.membership === undefined) return;
    state.membership = { ...state.membership, state: next };
    this.#announce(id);
  }

  #recordBreach(rule: GroupBreach["rule"], host: string): void {
    this.breaches.push({ rule, host, at: this.#timers.now() });
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

function isInGroup(
  state: HostState,
  command: { readonly group: string; readonly epoch: number },
): boolean {
  return state.membership?.group === command.group &&
    state.membership.epoch === command.epoch;
}
