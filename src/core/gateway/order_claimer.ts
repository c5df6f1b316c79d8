/**
 * Claims an order before it is sent, or waits for the outcome of another claim.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import { sleep } from "../../base/timers.ts";
import type { Configuration } from "../../world/configuration.ts";
import type { OrderClaim, Orders } from "../orders/order_store.ts";
import type { OrderRecord, OrderRef } from "../orders/order_record.ts";

/**
 * First delay between polls for the outcome of another claim; doubles up to
 * {@linkcode POLL_MAX_MS}.
 */
const POLL_MIN_MS = 25;
export const POLL_MAX_MS = 500;

/** Result of claiming an order, after any wait for another claim. */
export type ClaimOutcome =
  | { readonly kind: "claimed"; readonly claim: OrderClaim }
  /** The order ran under another claim, and its response is recorded. */
  | { readonly kind: "done_before"; readonly record: OrderRecord }
  /** The idempotency key was used with another request. */
  | { readonly kind: "key_reused" }
  /** No claim succeeded in time; the order did not run. */
  | { readonly kind: "unavailable" }
  /** The order has another claim, whose outcome is not known. */
  | { readonly kind: "unknown" }
  /** The request ended before the order was claimed. */
  | { readonly kind: "given_up" };

/** Dependencies of an order claimer. */
export interface OrderClaimerDependencies {
  readonly timers: Timers;
  readonly orders: Orders;
  readonly cfg: () => Configuration;
  /**
   * Whether the request has ended, for example because its caller disconnected.
   */
  readonly isDone: () => boolean;
}

/** Claims one order. */
export class OrderClaimer {
  readonly #deps: OrderClaimerDependencies;
  readonly #order: OrderRef;

  constructor(deps: OrderClaimerDependencies, order: OrderRef) {
    this.#deps = deps;
    this.#order = order;
  }

  /**
   * Tries to claim the order until `deadline`. If the order has another claim,
   * polls for its outcome until `waitUntil`. Both are monotonic times in
   * milliseconds.
   */
  async claim(deadline: number, waitUntil: number): Promise<ClaimOutcome> {
    const { orders, isDone } = this.#deps;
    while (!isDone()) {
      const res = await orders.claim(this.#order, deadline);
      if (isDone()) {
        if (res.kind === "claimed") orders.markNotRun(res.claim);
        break;
      }
      if (res.kind === "claimed") return { kind: "claimed", claim: res.claim };
      if (res.kind === "key_reused") return { kind: "key_reused" };
      if (res.kind === "unavailable") return { kind: "unavailable" };
      const otherOutcome = await this.#awaitOtherClaim(res.record, waitUntil);
      if (otherOutcome !== undefined) return otherOutcome;
    }
    return { kind: "given_up" };
  }

  /**
   * Polls for the outcome of another claim. Returns undefined when the order did
   * not run, so that it can be claimed again.
   */
  async #awaitOtherClaim(
    initial: OrderRecord,
    waitUntil: number,
  ): Promise<ClaimOutcome | undefined> {
    const { timers, orders, isDone } = this.#deps;
    let record: OrderRecord | undefined = initial;
    let pauseMs = POLL_MIN_MS;
    while (!isDone()) {
      if (record?.state === "not_run") return undefined;
      if (record?.state === "done") return { kind: "done_before", record };
      const isClaimantGone = record !== undefined &&
        !this.#isClaimantListed(record);
      if (timers.now() >= waitUntil || isClaimantGone) break;
      await sleep(timers, pauseMs);
      pauseMs = Math.min(pauseMs * 2, POLL_MAX_MS);
      record = await orders.read(this.#order);
    }
    return { kind: "unknown" };
  }

  /** Whether the claiming gateway may still run; true if no list is known. */
  #isClaimantListed(record: OrderRecord): boolean {
    const members = this.#deps.cfg().gateways;
    return members.length === 0 ||
      members.some((g) => g.incarnation === record.incarnation);
  }
}
