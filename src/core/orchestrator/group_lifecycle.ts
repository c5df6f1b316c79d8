/**
 * Lifecycle of replica groups, from the joins until the members have left.
 *
 * @module
 */
import type { EventLog } from "../../base/event_log.ts";
import type { CommandSender } from "./command_sender.ts";
import type { LayoutExecutor } from "./layout_executor.ts";
import type { TrackedHost } from "./host_state_tracker.ts";
import type { ManagedGroup } from "./managed_group.ts";
import { isHealthy, isOnlyDraining } from "./managed_group.ts";
import type { RetryLimiter } from "./retry_limiter.ts";

/**
 * A group is dissolved if it has not formed within twice its model's load time
 * plus this margin.
 */
const FORM_TIMEOUT_MARGIN_MS = 6_000;
/** Longest wait for a closed group to finish its requests. */
const DRAIN_TIMEOUT_MS = 1_500;
/**
 * A group keeps serving for this time after its first member has started to
 * drain, so that members that leave together are replaced together.
 */
const LEAVE_BATCH_MS = 1_500;
/**
 * Interval of report requests to a forming group while the store is
 * unreachable.
 */
const FORMING_REPORT_MS = 100;

/** Dependencies of the group lifecycle. */
export interface GroupLifecycleDependencies {
  readonly sender: CommandSender;
  readonly executor: LayoutExecutor;
  readonly retry: RetryLimiter;
  readonly log: EventLog;
  readonly isStoreUnreachable: () => boolean;
  /** Whether a group serves although a member's announcement has ended. */
  readonly servesUnlisted: (key: string) => boolean;
  /** Called after a command or a report, which may allow further steps. */
  readonly onChange: () => void;
}

/** Opens, closes and dissolves groups. */
export class GroupLifecycle {
  readonly #sender: CommandSender;
  readonly #executor: LayoutExecutor;
  readonly #retry: RetryLimiter;
  readonly #log: EventLog;
  readonly #isStoreUnreachable: () => boolean;
  readonly #servesUnlisted: (key: string) => boolean;
  readonly #onChange: () => void;
  /** Time at which a group was sent the command to close, by group. */
  readonly #closedAt = new Map<string, number>();
  /** Time at which a member was first seen draining, by group. */
  readonly #drainingSince = new Map<string, number>();

  constructor(deps: GroupLifecycleDependencies) {
    this.#sender = deps.sender;
    this.#executor = deps.executor;
    this.#retry = deps.retry;
    this.#log = deps.log;
    this.#isStoreUnreachable = deps.isStoreUnreachable;
    this.#servesUnlisted = deps.servesUnlisted;
    this.#onChange = deps.onChange;
  }

