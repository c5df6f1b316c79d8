/**
 * Gives commands to hosts, each valid for one state of the host only.
 *
 * @module
 */
import type { EventLog } from "../../base/event_log.ts";
import type { Timers } from "../../base/timers.ts";
import { sleep } from "../../base/timers.ts";
import type {
  CommandAnswer,
  HostCommand,
  HostControl,
} from "../../ports/host_control.ts";
import type { Membership, ServingHost } from "../../world/serving_host.ts";
import type { HostLedger } from "./host_ledger.ts";
import { SPARE_PREFIX } from "./kept_group.ts";

/** Sendings of one command before its host counts as silent. */
const MAX_SENDS = 4;

/** A host that refused a command gets no other for this time. */
const REST_MS = 400;

/** Reports lag behind commands by up to this time. */
const REPORT_LAG_MS = 150;

/** What became of a command. */
export type CommandOutcome = "done" | "refused" | "silent";

/** What the desk works with. */
export interface CommandDeskParts {
  readonly timers: Timers;
  readonly control: HostControl;
  readonly ledger: HostLedger;
  readonly log: EventLog;
  readonly isActing: () => boolean;
}

/** Sends one command at a time to each host, and keeps the ledger. */
export class CommandDesk {
  readonly #parts: CommandDeskParts;
  readonly #busy = new Set<string>();
  readonly #asking = new Map<string, Promise<boolean>>();
  readonly #restUntil = new Map<string, number>();

  constructor(parts: CommandDeskParts) {
    this.#parts = parts;
  }

  /** Whether a command to the host has not been settled, or was refused. */
  isBusy(hostId: string): boolean {
    const restUntil = this.#restUntil.get(hostId) ?? 0;
    return this.#busy.has(hostId) || restUntil > this.#parts.timers.now();
  }

  /** Sends a command until the host answers, within bounds. */
  async send(
    host: ServingHost,
    command: HostCommand,
  ): Promise<CommandOutcome> {
    if (this.#busy.has(host.id)) return "refused";
    this.#busy.add(host.id);
    try {
      const outcome = await this.#settle(host, command);
      if (outcome === "refused") {
        this.#restUntil.set(host.id, this.#parts.timers.now() + REST_MS);
      }
      return outcome;
    } finally {
      this.#busy.delete(host.id);
    }
  }

  /** Asks a host for its state. Returns whether it answered. */
  refresh(host: ServingHost, isRefused = false): Promise<boolean> {
    const known = this.#asking.get(host.id);
    if (known !== undefined) return known;
    const asking = this.#ask(host, isRefused).finally(() =>
      this.#asking.delete(host.id)
    );
    this.#asking.set(host.id, asking);
    return asking;
  }

  async #ask(host: ServingHost, isRefused: boolean): Promise<boolean> {
    const { control, ledger, timers } = this.#parts;
    const res = await control.report(host);
    if (res.ok) ledger.reported(host, res.value, timers.now(), isRefused);
    else if (res.err.kind !== "malformed") ledger.silent(host, timers.now());
    if (!res.ok) {
      const { kind, detail } = res.err;
      this.#parts.log.info("host_silent", { host: host.id, why: kind, detail });
    }
    return res.ok;
  }

  async #settle(
    host: ServingHost,
    command: HostCommand,
  ): Promise<CommandOutcome> {
    const { control, ledger, timers } = this.#parts;
    let isAnswered = false;
    for (let sends = 1; sends <= MAX_SENDS; sends++) {
      if (!this.#parts.isActing()) return "refused";
      // The same count voids a command that was lost and comes late.
      const { seq, membership } = ledger.belief(host, timers.now());
      if (seq === undefined) {
        if (!await this.refresh(host)) break;
        continue;
      }
      // A report may have shown a group that the plan did not know of.
      if (isTaken(command, membership)) return "refused";
      const res = await control.command(host, command, seq);
      this.#log(host, command, seq, res.ok ? res.value : res.err.kind);
      if (!res.ok) {
        if (res.err.kind === "refused") break;
        continue;
      }
      ledger.answered(host);
      isAnswered = true;
      if (res.value === "begun" || res.value === "done") {
        // A leave is done at once and counted, so its answer says "done".
        const isCounted = res.value === "begun" || command.kind === "leave";
        if (isCounted) this.#accepted(host, command, seq);
        return "done";
      }
      await this.refresh(host, true);
      const now = ledger.belief(host, timers.now());
      if (isFulfilled(command, now.membership)) return "done";
      if (res.value !== "conflict") return "refused";
      if (now.seq === seq) await sleep(timers, REPORT_LAG_MS);
    }
    if (isAnswered) return "refused";
    ledger.silent(host, timers.now());
    return "silent";
  }

  #accepted(host: ServingHost, command: HostCommand, seq: number): void {
    const { ledger, timers } = this.#parts;
    const before = ledger.belief(host, timers.now()).membership;
    const after = membershipAfter(host, command, before);
    ledger.accepted(host, seq, after, timers.now());
    if (command.kind === "join") ledger.joined(host, command.model);
  }

  #log(
    host: ServingHost,
    command: HostCommand,
    expectedSeq: number,
    answer: CommandAnswer | string,
  ): void {
    this.#parts.log.info("command", {
      host: host.id,
      expectedSeq,
      answer,
      ...command,
      command: command.kind,
      kind: undefined,
    });
  }
}

function membershipAfter(
  host: ServingHost,
  command: HostCommand,
  before: Membership | undefined,
): Membership | undefined {
  switch (command.kind) {
    case "join":
      return {
        group: command.group,
        epoch: command.epoch,
        rank: command.members.indexOf(host.id),
        state: "joining",
      };
    case "open":
      return before && { ...before, state: "open" };
    case "close":
      return before && { ...before, state: "closing" };
    case "leave":
      return undefined;
    case "stage":
      return before;
  }
}

/** Whether a host that is to join is in another group, which it must leave first. */
function isTaken(
  command: HostCommand,
  membership: Membership | undefined,
): boolean {
  if (command.kind !== "join" || membership === undefined) return false;
  const isSame = membership.group === command.group &&
    membership.epoch === command.epoch;
  return !isSame && !membership.group.startsWith(SPARE_PREFIX);
}

/** Whether a host is where the command wants it. */
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
