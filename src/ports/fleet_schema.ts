/**
 * Layout of hosts and operators' documents in the platform's store.
 *
 * @module
 */
import type { Catalog } from "../world/catalog.ts";
import type { ServingHost } from "../world/serving_host.ts";

/** Keys and values in the store that the fleet reads but does not write. */
export interface FleetSchema {
  readonly hostPrefix: string;
  readonly operatorPrefix: string;
  /** Returns undefined for an entry without a usable host. */
  parseHost(key: string, value: Uint8Array): ServingHost | undefined;
  isCatalog(key: string): boolean;
  /** Returns undefined for a malformed document. */
  parseCatalog(value: Uint8Array): Catalog | undefined;
  /**
   * Returns the availability zone that the key takes out of service; undefined
   * for other keys.
   */
  zoneOutOfService(key: string): string | undefined;
}
