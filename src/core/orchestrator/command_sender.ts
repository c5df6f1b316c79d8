/**
 * Sends commands to hosts. Each command carries the number of commands that its
 * host is expected to have accepted so far (`seq`); the host rejects the command
 * if its own count differs.
 *
 * @module
 */
import type { EventLog } from "../../base/event_log.ts";
import type { LoopLag } from "../../base/loop_monitor.ts";
import type { Timers } from "../../base/timers.ts";
import { sleep } from "../../base/timers.ts";
import type {
  CommandReply,
  HostCommand,
  HostControl,
} from "../../ports/host_control.ts";
import type { Membership, ServingHost } from "../../world/serving_host.ts";
import type { HostObservation } from "./host_observation.ts";
import type { HostStateTracker } from "./host_state_tracker.ts";
import { SPARE_PREFIX } from "./managed_group.ts";

/** Attempts to send a command before its host is treated as silent. */
const MAX_ATTEMPTS = 4;

/** A host that refused a command is sent no other command for this time. */
const REFUSED_BACKOFF_MS = 400;

/**
 * Pause before a retry if the report after a conflict shows the same command
 * count, as reports lag behind commands by up to this time.
 */
const CONFLICT_RETRY_MS = 150;

/**
 * A missing reply is no sign of a silent host if this process was behind by more
 * than this meanwhile, as it may not have read the reply in time.
 */
const MAX_LAG_MS = 50;

/**
 * Result of a command: "done" if the host accepted it or is already in the
 * requested state, "refused" if the host rejected it or it was not sent, and
 * "silent" if the host did not respond.
 */
export type CommandOutcome = "done" | "refused" | "silent";

/** Dependencies of the command sender. */
export interface CommandSenderDependencies {
  readonly timers: Timers;
  readonly control: HostControl;
  readonly states: HostStateTracker;
  readonly log: EventLog;
  readonly isLeader: () => boolean;
  readonly loopLag: LoopLag;
}

/** Sends one command at a time to each host, and records the outcomes. */
export class CommandSender {
  readonly #deps: CommandSenderDependencies;
  readonly #pending = new Set<string>();
  readonly #pendingReports = new Map<string, Promise<boolean>>();
  readonly #backoffUntil = new Map<string, number>();

  constructor(deps: CommandSenderDependencies) {
    this.#deps = deps;
  }

  /** Whether a command to the host is pending, or was refused recently. */
  isBusy(hostId: string): boolean {
    const backoffUntil = this.#backoffUntil.get(hostId) ?? 0;
    return this.#pending.has(hostId) || backoffUntil > this.#deps.timers.now();
  }

  /**
   * Sends a command until the host replies or attempts run out. Returns
   * "refused" without sending it if another command to the host is pending.
   */
  async send(
    host: ServingHost,
    command: HostCommand,
  ): Promise<CommandOutcome> {
    if (this.#pending.has(host.id)) return "refused";
    this.#pending.add(host.id);
    try {
      const outcome = await this.#sendWithRetries(host, command);
      if (outcome === "refused") {
        this.#backoffUntil.set(
          host.id,
          this.#deps.timers.now() + REFUSED_BACKOFF_MS,
        );
      }
      return outcome;
    } finally {
      this.#pending.delete(host.id);
    }
  }

