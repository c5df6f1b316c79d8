/**
 * Budgets of cold upstreams as one gateway holds and owns them.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { Configuration } from "../../world/configuration.ts";
import { CONFIG_STALE_MS } from "../configuration/config_replica.ts";
import type { DecisionLog } from "../gateway/decision_log.ts";
import type { PeerNetwork, SyncMessage } from "../membership/messages.ts";
import type { UpstreamEntry } from "../routing/upstream_entry.ts";
import { BudgetOwners } from "./budget_owners.ts";
import { SlotHolder } from "./slot_holder.ts";
import type { ShareReply, ShareRequest } from "./slot_owner.ts";
import { SlotOwner } from "./slot_owner.ts";

/** A first byte this many times slower than usual means a cold upstream. */
const COLD_JUMP_FACTOR = 2.5;
/** Shortest first byte that counts as a jump. */
const COLD_JUMP_MIN_MS = 400;

/** What the budgets work with. */
export interface ColdBudgetsParts {
  readonly timers: Timers;
  readonly network: PeerNetwork;
  readonly log: DecisionLog;
  readonly selfId: string;
  readonly cfg: () => Configuration;
  /** Whether this gateway's copy of the configuration is confirmed. */
  readonly mayServe: () => boolean;
  /** Called when peers must hear at once that an upstream is cold. */
  onCooled(): void;
  /** Called when more requests may fit. */
  onShares(): void;
}

/** An attempt as the detection of cold upstreams sees it. */
export interface WaitingAttempt {
  readonly gotData: boolean;
  readonly startedAt: number;
}

/** Asks owners for shares, answers as an owner, and notices what has cooled. */
export class ColdBudgets {
  readonly holder = new SlotHolder();
  readonly owners: BudgetOwners;
  readonly #parts: ColdBudgetsParts;
  readonly #owner = new SlotOwner();

  constructor(parts: ColdBudgetsParts) {
    this.#parts = parts;
    this.owners = new BudgetOwners(parts.selfId, CONFIG_STALE_MS);
  }

  /** Answers a gateway that wants slots of an upstream owned here. */
  answer(req: ShareRequest): ShareReply {
    const now = this.#parts.timers.now();
    const refused = { share: 0, warm: false };
    const owner = this.owners.ownerOf(req.upstreamId);
    if (owner !== this.#parts.selfId || !this.#parts.mayServe()) return refused;
    if (this.holder.warm.has(req.upstreamId)) return { share: 0, warm: true };
    const openAt = this.owners.ownedFrom(req.upstreamId);
    return this.#owner.request(req, now, openAt);
  }

  /** Asks the owners of all upstreams whose shares are wanted or in use. */
  askForShares(): void {
    const now = this.#parts.timers.now();
    for (const id of this.holder.toAsk(now)) this.#ask(id, now);
  }

  /** Finds upstreams whose first byte takes far longer than it used to. */
  detectCold(entry: UpstreamEntry, attempts: Iterable<WaitingAttempt>): void {
    const { id } = entry.upstream;
    const usual = entry.firstByteMs;
    if (usual === undefined || !this.holder.warm.has(id)) return;
    const now = this.#parts.timers.now();
    const limit = Math.max(COLD_JUMP_MIN_MS, usual * COLD_JUMP_FACTOR);
    for (const attempt of attempts) {
      if (attempt.gotData || now - attempt.startedAt <= limit) continue;
      this.#coolDown(id, now);
      this.#parts.log.decided({
        kind: "cool_down",
        upstream: id,
        reason: "The first byte takes far longer than usual",
      });
      this.#parts.onCooled();
      return;
    }
  }

  /** Takes what a peer knows to be warm or to have cooled. */
  takeNews(msg: Pick<SyncMessage, "warm" | "cold">): void {
    const now = this.#parts.timers.now();
    for (const id of msg.cold) {
      if (this.holder.warm.has(id)) this.#coolDown(id, now);
    }
    const cold = new Set(msg.cold);
    for (const id of msg.warm) {
      if (!cold.has(id)) this.holder.learnWarm(id, now);
    }
  }

  /** Forgets upstreams that no longer exist. */
  retain(upstreamIds: ReadonlySet<string>): void {
    this.holder.retain(upstreamIds);
    this.#owner.retain(upstreamIds);
  }

  #coolDown(upstreamId: string, now: number): void {
    this.holder.coolDown(upstreamId, now);
    this.#owner.coolDown(upstreamId);
  }

  async #ask(upstreamId: string, now: number): Promise<void> {
    const owner = this.owners.ownerOf(upstreamId);
    const req: ShareRequest = {
      gatewayId: this.#parts.selfId,
      upstreamId,
      inUse: this.holder.inUse(upstreamId),
      wanted: this.holder.wanted(upstreamId, now),
      completed: this.holder.completed(upstreamId),
    };
    if (owner === this.#parts.selfId) {
      this.holder.answered(upstreamId, this.answer(req), now);
      return;
    }
    const member = this.#parts.cfg().gateways.find((g) => g.id === owner);
    if (member === undefined) return;
    this.holder.asking(upstreamId);
    const res = await this.#parts.network.requestShare(member, req);
    this.holder.answered(upstreamId, res.ok ? res.value : undefined, now);
    this.#parts.onShares();
  }
}
