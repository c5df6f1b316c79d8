/**
 * Whose turn it is among queued requests.
 *
 * @module
 */
export type { Turn } from "./turn_order.ts";
export { TurnOrder } from "./turn_order.ts";
