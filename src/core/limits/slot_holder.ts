/**
 * A gateway's shares of cold upstreams' budgets.
 *
 * @module
 */
import type { ShareReply } from "./slot_owner.ts";
import { SHARE_TTL_MS } from "./slot_owner.ts";

interface Share {
  limit: number;
  requestedAt: number;
  inUse: number;
  completed: number;
  lastRefusedAt: number;
  isRequestPending: boolean;
}

/** How long a refused dispatch keeps a gateway asking for slots. */
const DEMAND_TTL_MS = 1_000;
/** How long after a cool-down peers' word that the upstream is warm is ignored. */
const COOL_DOWN_HOLD_MS = 5_000;

/**
 * Tells whether a request may go to an upstream. Nothing is assumed of an
 * upstream that nobody has called warm: it takes work only within a live share.
 */
export class SlotHolder {
  readonly #warm = new Set<string>();
  readonly #shares = new Map<string, Share>();
  readonly #cooledAt = new Map<string, number>();

  /** Upstreams that turned cold lately, for peers. */
  recentlyCooled(now: number): string[] {
    return [...this.#cooledAt].filter(([, at]) => now - at <= COOL_DOWN_HOLD_MS)
      .map(([id]) => id);
  }

  /** Upstreams known to be warm. */
  get warm(): ReadonlySet<string> {
    return this.#warm;
  }

  /** Tells whether one more request fits. */
  mayStart(upstreamId: string, now: number): boolean {
    if (this.#warm.has(upstreamId)) return true;
    const share = this.#share(upstreamId);
    const isValid = now - share.requestedAt < SHARE_TTL_MS;
    if (isValid && share.inUse < share.limit) return true;
    share.lastRefusedAt = now;
    return false;
  }

  /** Counts a request that was sent. */
  recordStart(upstreamId: string): void {
    this.#share(upstreamId).inUse += 1;
  }

  /** Counts a request that ended. */
  recordFinish(upstreamId: string, completed: boolean): void {
    const share = this.#share(upstreamId);
    share.inUse = Math.max(0, share.inUse - 1);
    if (completed) share.completed += 1;
  }

  /** Requests of this gateway running on the upstream. */
  inUse(upstreamId: string): number {
    return this.#shares.get(upstreamId)?.inUse ?? 0;
  }

  /** Completed requests since the upstream is cold. */
  completed(upstreamId: string): number {
    return this.#shares.get(upstreamId)?.completed ?? 0;
  }

  /** Cold upstreams that need a word with their owner now. */
  dueRequests(now: number): string[] {
    const ids: string[] = [];
    for (const [id, share] of this.#shares) {
      if (this.#warm.has(id) || share.isRequestPending) continue;
      const wanted = now - share.lastRefusedAt < DEMAND_TTL_MS;
      if (wanted || share.inUse > 0 || share.limit > 0) ids.push(id);
    }
    return ids;
  }

  /** Slots wanted beyond those in use. */
  wanted(upstreamId: string, now: number): number {
    const share = this.#share(upstreamId);
    return now - share.lastRefusedAt < DEMAND_TTL_MS
      ? 1 + Math.ceil(share.limit / 2)
      : 0;
  }

  /** Marks that the owner is being asked, so that it is asked once at a time. */
  markRequested(upstreamId: string): void {
    this.#share(upstreamId).isRequestPending = true;
  }

  /** Takes the owner's answer to a request sent at `askedAt`. */
  applyReply(
    upstreamId: string,
    reply: ShareReply | undefined,
    requestedAt: number,
  ): void {
    const share = this.#share(upstreamId);
    share.isRequestPending = false;
    if (reply === undefined) return;
    if (reply.warm) this.#warm.add(upstreamId);
    share.limit = reply.share;
    share.requestedAt = requestedAt;
  }

  /** Learns from a peer that an upstream is warm. */
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

  /** Forgets upstreams that no longer exist. */
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
        lastRefusedAt: -Infinity,
        isRequestPending: false,
      };
      this.#shares.set(upstreamId, share);
    }
    return share;
  }
}
