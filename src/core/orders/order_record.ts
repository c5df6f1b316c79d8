/**
 * Records of orders in the key-value store.
 *
 * @module
 */
import { z } from "zod";

/**
 * Largest recorded response body, in characters. Of a longer response only the
 * status and content type are recorded.
 */
export const MAX_RECORDED_BODY_CHARS = 16_384;

/** State of an order. */
export const OrderStateSchema = z.enum(["claimed", "done", "not_run"]);

/** The value under an order's key. */
export const OrderRecordSchema = z.strictObject({
  state: OrderStateSchema,
  /** Unique per claim attempt: tells its late writes from those of others. */
  attemptId: z.string(),
  gatewayId: z.string(),
  incarnation: z.string(),
  bodyHash: z.string(),
  status: z.int().optional(),
  contentType: z.string().optional(),
  body: z.string().optional(),
});

/** State of an order. */
export type OrderState = z.infer<typeof OrderStateSchema>;
/** The value under an order's key. */
export type OrderRecord = z.infer<typeof OrderRecordSchema>;

/** A customer's order, without its state. */
export interface OrderRef {
  readonly customer: string;
  readonly service: string;
  readonly idempotencyKey: string;
  readonly bodyHash: string;
}

/**
 * Returns the store key of an order. Keys of different customers never collide.
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

/** Parses a record; undefined when the value is empty or invalid. */
export function parseOrderRecord(value: string): OrderRecord | undefined {
  if (value === "") return undefined;
  try {
    const res = OrderRecordSchema.safeParse(JSON.parse(value));
    return res.success ? res.data : undefined;
  } catch {
    return undefined;
  }
}
