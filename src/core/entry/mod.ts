/**
 * The choice of addresses for callers. Other folders import this module alone.
 *
 * @module
 */
export { EntryDirectory, MAX_ADDRESSES } from "./entry_directory.ts";
export type { EntryAnswer, EntryChange } from "./entry_directory.ts";
export type {
  EntryNode,
  EntryStatus,
  NodeCapacity,
  ZonePlan,
} from "./entry_node.ts";
export { LoadMeter } from "./load_meter.ts";