  /** Drops the times of groups that no longer exist. */
  retain(keys: ReadonlySet<string>): void {
    for (const times of [this.#closedAt, this.#drainingSince]) {
      for (const key of times.keys()) if (!keys.has(key)) times.delete(key);
    }
  }

  /**
   * Sends the commands for a group's next step: to open, close or leave. A host
   * remains a member until it is known to have left.
   */
  reconcile(group: ManagedGroup, now: number): void {
    if (this.#executor.isJoining(group.key)) return;
    if (group.members.some(({ host }) => this.#sender.isBusy(host.id))) return;
    if (!isHealthy(group)) return this.#dissolve(group, now);
    const states = group.members.map((member) => member.membership?.state);
    const { head } = group;
    if (head === undefined || head.membership?.state === "open") return;
    if (this.#isStoreUnreachable()) this.#requestReports(group, now);
    if (states.every((state) => state === "ready")) {
      this.#open(group, head, now);
    } else if (!this.#isWithinFormTimeout(group, now)) {
      this.#dissolve(group, now);
    }
  }

  /** Requests the members' states, which the store can't deliver. */
  #requestReports(group: ManagedGroup, now: number): void {
    if (!this.#retry.allow(`report ${group.key}`, now, FORMING_REPORT_MS)) {
      return;
    }
    for (const { host } of group.members) {
      this.#sender.requestReport(host).then(() => this.#onChange());
    }
  }

  #isWithinFormTimeout(group: ManagedGroup, now: number): boolean {
    const loadMs = group.model?.loadMs ?? 0;
    const formingSince = this.#executor.formingSince(group, now);
    return now - formingSince < loadMs * 2 + FORM_TIMEOUT_MARGIN_MS;
  }

  async #open(
    group: ManagedGroup,
    head: TrackedHost,
    now: number,
  ): Promise<void> {
    if (!this.#retry.allow(`open ${group.key}`, now)) return;
    const { name, epoch } = group;
    await this.#sender.send(head.host, {
      kind: "open",
      group: name,
      epoch,
    });
    this.#onChange();
  }

  /**
   * Dissolves a group: every responsive member leaves and becomes free. If
   * draining members are the only problem, the group may first serve a little
   * longer, and finishes its requests.
   */
  #dissolve(group: ManagedGroup, now: number): void {
    if (isServing(group) && this.#servesUnlisted(group.key)) return;
    if (isOnlyDraining(group)) {
      if (this.#mayKeepServing(group, now)) return;
      if (!this.#closeAndCheckDrained(group, now)) return;
    }
    this.sendLeaveCommands(group, now);
  }

  /** Whether a group keeps serving although some members are draining. */
  #mayKeepServing(group: ManagedGroup, now: number): boolean {
    if (group.head?.host.draining) return false;
    const since = this.#drainingSince.get(group.key) ?? now;
    this.#drainingSince.set(group.key, since);
    return now - since < LEAVE_BATCH_MS;
  }

  /** Sends every responsive member the command to leave. */
  sendLeaveCommands(group: ManagedGroup, now: number): void {
    if (!this.#retry.allow(`leave ${group.key}`, now)) return;
    const responsive = group.members.filter((member) => !member.isSilent);
    if (responsive.length === 0) return;
    this.#log.info("group_dissolving", {
      upstream: group.key,
      state: group.head?.membership?.state ?? "no head",
      members: group.members.map(({ host }) => host.id),
      living: responsive.map(({ host }) => host.id),
    });
    const command = { kind: "leave", group: group.name, epoch: group.epoch };
    for (const { host } of responsive) {
      this.#sender.send(host, { ...command, kind: "leave" })
        .then(() => this.#onChange());
    }
  }

  /**
   * Closes a group at the first call. Returns whether its requests have
   * finished or timed out.
   */
  #closeAndCheckDrained(group: ManagedGroup, now: number): boolean {
    const { head, key, name, epoch } = group;
    const closedAt = this.#closedAt.get(key);
    if (closedAt !== undefined) {
      // The head of a closed group is ready again once its requests have ended.
      const isDone = head?.membership?.state === "ready";
      return isDone || now - closedAt > DRAIN_TIMEOUT_MS;
    }
    if (head === undefined) return true;
    this.#closedAt.set(key, now);
    this.#sender.send(head.host, {
      kind: "close",
      group: name,
      epoch,
      mode: "finish",
    })
      .then(() => this.#onChange());
    return false;
  }

  /** Dissolves cross-domain groups, so that their hosts can be reused. */
  reclaim(
    keys: readonly string[],
    groups: readonly ManagedGroup[],
    now: number,
  ): void {
    for (const group of groups) {
      if (!keys.includes(group.key)) continue;
      if (group.members.some(({ host }) => this.#sender.isBusy(host.id))) {
        continue;
      }
      this.sendLeaveCommands(group, now);
    }
  }
}

/** Whether a group is open and its remaining members respond. */
function isServing({ head, members }: ManagedGroup): boolean {
  return head?.membership?.state === "open" && !head.host.draining &&
    members.every((member) => !member.isSilent);
}
