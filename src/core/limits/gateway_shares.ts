/**
 * A gateway's shares of cold upstreams' budgets.
 *
 * @module
 */
import type { ShareResponse } from "./share_allocator.ts";
import { SHARE_TTL_MS } from "./share_allocator.ts";

interface Share {
  limit: number;
  requestedAt: number;
  inUse: number;
  completed: number;
  /** When a request last could not start for lack of a slot. */
  lastWantedAt: number;
  isRequestPending: boolean;
}

/**
 * How long a gateway requests more slots after a request could not start for lack
 * of one.
 */
const DEMAND_TTL_MS = 1_000;
/**
 * How long after an upstream turned cold this gateway reports it to peers as cold
 * and ignores their reports that it is warm.
 */
const COOL_DOWN_HOLD_MS = 5_000;

/**
 * Decides whether a request may be sent to an upstream. An upstream that no
 * gateway has reported as warm is treated as cold: it receives requests only
 * within a share that has not expired.
 */
export class GatewayShares {
  readonly #warm = new Set<string>();
  readonly #shares = new Map<string, Share>();
  readonly #cooledAt = new Map<string, number>();

  /** Upstreams that recently turned cold, to be reported to peers. */
  recentlyCooled(now: number): string[] {
    return [...this.#cooledAt].filter(([, at]) => now - at <= COOL_DOWN_HOLD_MS)
      .map(([id]) => id);
  }

  /** Upstreams known to be warm. */
  get warm(): ReadonlySet<string> {
    return this.#warm;
  }

  /**
   * Whether one more request may start. If not, records that a slot is wanted.
   */
  mayStart(upstreamId: string, now: number): boolean {
    if (this.#warm.has(upstreamId)) return true;
    const share = this.#share(upstreamId);
    const isValid = now - share.requestedAt < SHARE_TTL_MS;
    if (isValid && share.inUse < share.limit) return true;
    share.lastWantedAt = now;
    return false;
  }

  /** Counts an attempt that started. */
  recordStart(upstreamId: string): void {
    this.#share(upstreamId).inUse += 1;
  }

  /** Counts an attempt that ended. */
  recordFinish(upstreamId: string, completed: boolean): void {
    const share = this.#share(upstreamId);
    share.inUse = Math.max(0, share.inUse - 1);
    if (completed) share.completed += 1;
  }

  /** Number of this gateway's attempts running on the upstream. */
  inUse(upstreamId: string): number {
    return this.#shares.get(upstreamId)?.inUse ?? 0;
  }

  /** Number of requests completed since the upstream turned cold. */
  completed(upstreamId: string): number {
    return this.#shares.get(upstreamId)?.completed ?? 0;
  }

  /** Cold upstreams for which a share must be requested now. */
  dueUpstreams(now: number): string[] {
    const ids: string[] = [];
    for (const [id, share] of this.#shares) {
      if (this.#warm.has(id) || share.isRequestPending) continue;
      const isWanted = now - share.lastWantedAt < DEMAND_TTL_MS;
      if (isWanted || share.inUse > 0 || share.limit > 0) ids.push(id);
    }
    return ids;
  }

  /** Number of slots wanted beyond those in use. */
  wanted(upstreamId: string, now: number): number {
    const share = this.#share(upstreamId);
    return now - share.lastWantedAt < DEMAND_TTL_MS
      ? 1 + Math.ceil(share.limit / 2)
      : 0;
  }

  /**
   * Marks a request to the owner as pending, so that only one is sent at a
   * time.
   */
  markRequestPending(upstreamId: string): void {
    this.#share(upstreamId).isRequestPending = true;
  }

  /**
   * Applies the owner's response to a request sent at `requestedAt`; undefined if
   * the request failed.
   */
  applyResponse(
    upstreamId: string,
    response: ShareResponse | undefined,
    requestedAt: number,
  ): void {
    const share = this.#share(upstreamId);
    share.isRequestPending = false;
    if (response === undefined) return;
    if (response.warm) this.#warm.add(upstreamId);
    share.limit = response.share;
    share.requestedAt = requestedAt;
  }

  /**
   * Marks an upstream warm on a peer's report, unless it cooled down recently.
   */
  markWarm(upstreamId: string, now: number): void {
    const cooledAt = this.#cooledAt.get(upstreamId) ?? -Infinity;
    if (now - cooledAt > COOL_DOWN_HOLD_MS) this.#warm.add(upstreamId);
  }

  /** Marks an upstream cold again. */
  coolDown(upstreamId: string, now: number): void {
    this.#cooledAt.set(upstreamId, now);
    this.#warm.delete(upstreamId);
    const share = this.#share(upstreamId);
    share.limit = 0;
    share.completed = 0;
    share.requestedAt = -Infinity;
  }

  /** Drops upstreams that no longer exist. */
  retain(upstreamIds: ReadonlySet<string>): void {
    for (const id of this.#warm) {
      if (!upstreamIds.has(id)) this.#warm.delete(id);
    }
    for (const id of this.#cooledAt.keys()) {
      if (!upstreamIds.has(id)) this.#cooledAt.delete(id);
    }
    for (const [id, share] of this.#shares) {
      if (!upstreamIds.has(id) && share.inUse === 0) this.#shares.delete(id);
    }
  }

  #share(upstreamId: string): Share {
    let share = this.#shares.get(upstreamId);
    if (share === undefined) {
      share = {
        limit: 0,
        requestedAt: -Infinity,
        inUse: 0,
        completed: 0,
        lastWantedAt: -Infinity,
        isRequestPending: false,
      };
      this.#shares.set(upstreamId, share);
    }
    return share;
  }
}
