/**
 * A node's own load, as it tells it to its peers.
 *
 * @module
 */
import type { LoopLag } from "../../base/loop_monitor.ts";
import type { EntryStatus, NodeCapacity } from "./entry_node.ts";
import { usableCores } from "./entry_node.ts";

const SAMPLE_MS = 500;
/** Time constant of the mean load. */
const SMOOTHING_MS = 1_000;
/** Share of the capacity from which a node is strained, in one sample. */
const STRAINED_LOAD = 0.9;
/** Share of the capacity below which a node is calm, on average. */
const CALM_LOAD = 0.6;
const STRAINED_LAG_MS = 150;
const CALM_LAG_MS = 50;
/** A node that is strained for this time is behind. */
const BEHIND_AFTER_MS = 1_500;
/** A node that was behind and is calm for this time takes callers again. */
const MIN_RECOVERY_MS = 6_000;
const MAX_RECOVERY_MS = 54_000;
/** Factor on the time to recover of a node that is behind again. */
const RELAPSE_FACTOR = 3;
/** A node that is behind again within this time recovers more slowly. */
const RELAPSE_MS = 60_000;

/** Dependencies of {@linkcode LoadMeter}. */
export interface LoadMeterDependencies {
  /** Time for which the event loop was busy since the start, in milliseconds. */
  readonly busyMs: () => number;
  readonly lag: LoopLag;
  /** Undefined while the settings name none. */
  readonly capacity: () => NodeCapacity | undefined;
}

/**
 * Measures how busy this node is and decides whether it is behind. The node
 * decides this itself, so that all peers act on the same decision. A node that
 * has lost its callers looks calm although it may still be slow; therefore it
 * takes longer to recover each time it is behind again.
 */
export class LoadMeter {
  readonly #deps: LoadMeterDependencies;
  #sampledAt: number | undefined;
  #sampledBusyMs = 0;
  /** Smoothed share of time for which the event loop was busy. */
  #utilization = 0;
  #isBehind = false;
  #strainedSince: number | undefined;
  #calmSince: number | undefined;
  #recoveryMs = MIN_RECOVERY_MS;
  #recoveredAt = -Infinity;

  constructor(deps: LoadMeterDependencies) {
    this.#deps = deps;
  }

  /** Returns the node's capacity and load; undefined without a capacity. */
  read(now: number): Omit<EntryStatus, "plan"> | undefined {
    const capacity = this.#deps.capacity();
    if (capacity === undefined) return undefined;
    this.#sample(capacity, now);
    const { cores, linkMbps } = capacity;
    return {
      cores,
      linkMbps,
      work: this.#utilization * cores,
      isBehind: this.#isBehind,
    };
  }

  #sample(capacity: NodeCapacity, now: number): void {
    const sampledAt = this.#sampledAt;
    if (sampledAt !== undefined && now - sampledAt < SAMPLE_MS) return;
    const busyMs = this.#deps.busyMs();
    if (sampledAt !== undefined) {
      const elapsedMs = now - sampledAt;
      const busy = (busyMs - this.#sampledBusyMs) / elapsedMs;
      const weight = 1 - Math.exp(-elapsedMs / SMOOTHING_MS);
      const utilization = Math.min(1, Math.max(0, busy));
      this.#utilization += weight * (utilization - this.#utilization);
      this.#judge(capacity, utilization, sampledAt, now);
    }
    this.#sampledAt = now;
    this.#sampledBusyMs = busyMs;
  }

  #judge(
    capacity: NodeCapacity,
    utilization: number,
    since: number,
    now: number,
  ): void {
    const factor = capacity.cores / usableCores(capacity);
    const lagMs = this.#deps.lag.worstSince(since);
    const isStrained = utilization * factor >= STRAINED_LOAD ||
      lagMs >= STRAINED_LAG_MS;
    const isCalm = this.#utilization * factor < CALM_LOAD &&
      lagMs < CALM_LAG_MS;
    this.#strainedSince = isStrained ? this.#strainedSince ?? now : undefined;
    this.#calmSince = isCalm ? this.#calmSince ?? now : undefined;
    if (this.#isBehind) {
      if (now - (this.#calmSince ?? now) < this.#recoveryMs) return;
      this.#isBehind = false;
      this.#recoveredAt = now;
      return;
    }
    if (now - (this.#strainedSince ?? now) < BEHIND_AFTER_MS) return;
    this.#isBehind = true;
    this.#recoveryMs = now - this.#recoveredAt < RELAPSE_MS
      ? Math.min(MAX_RECOVERY_MS, this.#recoveryMs * RELAPSE_FACTOR)
      : MIN_RECOVERY_MS;
  }
}
