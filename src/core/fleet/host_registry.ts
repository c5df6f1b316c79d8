/**
 * Announced hosts, and the replica groups that their announcements form.
 *
 * @module
 */
import type { ServingHost } from "../../world/serving_host.ts";
import type { ReplicaGroupView } from "./replica.ts";
import { GroupIndex } from "./group_index.ts";

/**
 * A host that is missing after an outage is kept for this time, within which a
 * lapsed announcement usually reappears. The time is short, so that a host that
 * has left does not get requests for long.
 */
export const MISSING_HOST_GRACE_MS = 1_800;

/**
 * A member of a group whose announcement has ended without notice remains a member
 * for this time, as long as the group's streams show that it works. A member that
 * leaves without notice stays while the head has work.
 */
export const UNLISTED_MEMBER_MS = 4_000;

interface HostEntry {
  readonly host: ServingHost;
  readonly coldUntil: number;
  /** When the host was first missing after an outage; undefined if listed. */
  missingSince: number | undefined;
}

/** Keeps hosts by id. */
export class HostRegistry {
  readonly #entries = new Map<string, HostEntry>();
  readonly #listeners: (() => void)[] = [];
  readonly #removedAt = new Map<string, number>();
  /** Members of groups whose announcements have ended without notice, by id. */
  readonly #unlisted = new Map<string, ServingHost>();
  readonly #groups = new GroupIndex();
  #byService: Map<string, ServingHost[]> | undefined;

  /** Adds a listener for changes. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Number of hosts. */
  get size(): number {
    return this.#entries.size;
  }

  /** All hosts. */
  *hosts(): Iterable<ServingHost> {
    for (const { host } of this.#entries.values()) yield host;
  }

  /** A host by id. */
  get(id: string): ServingHost | undefined {
    return this.#entries.get(id)?.host;
  }

  /**
   * Monotonic time at which a host was removed, in milliseconds; undefined if
   * the host is listed or was removed more than a minute ago.
   */
  removedAt(id: string): number | undefined {
    return this.#removedAt.get(id);
  }

  /** Monotonic time until which a host is cold, in milliseconds. */
  coldUntil(id: string): number {
    return this.#entries.get(id)?.coldUntil ?? 0;
  }

  /**
   * Replaces all hosts but the `unchanged` ones with a complete listing. After an
   * outage, missing hosts stay for a grace period, as their announcements may only
   * have lapsed.
   */
  replaceAll(
    hosts: readonly ServingHost[],
    now: number,
    afterOutage: boolean,
    unchanged: ReadonlySet<string> = new Set(),
  ): void {
    const listed = new Set(hosts.map((host) => host.id));
    for (const [id, entry] of this.#entries) {
      if (listed.has(id) || unchanged.has(id)) continue;
      if (afterOutage) entry.missingSince ??= now;
      else this.#drop(id, now);
    }
    for (const host of hosts) this.#put(host, now);
    this.#invalidate();
  }

  /** Adds or updates a host. */
  announce(host: ServingHost, now: number): void {
    this.#put(host, now);
    this.#invalidate();
  }

  /**
   * Removes a host whose announcement has ended. After an outage it stays for a
   * grace period.
   */
  withdraw(id: string, now: number, afterOutage: boolean): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    if (afterOutage) entry.missingSince ??= now;
    else this.#drop(id, now);
    this.#invalidate();
  }

  /**
   * Drops missing hosts whose grace period is over, and times of removals that
   * are older than a minute.
   */
  expire(now: number): void {
    let changed = false;
    for (const [id, entry] of this.#entries) {
      const since = entry.missingSince;
      if (since === undefined || now - since < MISSING_HOST_GRACE_MS) continue;
      this.#drop(id, now);
      changed = true;
    }
    for (const [id, host] of this.#unlisted) {
      const since = this.#removedAt.get(id) ?? -Infinity;
      if (now - since < UNLISTED_MEMBER_MS) continue;
      this.#unlisted.delete(id);
      this.#groups.replace(host, undefined);
      changed = true;
    }
    for (const [id, at] of this.#removedAt) {
      if (now - at > 60_000) this.#removedAt.delete(id);
    }
    if (changed) this.#invalidate();
  }

  /** Hosts of a service. */
  ofService(service: string): readonly ServingHost[] {
    if (this.#byService === undefined) {
      this.#byService = new Map();
      for (const { host } of this.#entries.values()) {
        const hosts = this.#byService.get(host.service) ?? [];
        hosts.push(host);
        this.#byService.set(host.service, hosts);
      }
    }
    return this.#byService.get(service) ?? [];
  }

  /** Replica groups by key. */
  get groups(): ReadonlyMap<string, ReplicaGroupView> {
    return this.#groups.groups;
  }

  #put(host: ServingHost, now: number): void {
    this.#removedAt.delete(host.id);
    const previous = this.#entries.get(host.id)?.host ??
      this.#unlisted.get(host.id);
    this.#unlisted.delete(host.id);
    this.#groups.replace(previous, host);
    this.#entries.set(host.id, {
      host,
      coldUntil: host.coldLeftMs > 0 ? now + host.coldLeftMs : 0,
      missingSince: undefined,
    });
  }

  #drop(id: string, now: number): void {
    const host = this.#entries.get(id)?.host;
    if (host !== undefined && mayBeCutOff(host)) {
      this.#unlisted.set(id, host);
      this.#groups.unlist(host);
    } else {
      this.#groups.replace(host, undefined);
    }
    this.#entries.delete(id);
    this.#removedAt.set(id, now);
  }

  #invalidate(): void {
    this.#byService = undefined;
    for (const listener of this.#listeners) listener();
  }
}

/**
 * Whether a host whose announcement has ended may still work in its group. The head
 * of a group receives requests itself, and a host that has left must not.
 */
function mayBeCutOff({ membership, draining }: ServingHost): boolean {
  return membership !== undefined && membership.rank > 0 && !draining &&
    (membership.state === "ready" || membership.state === "open");
}
