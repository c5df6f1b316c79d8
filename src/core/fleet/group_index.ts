/**
 * Replica groups, updated with each change of a host.
 *
 * @module
 */
import type { ServingHost } from "../../world/serving_host.ts";
import type { ReplicaGroupView } from "./replica.ts";
import { groupKey } from "./replica.ts";

/**
 * Derives replica groups from hosts' memberships. A change of a host costs time
 * in proportion to its groups, not to the number of hosts.
 */
export class GroupIndex {
  readonly #members = new Map<string, Map<string, ServingHost>>();
  readonly #groups = new Map<string, ReplicaGroupView>();
  /** Ids of members whose announcements have ended. */
  readonly #unlisted = new Set<string>();
  /** Keys of the groups whose views must be derived again. */
  readonly #outdated = new Set<string>();

  /** Replaces a host; each side is undefined if there is no such host. */
  replace(
    previous: ServingHost | undefined,
    current: ServingHost | undefined,
  ): void {
    const id = previous?.id ?? current?.id;
    if (id !== undefined) this.#unlisted.delete(id);
    const oldKey = keyOf(previous);
    if (previous !== undefined && oldKey !== undefined) {
      this.#members.get(oldKey)?.delete(previous.id);
      this.#outdated.add(oldKey);
    }
    const key = keyOf(current);
    if (current === undefined || key === undefined) return;
    const members = this.#members.get(key) ?? new Map();
    members.set(current.id, current);
    this.#members.set(key, members);
    this.#outdated.add(key);
  }

  /** Keeps a host as a member of its group although it is no longer announced. */
  unlist(host: ServingHost): void {
    const key = keyOf(host);
    if (key === undefined) return;
    this.#unlisted.add(host.id);
    this.#outdated.add(key);
  }

  /** Groups by key. */
  get groups(): ReadonlyMap<string, ReplicaGroupView> {
    for (const key of this.#outdated) this.#derive(key);
    this.#outdated.clear();
    return this.#groups;
  }

  #derive(key: string): void {
    const members = this.#members.get(key);
    if (members === undefined || members.size === 0) {
      this.#members.delete(key);
      this.#groups.delete(key);
      return;
    }
    const hosts = [...members.values()];
    const unlisted = hosts.map(({ id }) => id).filter((id) =>
      this.#unlisted.has(id)
    );
    if (unlisted.length < hosts.length) {
      this.#groups.set(key, toGroupView(key, hosts, unlisted));
    } else {
      this.#groups.delete(key);
    }
  }
}

function keyOf(host: ServingHost | undefined): string | undefined {
  if (host?.membership === undefined) return undefined;
  return groupKey(host.membership.group, host.membership.epoch);
}

function toGroupView(
  key: string,
  members: ServingHost[],
  unlisted: readonly string[],
): ReplicaGroupView {
  members.sort((a, b) => (a.membership?.rank ?? 0) - (b.membership?.rank ?? 0));
  const [first] = members;
  const { membership } = first;
  const head = membership?.rank === 0 ? first : undefined;
  return {
    key,
    name: membership?.group ?? "",
    epoch: membership?.epoch ?? 0,
    service: first.service,
    model: (head ?? first).models[0] ?? "",
    state: head?.membership?.state ?? "broken",
    head,
    members,
    unlisted,
  };
}
