/**
 * Lays out the hosts of a fleet by availability zone and fabric domain.
 *
 * @module
 */
import type { Host } from "../world/host.ts";

/** Shape of a fleet. */
export interface FleetShape {
  /** Names of the availability zones. */
  readonly zones: readonly string[];
  readonly domainsPerZone: number;
  readonly hostsPerDomain: number;
  /** Number of domains, counted from the first, with one additional host. */
  readonly extraHosts: number;
  readonly acceleratorsPerHost: number;
  /** Name of the plain service; each zone has one instance. */
  readonly service: string;
}

/** A host without the fields that change at run time. */
export type FleetHost = Omit<Host, "bootId" | "state">;

/**
 * Returns the hosts of a fleet: engine hosts by zone, then the service hosts.
 * `addressOf` returns the address of the host at an index of the result.
 *
 * @example
 * ```ts
 * const hosts = layOutFleet(shape, (i) => `127.0.0.1:${8100 + i}`);
 * ```
 */
export function layOutFleet(
  shape: FleetShape,
  addressOf: (index: number) => string,
): FleetHost[] {
  const hosts: FleetHost[] = [];
  let domainCount = 0;
  for (const zone of shape.zones) {
    for (let d = 1; d <= shape.domainsPerZone; d++) {
      const extraHosts = domainCount++ < shape.extraHosts ? 1 : 0;
      for (let h = 1; h <= shape.hostsPerDomain + extraHosts; h++) {
        hosts.push({
          id: `${zone}-${d}-${h}`,
          kind: "engine",
          address: addressOf(hosts.length),
          availabilityZone: zone,
          fabricDomain: `${zone}-${d}`,
          accelerators: shape.acceleratorsPerHost,
        });
      }
    }
  }
  for (const zone of shape.zones) {
    hosts.push({
      id: `${zone}-${shape.service}`,
      kind: "service",
      address: addressOf(hosts.length),
      availabilityZone: zone,
      fabricDomain: "",
      accelerators: 0,
      service: shape.service,
    });
  }
  return hosts;
}
