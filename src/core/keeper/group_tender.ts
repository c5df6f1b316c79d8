/**
 * The life of one replica group from its joins to its end.
 *
 * @module
 */
import type { EventLog } from "../../base/event_log.ts";
import type { CommandDesk } from "./command_desk.ts";
import type { GroupFormer } from "./group_former.ts";
import type { HostBelief } from "./host_ledger.ts";
import type { KeptGroup } from "./kept_group.ts";
import { isOnlyDraining, isSound } from "./kept_group.ts";
import type { StepPacer } from "./step_pacer.ts";

/** Time beyond a load after which a group that does not form is given up. */
const FORM_MARGIN_MS = 6_000;
/** Longest time for the work of a group that is closed to be finished. */
const FINISH_MS = 1_500;
/**
 * A group goes on for this time after its first member has announced that it
 * leaves: members that leave together are replaced together.
 */
const COLLECT_LEAVING_MS = 1_500;
/** Pause between questions to a group that forms while the store is lost. */
const ASK_FORMING_MS = 100;

/** What tending works with. */
export interface GroupTenderParts {
  readonly desk: CommandDesk;
  readonly former: GroupFormer;
  readonly pacer: StepPacer;
  readonly log: EventLog;
  readonly isStoreLost: () => boolean;
  readonly onChange: () => void;
}

/** Opens, closes and dissolves groups. */
export class GroupTender {
  readonly #desk: CommandDesk;
  readonly #former: GroupFormer;
  readonly #pacer: StepPacer;
  readonly #log: EventLog;
  readonly #isStoreLost: () => boolean;
  readonly #onChange: () => void;
  readonly #closedAt = new Map<string, number>();
  /** When a member was first seen to be leaving, by group. */
  readonly #leavingSince = new Map<string, number>();

  constructor(parts: GroupTenderParts) {
    this.#desk = parts.desk;
    this.#former = parts.former;
    this.#pacer = parts.pacer;
    this.#log = parts.log;
    this.#isStoreLost = parts.isStoreLost;
    this.#onChange = parts.onChange;
  }

  /** Forgets groups that are gone. */
  retain(keys: ReadonlySet<string>): void {
    for (const times of [this.#closedAt, this.#leavingSince]) {
      for (const key of times.keys()) if (!keys.has(key)) times.delete(key);
    }
  }

  /** Does what a group needs; its members stay with it until they have left. */
  tend(group: KeptGroup, now: number): void {
    if (this.#former.isJoining(group.key)) return;
    if (group.members.some(({ host }) => this.#desk.isBusy(host.id))) return;
    if (!isSound(group)) return this.#dissolve(group, now);
    const states = group.members.map((belief) => belief.membership?.state);
    const { head } = group;
    if (head === undefined || head.membership?.state === "open") return;
    if (this.#isStoreLost()) this.#ask(group, now);
    if (states.every((state) => state === "ready")) {
      this.#open(group, head, now);
    } else if (!this.#stillForms(group, now)) {
      this.#dissolve(group, now);
    }
  }

  /** Asks members for what the store would tell. */
  #ask(group: KeptGroup, now: number): void {
    if (!this.#pacer.mayTry(`ask ${group.key}`, now, ASK_FORMING_MS)) return;
    for (const { host } of group.members) {
      this.#desk.refresh(host).then(() => this.#onChange());
    }
  }

  #stillForms(group: KeptGroup, now: number): boolean {
    const loadMs = group.model?.loadMs ?? 0;
    const formedAt = this.#former.formedAt(group, now);
    return now - formedAt < loadMs * 2 + FORM_MARGIN_MS;
  }

  async #open(group: KeptGroup, head: HostBelief, now: number): Promise<void> {
    if (!this.#pacer.mayTry(`open ${group.key}`, now)) return;
    const { name, epoch } = group;
    await this.#desk.send(head.host, { kind: "open", group: name, epoch });
    this.#onChange();
  }

  /** Ends a group: every member that lives leaves, and is free from then on. */
  #dissolve(group: KeptGroup, now: number): void {
    if (isOnlyDraining(group)) {
      if (this.#mayGoOn(group, now)) return;
      if (!this.#isFinished(group, now)) return;
    }
    this.leaveAll(group, now);
  }

  /** Whether a group serves on though members of it are leaving. */
  #mayGoOn(group: KeptGroup, now: number): boolean {
    if (group.head?.host.draining) return false;
    const since = this.#leavingSince.get(group.key) ?? now;
    this.#leavingSince.set(group.key, since);
    return now - since < COLLECT_LEAVING_MS;
  }

  /** Every living member leaves. */
  leaveAll(group: KeptGroup, now: number): void {
    if (!this.#pacer.mayTry(`leave ${group.key}`, now)) return;
    const living = group.members.filter((belief) => !belief.isDead);
    if (living.length === 0) return;
    this.#log.info("group_dissolving", {
      upstream: group.key,
      state: group.head?.membership?.state ?? "no head",
      members: group.members.map(({ host }) => host.id),
      living: living.map(({ host }) => host.id),
    });
    const command = { kind: "leave", group: group.name, epoch: group.epoch };
    for (const { host } of living) {
      this.#desk.send(host, { ...command, kind: "leave" })
        .then(() => this.#onChange());
    }
  }

  /** Closes a group, and tells when its work is done or has had its time. */
  #isFinished(group: KeptGroup, now: number): boolean {
    const { head, key, name, epoch } = group;
    const closedAt = this.#closedAt.get(key);
    if (closedAt !== undefined) {
      const isDone = head?.membership?.state === "ready";
      return isDone || now - closedAt > FINISH_MS;
    }
    if (head === undefined) return true;
    this.#closedAt.set(key, now);
    this.#desk.send(head.host, {
      kind: "close",
      group: name,
      epoch,
      mode: "finish",
    })
      .then(() => this.#onChange());
    return false;
  }

  /** Ends slow groups, so that their hosts can be used. */
  reclaim(
    keys: readonly string[],
    groups: readonly KeptGroup[],
    now: number,
  ): void {
    for (const group of groups) {
      if (!keys.includes(group.key)) continue;
      if (group.members.some(({ host }) => this.#desk.isBusy(host.id))) {
        continue;
      }
      this.leaveAll(group, now);
    }
  }
}
