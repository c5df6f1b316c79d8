/**
 * Orders as the key-value service holds them.
 *
 * @module
 */
import { z } from "zod";

/** Largest recorded answer, in characters; longer ones keep their status only. */
export const MAX_RECORDED_BODY = 16_384;

/** What is known of an order. */
export const OrderStateSchema = z.enum(["claimed", "done", "not_run"]);

/** The value under an order's key. */
export const OrderRecordSchema = z.strictObject({
  state: OrderStateSchema,
  /** Unique to one try at claiming: tells an own late claim from another's. */
  attemptId: z.string(),
  gatewayId: z.string(),
  incarnation: z.string(),
  bodyHash: z.string(),
  status: z.int().optional(),
  contentType: z.string().optional(),
  body: z.string().optional(),
});

/** What is known of an order. */
export type OrderState = z.infer<typeof OrderStateSchema>;
/** The value under an order's key. */
export type OrderRecord = z.infer<typeof OrderRecordSchema>;

/** A customer's order, before anything is known of it. */
export interface OrderRef {
  readonly customer: string;
  readonly service: string;
  readonly idempotencyKey: string;
  readonly bodyHash: string;
}

/**
 * Returns the store key of an order. Keys of different customers never meet.
 *
 * @example
 * ```ts
 * orderKey({ customer: "c1", service: "albums", idempotencyKey: "k", bodyHash });
 * ```
 */
export function orderKey(order: OrderRef): string {
  const parts = [order.customer, order.service, order.idempotencyKey];
  return `orders/${parts.map(encodeURIComponent).join("/")}`;
}

/** Reads a record; undefined when there is none or it is not one. */
export function parseOrderRecord(value: string): OrderRecord | undefined {
  if (value === "") return undefined;
  try {
    const res = OrderRecordSchema.safeParse(JSON.parse(value));
    return res.success ? res.data : undefined;
  } catch {
    return undefined;
  }
}
