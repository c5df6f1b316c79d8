/**
 * Claims an order before it is sent, or finds out what became of it.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import { sleep } from "../../base/timers.ts";
import type { Configuration } from "../../world/configuration.ts";
import type { OrderClaim, Orders } from "../orders/order_ledger.ts";
import type { OrderRecord, OrderRef } from "../orders/order_record.ts";

/** First pause between looks at another's claim; doubles up to the maximum. */
const LOOK_MIN_MS = 25;
export const LOOK_MAX_MS = 500;

/** What a claim led to. */
export type ClaimOutcome =
  | { readonly kind: "claimed"; readonly claim: OrderClaim }
  | { readonly kind: "done_before"; readonly record: OrderRecord }
  | { readonly kind: "key_reused" }
  | { readonly kind: "unavailable" }
  | { readonly kind: "unknown" }
  | { readonly kind: "given_up" };

/** What claiming works with. */
export interface OrderClaimingParts {
  readonly timers: Timers;
  readonly orders: Orders;
  readonly cfg: () => Configuration;
  /** Whether the caller has gone. */
  readonly isOver: () => boolean;
}

/** Claims one order. */
export class OrderClaiming {
  readonly #parts: OrderClaimingParts;
  readonly #order: OrderRef;

  constructor(parts: OrderClaimingParts, order: OrderRef) {
    this.#parts = parts;
    this.#order = order;
  }

  /**
   * Claims until `deadline`; while another holds the claim, waits until `until`
   * for what becomes of it.
   */
  async claim(deadline: number, until: number): Promise<ClaimOutcome> {
    const { orders, isOver } = this.#parts;
    while (!isOver()) {
      const res = await orders.claim(this.#order, deadline);
      if (isOver()) {
        if (res.kind === "claimed") orders.notRun(res.claim);
        break;
      }
      if (res.kind === "claimed") return { kind: "claimed", claim: res.claim };
      if (res.kind === "key_reused") return { kind: "key_reused" };
      if (res.kind === "unavailable") return { kind: "unavailable" };
      const other = await this.#awaitOther(res.record, until);
      if (other !== undefined) return other;
    }
    return { kind: "given_up" };
  }

  /** Waits for another's claim. Undefined when the order turned out not to run. */
  async #awaitOther(
    first: OrderRecord,
    until: number,
  ): Promise<ClaimOutcome | undefined> {
    const { timers, orders, isOver } = this.#parts;
    let record: OrderRecord | undefined = first;
    let pauseMs = LOOK_MIN_MS;
    while (!isOver()) {
      if (record?.state === "not_run") return undefined;
      if (record?.state === "done") return { kind: "done_before", record };
      const isLost = record !== undefined && !this.#claimantLives(record);
      if (timers.now() >= until || isLost) break;
      await sleep(timers, pauseMs);
      pauseMs = Math.min(pauseMs * 2, LOOK_MAX_MS);
      record = await orders.look(this.#order);
    }
    return { kind: "unknown" };
  }

  #claimantLives(record: OrderRecord): boolean {
    const members = this.#parts.cfg().gateways;
    return members.length === 0 ||
      members.some((g) => g.incarnation === record.incarnation);
  }
}
