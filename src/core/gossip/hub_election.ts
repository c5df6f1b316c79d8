/**
 * Election of hubs: nodes that forward statuses for the nodes of their zone.
 *
 * @module
 */

/** A node that can be elected as a hub. */
export interface HubCandidate {
  readonly node: string;
  readonly zone: string;
  readonly internalAddress: string;
  readonly state: "starting" | "serving" | "leaving";
}

/**
 * Elects a hub for each availability zone: the serving node with the lowest id.
 * Returns the hubs by zone.
 *
 * @example
 * ```ts
 * const hub = electHubs(members).get("zone-a");
 * ```
 */
export function electHubs<T extends HubCandidate>(
  members: Iterable<T>,
): Map<string, T> {
  const hubs = new Map<string, T>();
  for (const member of members) {
    if (member.state !== "serving") continue;
    const hub = hubs.get(member.zone);
    if (hub === undefined || member.node < hub.node) {
      hubs.set(member.zone, member);
    }
  }
  return hubs;
}
