/**
 * Whose turn it is among queued requests, and when refused callers return.
 *
 * @module
 */
export type { ReturnKind, ReturnTime, Room } from "./return_schedule.ts";
export { ReturnSchedule } from "./return_schedule.ts";
export type { Turn } from "./turn_order.ts";
export { TurnOrder } from "./turn_order.ts";
