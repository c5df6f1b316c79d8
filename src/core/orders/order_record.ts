/**
 * Records of orders in the key-value store.
 *
 * @module
 */
import { z } from "zod";

/**
 * Longest response body that is recorded, in characters. Of a response with a
 * longer body only the status and content type are recorded.
 */
export const MAX_RECORDED_BODY_CHARS = 16_384;

/**
 * State of an order: `claimed` until its outcome is recorded, `done` with a
 * response, or `not_run` if it certainly did not run and can be claimed again.
 */
export const OrderStateSchema = z.enum(["claimed", "done", "not_run"]);

/** The value stored under an order's key. */
export const OrderRecordSchema = z.strictObject({
  state: OrderStateSchema,
  /**
   * Unique for each claim attempt. Identifies the attempt's own record when the
   * response to the write was lost.
   */
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
/** The value stored under an order's key. */
export type OrderRecord = z.infer<typeof OrderRecordSchema>;

/** Identifies an order and the request that was sent for it. */
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
