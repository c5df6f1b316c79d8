/**
 * Determines which gateway owns a cold upstream's budget, and from when it may
 * grant slots.
 *
 * @module
 */
import { rendezvousOrder } from "../../base/hash.ts";
import type { GatewayMember } from "../../world/configuration.ts";
import { SHARE_TTL_MS } from "./share_allocator.ts";

/** An earlier list of gateways and when it was replaced. */
interface PreviousMembers {
  readonly ids: readonly string[];
  readonly replacedAt: number;
}

/** Assigns owners by rendezvous hashing over the listed gateways. */
export class BudgetOwners {
  readonly #selfId: string;
  /** Longest time that a process uses an outdated list, in milliseconds. */
  readonly #maxStaleMs: number;
  #previous: PreviousMembers[] = [];
  #memberIds: readonly string[] = [];
  /** Ids and incarnations of the listed gateways. */
  #membersKey = "";

  constructor(selfId: string, maxStaleMs: number) {
    this.#selfId = selfId;
    this.#maxStaleMs = maxStaleMs;
  }

  /** Ids of the listed gateways; the same array until the list changes. */
  get memberIds(): readonly string[] {
    return this.#memberIds;
  }

  /** Sets the list of gateways that applies from `now`. */
  setMembers(members: readonly GatewayMember[], now: number): void {
    const key = members.map((m) => `${m.id}/${m.incarnation}`).join(",");
    if (key === this.#membersKey) return;
    const retentionMs = this.#maxStaleMs + SHARE_TTL_MS;
    this.#previous = this.#previous.filter((list) =>
      now - list.replacedAt < retentionMs
    );
    this.#previous.push({ ids: this.#memberIds, replacedAt: now });
    this.#memberIds = members.map((member) => member.id);
    this.#membersKey = key;
  }

  /** Returns the owner of a budget; undefined when no gateway is listed. */
  ownerOf(upstreamId: string): string | undefined {
    return rendezvousOrder(upstreamId, this.#memberIds)[0];
  }

  /**
   * Returns the time from which this gateway may grant slots of a budget that it
   * owns: when the last share granted by an earlier owner has expired. -Infinity
   * if there was no earlier owner.
   */
  grantsFrom(upstreamId: string): number {
    let from = -Infinity;
    for (const previous of this.#previous) {
      // An empty list, such as the one before the first configuration, has no known
      // owner and counts as owned by another gateway.
      const [owner] = rendezvousOrder(upstreamId, previous.ids);
      if (owner === this.#selfId) continue;
      from = Math.max(
        from,
        previous.replacedAt + this.#maxStaleMs + SHARE_TTL_MS,
      );
    }
    return from;
  }
}
