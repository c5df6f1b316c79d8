/**
 * Health probes of upstream hosts, distributed over the gateways.
 *
 * @module
 */
import { rendezvousOrder } from "../../base/hash.ts";
import type { Timers } from "../../base/timers.ts";
import { TIMED_OUT, withTimeout } from "../../base/timers.ts";
import type {
  EngineControl,
  EngineStatus,
} from "../../ports/engine_control.ts";
import type { UpstreamEntry } from "../routing/upstream_entry.ts";
import type { Evidence, UpstreamTable } from "../routing/upstream_table.ts";

/** Time between probes of a host by one gateway. */
export const PROBE_PERIOD_MS = 500;
/** Timeout of a probe. */
export const PROBE_TIMEOUT_MS = 400;
/** Number of gateways that probe each host. */
export const PROBERS_PER_HOST = 2;

/** Dependencies of a prober. */
export interface ProberDependencies {
  readonly timers: Timers;
  readonly control: EngineControl;
  readonly table: UpstreamTable;
  readonly selfId: string;
  readonly gatewayIds: () => readonly string[];
  onEvidence(evidence: Evidence): void;
}

/** Turns engine status into load reports and into evidence of failures. */
export class Prober {
  readonly #deps: ProberDependencies;
  readonly #inProgress = new Set<string>();
  /**
   * Cached results of {@linkcode Prober.#isProberOf} by host id, for the current
   * list of gateways.
   */
  readonly #isProberByHost = new Map<string, boolean>();
  /** The list of gateways for which results are cached. */
  #cachedForGateways: readonly string[] = [];

  constructor(deps: ProberDependencies) {
    this.#deps = deps;
  }

  /** Probes the hosts assigned to this gateway, and all unreachable ones. */
  probeAssignedHosts(): void {
    const hosts = new Map<string, string>();
    for (const entry of this.#deps.table.entries.values()) {
      if (!entry.isListed || entry.lostReason !== undefined) continue;
      for (const hostId of entry.upstream.hostIds) {
        if (
          !this.#isProberOf(hostId) && !entry.unreachableHostIds.has(hostId)
        ) {
          continue;
        }
        const address = this.#addressOf(entry, hostId);
        if (address !== undefined) hosts.set(hostId, address);
      }
    }
    for (const [hostId, address] of hosts) this.probeHost(hostId, address);
  }

  /**
   * Whether this gateway is one of a host's probers. The result is cached until
   * the list of gateways changes.
   */
  #isProberOf(hostId: string): boolean {
    const gateways = this.#deps.gatewayIds();
    if (gateways !== this.#cachedForGateways) {
      this.#cachedForGateways = gateways;
      this.#isProberByHost.clear();
    }
    const cached = this.#isProberByHost.get(hostId);
    if (cached !== undefined) return cached;
    const probers = rendezvousOrder(hostId, gateways).slice(
      0,
      PROBERS_PER_HOST,
    );
    const isAssigned = probers.includes(this.#deps.selfId);
    this.#isProberByHost.set(hostId, isAssigned);
    return isAssigned;
  }

  /** Probes every member host of an upstream immediately. */
  probeUpstream(entry: UpstreamEntry): void {
    for (const hostId of entry.upstream.hostIds) {
      const address = this.#addressOf(entry, hostId);
      if (address !== undefined) this.probeHost(hostId, address);
    }
  }

  /** Probes a host unless a probe of it is already in progress. */
  async probeHost(hostId: string, address: string): Promise<void> {
    if (this.#inProgress.has(hostId)) return;
    this.#inProgress.add(hostId);
    const sentAt = this.#deps.timers.now();
    const res = await withTimeout(
      this.#deps.timers,
      this.#deps.control.status(address),
      PROBE_TIMEOUT_MS,
    );
    this.#inProgress.delete(hostId);
    for (const entry of this.#deps.table.upstreamsOnHost(hostId)) {
      if (res === TIMED_OUT) {
        this.#reportEvidence(entry, hostId, "unreachable", "Probe timed out");
      } else if (!res.ok) {
        this.#reportEvidence(entry, hostId, "unreachable", res.err.detail);
      } else {
        this.#evaluate(entry, hostId, res.value, sentAt);
      }
    }
  }

  #evaluate(
    entry: UpstreamEntry,
    hostId: string,
    status: EngineStatus,
    sentAt: number,
  ): void {
    const boot = entry.memberBoots.get(hostId);
    if (boot !== undefined && status.bootId !== boot) {
      return this.#reportEvidence(entry, hostId, "lost", "Another boot");
    }
    if (entry.upstream.kind === "group") {
      const inEpoch = status.epoch === entry.upstream.epoch &&
        status.phase === "ready";
      if (!inEpoch && entry.isListed) {
        return this.#reportEvidence(
          entry,
          hostId,
          "lost",
          "Not in the group's epoch",
        );
      }
    }
    this.#deps.table.markReachable(entry.upstream.id, hostId);
    if (entry.upstream.hostIds[0] === hostId) {
      entry.recordReport(status, sentAt);
    }
  }

  #reportEvidence(
    entry: UpstreamEntry,
    hostId: string,
    kind: Evidence["kind"],
    detail: string,
  ): void {
    const upstreamId = entry.upstream.id;
    this.#deps.onEvidence({ upstreamId, hostId, kind, detail });
  }

  #addressOf(entry: UpstreamEntry, hostId: string): string | undefined {
    const listedAddress = this.#deps.table.hosts.get(hostId)?.address;
    if (listedAddress !== undefined) return listedAddress;
    if (entry.upstream.hostIds[0] === hostId) return entry.upstream.address;
    const record = this.#deps.table.records.get(entry.upstream.fabricDomain);
    const members = record?.groups.flatMap((group) => group.members);
    return members?.find((member) => member.hostId === hostId)?.address;
  }
}
