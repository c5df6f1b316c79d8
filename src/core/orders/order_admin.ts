/**
 * Lets operators read orders, and record the outcome of orders that have none.
 *
 * @module
 */
import type { Outcome } from "../../base/outcome.ts";
import { failure, success } from "../../base/outcome.ts";
import type { KeyValueStore } from "../../ports/key_value_store.ts";
import type { Configuration } from "../../world/configuration.ts";
import type { OrderRecord, OrderRef } from "./order_record.ts";
import { orderKey, parseOrderRecord } from "./order_record.ts";

/** Identifies an order. */
export type OrderId = Omit<OrderRef, "bodyHash">;

/** The outcome of an order as an operator determined it. */
export type SettledState = "done" | "not_run";

/** Why an order can't be read or settled. */
export interface OrderAdminError {
  readonly kind:
    | "store_unavailable"
    | "unknown_order"
    | "already_settled"
    | "still_running"
    | "conflict";
  readonly detail: string;
}

/**
 * Reads orders, and settles those whose claimant is no longer a listed gateway.
 */
export class OrderAdmin {
  readonly #store: KeyValueStore;

  constructor(store: KeyValueStore) {
    this.#store = store;
  }

  /** Reads an order's record. */
  async show(
    order: OrderId,
  ): Promise<Outcome<OrderRecord, OrderAdminError>> {
    const res = await this.#read(order);
    return res.ok ? success(res.value.record) : res;
  }

  /**
   * Records the outcome of an order. Refused while the claimant is listed because
   * its request may still be in flight.
   */
  async settle(
    order: OrderId,
    state: SettledState,
    cfg: Configuration,
  ): Promise<Outcome<OrderRecord, OrderAdminError>> {
    const res = await this.#read(order);
    if (!res.ok) return res;
    const { record, modRevision } = res.value;
    if (record.state !== "claimed") {
      return refused("already_settled", `The order is ${record.state}`);
    }
    const isListed = cfg.gateways.some((g) =>
      g.incarnation === record.incarnation
    );
    if (isListed) {
      const detail = `Gateway ${record.gatewayId} still answers for the order`;
      return refused("still_running", detail);
    }
    const settled: OrderRecord = { ...record, state };
    const written = await this.#store.transact([{
      key: orderKey({ ...order, bodyHash: record.bodyHash }),
      value: JSON.stringify(settled),
      expectRevision: modRevision,
    }]);
    if (!written.ok) return refused("store_unavailable", written.err.detail);
    if (written.value.applied) return success(settled);
    return refused("conflict", "The order changed meanwhile; look again");
  }

  async #read(order: OrderId): Promise<
    Outcome<
      { readonly record: OrderRecord; readonly modRevision: number },
      OrderAdminError
    >
  > {
    const res = await this.#store.read(orderKey({ ...order, bodyHash: "" }));
    if (!res.ok) return refused("store_unavailable", res.err.detail);
    const record = parseOrderRecord(res.value.value);
    if (record === undefined) {
      return refused("unknown_order", "There is no such order");
    }
    return success({ record, modRevision: res.value.modRevision });
  }
}

function refused(
  kind: OrderAdminError["kind"],
  detail: string,
): { readonly ok: false; readonly err: OrderAdminError } {
  return failure({ kind, detail });
}
