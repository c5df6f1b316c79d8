/**
 * The owner's side of a cold upstream's budget.
 *
 * @module
 */

/** How long a share may be used after it was asked for. */
export const SHARE_TTL_MS = 1_500;
/** How long slots of a silent gateway stay taken: the longest request. */
export const SLOT_HOLD_MS = 30_000;
/** Concurrent requests that any upstream bears right after its start. */
export const COLD_START_LIMIT = 2;
/** Completed requests after which an upstream counts as warm. */
export const WARM_AFTER_COMPLETED = 24;

/** A gateway's request for a share of one upstream's budget. */
export interface ShareRequest {
  readonly gatewayId: string;
  readonly upstreamId: string;
  readonly inUse: number;
  readonly wanted: number;
  /** Requests this gateway saw completed on the upstream since it is cold. */
  readonly completed: number;
}

/** The owner's answer. */
export interface ShareReply {
  /** Concurrent requests the gateway may have on the upstream. */
  readonly share: number;
  readonly warm: boolean;
}

interface GatewayUsage {
  share: number;
  inUse: number;
  completed: number;
  lastRequestAt: number;
}

interface Budget {
  readonly grantsFrom: number;
  readonly usageByGateway: Map<string, GatewayUsage>;
  /** Completions reported by gateways that are gone. */
  warm: boolean;
}

/**
 * Hands out shares of each cold upstream that this gateway owns. The sum of all
 * shares and of requests still running never exceeds the budget, which grows by
 * one slot with each completed request.
 */
export class SlotOwner {
  readonly #budgets = new Map<string, Budget>();

  /**
   * Answers a gateway. `openAt` is the earliest time at which this owner may
   * hand out slots: after any earlier owner's shares have run out.
   */
  request(req: ShareRequest, now: number, grantsFrom: number): ShareReply {
    const budget = this.#budget(req.upstreamId, grantsFrom);
    const usage = this.#usage(budget, req.gatewayId, now);
    usage.inUse = req.inUse;
    usage.completed = Math.max(usage.completed, req.completed);
    usage.lastRequestAt = now;
    usage.share = 0;
    if (this.#completed(budget) >= WARM_AFTER_COMPLETED) budget.warm = true;
    if (budget.warm) return { share: 0, warm: true };
    if (now < budget.grantsFrom) return { share: req.inUse, warm: false };
    const free = this.#limit(budget) - this.#reserved(budget, now);
    const extra = Math.max(0, Math.min(free, req.wanted));
    usage.share = req.inUse + extra;
    return { share: usage.share, warm: false };
  }

  /** Marks an upstream cold again; completions count from zero. */
  coolDown(upstreamId: string): void {
    const budget = this.#budgets.get(upstreamId);
    if (budget === undefined) return;
    budget.warm = false;
    for (const usage of budget.usageByGateway.values()) usage.completed = 0;
  }

  /** Forgets upstreams that no longer exist. */
  retain(upstreamIds: ReadonlySet<string>): void {
    for (const id of this.#budgets.keys()) {
      if (!upstreamIds.has(id)) this.#budgets.delete(id);
    }
  }

  #budget(upstreamId: string, grantsFrom: number): Budget {
    let budget = this.#budgets.get(upstreamId);
    if (budget === undefined) {
      budget = {
        grantsFrom,
        usageByGateway: new Map(),
        warm: false,
      };
      this.#budgets.set(upstreamId, budget);
    }
    return budget;
  }

  #usage(budget: Budget, gatewayId: string, now: number): GatewayUsage {
    let usage = budget.usageByGateway.get(gatewayId);
    if (usage === undefined) {
      usage = { share: 0, inUse: 0, completed: 0, lastRequestAt: now };
      budget.usageByGateway.set(gatewayId, usage);
    }
    return usage;
  }

  #limit(budget: Budget): number {
    return COLD_START_LIMIT + this.#completed(budget);
  }

  #completed(budget: Budget): number {
    let sum = 0;
    for (const usage of budget.usageByGateway.values()) sum += usage.completed;
    return sum;
  }

  /** Slots in use or still usable by any gateway. */
  #reserved(budget: Budget, now: number): number {
    let sum = 0;
    for (const usage of budget.usageByGateway.values()) {
      const silentMs = now - usage.lastRequestAt;
      if (silentMs > SLOT_HOLD_MS) continue;
      sum += Math.max(usage.share, usage.inUse);
    }
    return sum;
  }
}
