/**
 * Concurrency budgets of cold upstreams: the shares that a gateway holds and the
 * budgets that it owns. A slot of a budget admits one concurrent request.
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
import { GatewayShares } from "./gateway_shares.ts";
import type { ShareRequest, ShareResponse } from "./share_allocator.ts";
import { ShareAllocator } from "./share_allocator.ts";

/**
 * An upstream is cold when its first byte is this many times slower than usual.
 */
const COLD_LATENCY_FACTOR = 2.5;
/** Shortest first-byte latency that can mark an upstream cold. */
const COLD_LATENCY_MIN_MS = 400;

/** Dependencies of the budgets. */
export interface ColdBudgetsDependencies {
  readonly timers: Timers;
  readonly network: PeerNetwork;
  readonly log: DecisionLog;
  readonly selfId: string;
  readonly cfg: () => Configuration;
  /** Whether this gateway's copy of the configuration is confirmed. */
  readonly mayServe: () => boolean;
  /** Called when an upstream turned cold, so that peers are informed at once. */
  onCooled(): void;
  /** Called when a share changed, so that more requests may start. */
  onSharesUpdated(): void;
}

/** Properties of an attempt from which cold upstreams are detected. */
export interface AttemptTiming {
  readonly hasData: boolean;
  readonly startedAt: number;
}

/**
 * Requests shares from owners, handles share requests as an owner, and detects
 * upstreams that turned cold.
 */
export class ColdBudgets {
  readonly shares = new GatewayShares();
  readonly owners: BudgetOwners;
  readonly #deps: ColdBudgetsDependencies;
  readonly #allocator = new ShareAllocator();

  constructor(deps: ColdBudgetsDependencies) {
    this.#deps = deps;
    this.owners = new BudgetOwners(deps.selfId, CONFIG_STALE_MS);
  }

  /**
   * Handles a gateway's request for slots of an upstream whose budget is owned
   * here.
   */
  handleShareRequest(req: ShareRequest): ShareResponse {
    const now = this.#deps.timers.now();
    const refusal = { share: 0, warm: false };
    const owner = this.owners.ownerOf(req.upstreamId);
    if (owner !== this.#deps.selfId || !this.#deps.mayServe()) return refusal;
    if (this.shares.warm.has(req.upstreamId)) return { share: 0, warm: true };
    const grantsFrom = this.owners.grantsFrom(req.upstreamId);
    return this.#allocator.allocate(req, now, grantsFrom);
  }

  /** Requests a share of each cold upstream that this gateway needs or uses. */
  requestShares(): void {
    const now = this.#deps.timers.now();
    for (const id of this.shares.dueUpstreams(now)) this.#requestShare(id, now);
  }

  /** Marks an upstream cold when a first byte takes far longer than usual. */
  detectCold(entry: UpstreamEntry, attempts: Iterable<AttemptTiming>): void {
    const { id } = entry.upstream;
    const typicalMs = entry.firstByteMs;
    if (typicalMs === undefined || !this.shares.warm.has(id)) return;
    const now = this.#deps.timers.now();
    const thresholdMs = Math.max(
      COLD_LATENCY_MIN_MS,
      typicalMs * COLD_LATENCY_FACTOR,
    );
    for (const attempt of attempts) {
      if (attempt.hasData || now - attempt.startedAt <= thresholdMs) continue;
      this.#coolDown(id, now);
      this.#deps.log.record({
        kind: "cool_down",
        upstream: id,
        reason: "The first byte takes far longer than usual",
      });
      this.#deps.onCooled();
      return;
    }
  }

  /** Applies a peer's lists of warm and recently cooled upstreams. */
  applyPeerState(msg: Pick<SyncMessage, "warm" | "cold">): void {
    const now = this.#deps.timers.now();
    for (const id of msg.cold) {
      if (this.shares.warm.has(id)) this.#coolDown(id, now);
    }
    const cold = new Set(msg.cold);
    for (const id of msg.warm) {
      if (!cold.has(id)) this.shares.markWarm(id, now);
    }
  }

  /** Drops upstreams that no longer exist. */
  retain(upstreamIds: ReadonlySet<string>): void {
    this.shares.retain(upstreamIds);
    this.#allocator.retain(upstreamIds);
  }

  #coolDown(upstreamId: string, now: number): void {
    this.shares.coolDown(upstreamId, now);
    this.#allocator.coolDown(upstreamId);
  }

  async #requestShare(upstreamId: string, now: number): Promise<void> {
    const owner = this.owners.ownerOf(upstreamId);
    const req: ShareRequest = {
      gatewayId: this.#deps.selfId,
      upstreamId,
      inUse: this.shares.inUse(upstreamId),
      wanted: this.shares.wanted(upstreamId, now),
      completed: this.shares.completed(upstreamId),
    };
    if (owner === this.#deps.selfId) {
      this.shares.applyResponse(upstreamId, this.handleShareRequest(req), now);
      return;
    }
    const member = this.#deps.cfg().gateways.find((g) => g.id === owner);
    if (member === undefined) return;
    this.shares.markRequestPending(upstreamId);
    const res = await this.#deps.network.requestShare(member, req);
    this.shares.applyResponse(upstreamId, res.ok ? res.value : undefined, now);
    this.#deps.onSharesUpdated();
  }
}
