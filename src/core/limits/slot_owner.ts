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

interface Holding {
  share: number;
  inUse: number;
  completed: number;
  heardAt: number;
}

interface Budget {
  readonly openAt: number;
  readonly holdings: Map<string, Holding>;
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
  request(req: ShareRequest, now: number, openAt: number): ShareReply {
    const budget = this.#budget(req.upstreamId, openAt);
    const holding = this.#holding(budget, req.gatewayId, now);
    holding.inUse = req.inUse;
    holding.completed = Math.max(holding.completed, req.completed);
    holding.heardAt = now;
    holding.share = 0;
    if (this.#completed(budget) >= WARM_AFTER_COMPLETED) budget.warm = true;
    if (budget.warm) return { share: 0, warm: true };
    if (now < budget.openAt) return { share: req.inUse, warm: false };
    const free = this.#limit(budget) - this.#taken(budget, now);
    const extra = Math.max(0, Math.min(free, req.wanted));
    holding.share = req.inUse + extra;
    return { share: holding.share, warm: false };
  }

  /** Marks an upstream cold again; completions count from zero. */
  coolDown(upstreamId: string): void {
    const budget = this.#budgets.get(upstreamId);
    if (budget === undefined) return;
    budget.warm = false;
    for (const holding of budget.holdings.values()) holding.completed = 0;
  }

  /** Forgets upstreams that no longer exist. */
  retain(upstreamIds: ReadonlySet<string>): void {
    for (const id of this.#budgets.keys()) {
      if (!upstreamIds.has(id)) this.#budgets.delete(id);
    }
  }

  #budget(upstreamId: string, openAt: number): Budget {
    let budget = this.#budgets.get(upstreamId);
    if (budget === undefined) {
      budget = { openAt, holdings: new Map(), warm: false };
      this.#budgets.set(upstreamId, budget);
    }
    return budget;
  }

  #holding(budget: Budget, gatewayId: string, now: number): Holding {
    let holding = budget.holdings.get(gatewayId);
    if (holding === undefined) {
      holding = { share: 0, inUse: 0, completed: 0, heardAt: now };
      budget.holdings.set(gatewayId, holding);
    }
    return holding;
  }

  #limit(budget: Budget): number {
    return COLD_START_LIMIT + this.#completed(budget);
  }

  #completed(budget: Budget): number {
    let sum = 0;
    for (const holding of budget.holdings.values()) sum += holding.completed;
    return sum;
  }

  /** Slots in use or still usable by any gateway. */
  #taken(budget: Budget, now: number): number {
    let sum = 0;
    for (const holding of budget.holdings.values()) {
      const silentMs = now - holding.heardAt;
      if (silentMs > SLOT_HOLD_MS) continue;
      sum += Math.max(holding.share, holding.inUse);
    }
    return sum;
  }
}
