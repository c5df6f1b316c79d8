import type { FleetStateListener } from "../../src/core/fleet/fleet_state.ts";

/** Ignores all changes of a fleet state. */
export const SILENT_LISTENER: FleetStateListener = {
  catalogChanged() {},
  zonesChanged() {},
  nodesChanged() {},
  leaderChanged() {},
  hostsListed() {},
  hostListOutdated() {},
  hostLeft() {},
  feedLost() {},
  feedRegained() {},
};
