/**
 * How the platform lays out hosts and the operators' wishes in its store.
 *
 * @module
 */
import type { Catalog } from "../world/catalog.ts";
import type { ServingHost } from "../world/serving_host.ts";

/** Keys and values of the store that the fleet reads but does not write. */
export interface FleetSchema {
  readonly hostPrefix: string;
  readonly operatorPrefix: string;
  /** Undefined for an entry that names no usable host. */
  parseHost(key: string, value: Uint8Array): ServingHost | undefined;
  isCatalog(key: string): boolean;
  /** Undefined for a document that can't be read. */
  parseCatalog(value: Uint8Array): Catalog | undefined;
  /** The availability zone that the key takes out. */
  zoneTakenOut(key: string): string | undefined;
}
