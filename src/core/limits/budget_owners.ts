/**
 * Which gateway owns a cold upstream's budget, and since when safely.
 *
 * @module
 */
import { rendezvousOrder } from "../../base/hash.ts";
import type { GatewayMember } from "../../world/configuration.ts";
import { SHARE_TTL_MS } from "./slot_owner.ts";

/** An earlier list of gateways and when it was replaced. */
interface FormerMembers {
  readonly ids: readonly string[];
  readonly replacedAt: number;
}

/** Finds owners by rendezvous hashing over the listed gateways. */
export class BudgetOwners {
  readonly #selfId: string;
  /** Longest time that a process acts on an old list, in milliseconds. */
  readonly #staleMs: number;
  #former: FormerMembers[] = [];
  #ids: readonly string[] = [];
  /** Ids and incarnations of the listed gateways. */
  #key = "";

  constructor(selfId: string, staleMs: number) {
    this.#selfId = selfId;
    this.#staleMs = staleMs;
  }

  /** Listed gateways; the same object while the list stays. */
  get memberIds(): readonly string[] {
    return this.#ids;
  }

  /** Takes a list of gateways that came into force at `now`. */
  membersChanged(members: readonly GatewayMember[], now: number): void {
    const key = members.map((m) => `${m.id}/${m.incarnation}`).join(",");
    if (key === this.#key) return;
    const longest = this.#staleMs + SHARE_TTL_MS;
    this.#former = this.#former.filter((f) => now - f.replacedAt < longest);
    this.#former.push({ ids: this.#ids, replacedAt: now });
    this.#ids = members.map((member) => member.id);
    this.#key = key;
  }

  /** The owner of an upstream's budget; undefined when no gateway is listed. */
  ownerOf(upstreamId: string): string | undefined {
    return rendezvousOrder(upstreamId, this.#ids)[0];
  }

  /** Time from which no earlier owner's shares of the upstream are usable. */
  ownedFrom(upstreamId: string): number {
    let from = -Infinity;
    for (const former of this.#former) {
      const [owner] = rendezvousOrder(upstreamId, former.ids);
      if (owner === this.#selfId) continue;
      from = Math.max(from, former.replacedAt + this.#staleMs + SHARE_TTL_MS);
    }
    return from;
  }
}
