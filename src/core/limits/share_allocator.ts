/**
 * Grants shares of cold upstreams' budgets at the gateway that owns them.
 *
 * @module
 */

/** How long a share may be used after it was requested. */
export const SHARE_TTL_MS = 1_500;
/**
 * How long slots stay reserved for a gateway that sends no more share requests: as
 * long as the longest request runs.
 */
export const SLOT_RESERVATION_MS = 30_000;
/** Concurrent requests that any upstream can run right after its start. */
export const COLD_START_LIMIT = 2;
/** Number of completed requests after which an upstream is warm. */
export const WARM_AFTER_COMPLETED = 24;

/** A gateway's request for a share of one upstream's budget. */
export interface ShareRequest {
  readonly gatewayId: string;
  readonly upstreamId: string;
  /** Slots in use by requests that this gateway has running. */
  readonly inUse: number;
  /** Slots wanted beyond those in use. */
  readonly wanted: number;
  /**
   * Requests that this gateway completed on the upstream since it turned cold.
   */
  readonly completed: number;
}

/** The owner's response to a {@linkcode ShareRequest}. */
export interface ShareResponse {
  /** Concurrent requests that the gateway may run on the upstream. */
  readonly share: number;
  readonly warm: boolean;
}

/** One gateway's share of a budget, and the use that it last reported. */
interface GatewayUsage {
  share: number;
  inUse: number;
  completed: number;
  lastRequestAt: number;
}

interface Budget {
  /** Time before which no slots are granted. */
  readonly grantsFrom: number;
  readonly usageByGateway: Map<string, GatewayUsage>;
  /** Whether enough requests have completed for the upstream to be warm. */
  warm: boolean;
}

/**
 * Grants shares of the budget of each cold upstream that this gateway owns. The
 * sum of all shares and of requests still running never exceeds the budget, which
 * grows by one slot with each completed request.
 */
export class ShareAllocator {
  readonly #budgets = new Map<string, Budget>();

  /**
   * Returns the share of the gateway that sent the request. Grants no slots before
   * `grantsFrom`, when the shares that earlier owners granted have expired.
   */
  allocate(req: ShareRequest, now: number, grantsFrom: number): ShareResponse {
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

  /** Marks an upstream cold again and resets its count of completions. */
  coolDown(upstreamId: string): void {
    const budget = this.#budgets.get(upstreamId);
    if (budget === undefined) return;
    budget.warm = false;
    for (const usage of budget.usageByGateway.values()) usage.completed = 0;
  }

  /** Drops upstreams that no longer exist. */
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

  /** Number of slots that gateways use or may still use. */
  #reserved(budget: Budget, now: number): number {
    let sum = 0;
    for (const usage of budget.usageByGateway.values()) {
      const silentMs = now - usage.lastRequestAt;
      if (silentMs > SLOT_RESERVATION_MS) continue;
      sum += Math.max(usage.share, usage.inUse);
    }
    return sum;
  }
}