  /**
   * Requests a report from a host and records it. Returns whether it arrived.
   * `wasRefused` means that the host has just refused a command.
   */
  requestReport(host: ServingHost, wasRefused = false): Promise<boolean> {
    const pending = this.#pendingReports.get(host.id);
    if (pending !== undefined) return pending;
    const request = this.#fetchReport(host, wasRefused).finally(() =>
      this.#pendingReports.delete(host.id)
    );
    this.#pendingReports.set(host.id, request);
    return request;
  }

  async #fetchReport(host: ServingHost, wasRefused: boolean): Promise<boolean> {
    const { control, states, timers } = this.#deps;
    const requestedAt = timers.now();
    const res = await control.report(host);
    if (res.ok) {
      states.recordReport(host, res.value, timers.now(), wasRefused);
      return true;
    }
    const { kind, detail } = res.err;
    if (kind === "silent" && this.#wasBehindSince(requestedAt)) return false;
    if (kind !== "malformed") states.setSilent(host, timers.now());
    this.#deps.log.info("host_silent", { host: host.id, why: kind, detail });
    return false;
  }

  /** Whether this process may have missed replies since a monotonic time. */
  #wasBehindSince(since: number): boolean {
    return this.#deps.loopLag.worstSince(since) > MAX_LAG_MS;
  }

  async #sendWithRetries(
    host: ServingHost,
    command: HostCommand,
  ): Promise<CommandOutcome> {
    const { control, states, timers } = this.#deps;
    const startedAt = timers.now();
    let hasReplied = false;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      if (!this.#deps.isLeader()) return "refused";
      // Retries expect the same count, so that the host rejects an attempt that
      // arrives after another one was accepted.
      const { observation } = states.get(host, timers.now());
      if (observation === undefined) {
        if (!await this.requestReport(host)) break;
        continue;
      }
      if (isFulfilled(command, observation.membership)) return "done";
      // The group may have been unknown when the layout was planned.
      if (isInOtherGroup(command, observation.membership)) return "refused";
      const { seq } = observation;
      const res = await control.command(host, command, seq);
      const reply = res.ok ? res.value : res.err.kind;
      this.#logCommand(host, command, observation, reply);
      if (!res.ok) {
        // The connection was refused or reset: the host probably no longer runs.
        if (res.err.kind === "refused") break;
        continue;
      }
      states.clearSilent(host);
      hasReplied = true;
      if (res.value === "begun" || res.value === "done") {
        // A leave takes effect at once: the host counts it and replies "done".
        const isCounted = res.value === "begun" || command.kind === "leave";
        if (isCounted) {
          states.recordAccepted(host, observation, command, timers.now());
        }
        return "done";
      }
      await this.requestReport(host, true);
      const current = states.get(host, timers.now());
      if (isFulfilled(command, current.membership)) return "done";
      if (res.value !== "conflict") return "refused";
      if (current.observation?.seq === seq) {
        await sleep(timers, CONFLICT_RETRY_MS);
      }
    }
    if (hasReplied || this.#wasBehindSince(startedAt)) return "refused";
    states.setSilent(host, timers.now());
    return "silent";
  }

  #logCommand(
    host: ServingHost,
    command: HostCommand,
    { born, seq, membership, from, at }: HostObservation,
    reply: CommandReply | string,
  ): void {
    this.#deps.log.info("command", {
      host: host.id,
      born,
      expectedSeq: seq,
      answer: reply,
      knownGroup: membership?.group ?? "none",
      knownState: membership?.state,
      knownFrom: from,
      knownAgeMs: Math.round(this.#deps.timers.now() - at),
      ...command,
      command: command.kind,
      kind: undefined,
    });
  }
}

/**
 * Whether a host that should join is in another group, which it must leave
 * first.
 */
function isInOtherGroup(
  command: HostCommand,
  membership: Membership | undefined,
): boolean {
  if (command.kind !== "join" || membership === undefined) return false;
  const isSame = membership.group === command.group &&
    membership.epoch === command.epoch;
  return !isSame && !membership.group.startsWith(SPARE_PREFIX);
}

/** Whether a host already is in the state that a command requests. */
function isFulfilled(
  command: HostCommand,
  membership: Membership | undefined,
): boolean {
  if (command.kind === "stage") return false;
  const isSame = membership !== undefined &&
    membership.group === command.group && membership.epoch === command.epoch;
  if (command.kind === "leave") return !isSame;
  if (command.kind === "join") return isSame;
  if (command.kind === "open") return isSame && membership.state === "open";
  return isSame && membership.state !== "open";
}
