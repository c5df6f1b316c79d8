/**
 * Which processes pass status on for the others.
 *
 * @module
 */

/** A process that may pass status on. */
export interface HubCandidate {
  readonly node: string;
  readonly zone: string;
  readonly internalAddress: string;
  readonly state: "starting" | "serving" | "leaving";
}

/**
 * Chooses a hub for each zone: the serving process with the lowest id.
 *
 * @example
 * ```ts
 * const hub = hubsByZone(members).get("zone-a");
 * ```
 */
export function hubsByZone<T extends HubCandidate>(
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
