/**
 * Probes of upstream hosts, shared out among the gateways.
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
/** Longest wait for an answer to a probe. */
export const PROBE_TIMEOUT_MS = 400;
/** Gateways that probe each host. */
export const PROBERS_PER_HOST = 2;

/** What the prober works with. */
export interface ProberParts {
  readonly timers: Timers;
  readonly control: EngineControl;
  readonly table: UpstreamTable;
  readonly selfId: string;
  readonly gatewayIds: () => readonly string[];
  onEvidence(evidence: Evidence): void;
}

/** Turns engine status into load reports and into evidence against upstreams. */
export class Prober {
  readonly #parts: ProberParts;
  readonly #inProgress = new Set<string>();
  /** Answers of {@linkcode Prober.#isMine} for one list of gateways. */
  readonly #share = new Map<string, boolean>();
  #shareOf: readonly string[] = [];

  constructor(parts: ProberParts) {
    this.#parts = parts;
  }

  /** Probes the hosts that are this gateway's share, and those out of reach. */
  probeShare(): void {
    const hosts = new Map<string, string>();
    for (const entry of this.#parts.table.entries.values()) {
      if (!entry.listed || entry.lostReason !== undefined) continue;
      for (const hostId of entry.upstream.hostIds) {
        if (!this.#isMine(hostId) && !entry.unreachable.has(hostId)) continue;
        const address = this.#addressOf(entry, hostId);
        if (address !== undefined) hosts.set(hostId, address);
      }
    }
    for (const [hostId, address] of hosts) this.probeHost(hostId, address);
  }

  /** Whether this gateway is among a host's probers; kept while members stay. */
  #isMine(hostId: string): boolean {
    const gateways = this.#parts.gatewayIds();
    if (gateways !== this.#shareOf) {
      this.#shareOf = gateways;
      this.#share.clear();
    }
    const known = this.#share.get(hostId);
    if (known !== undefined) return known;
    const probers = rendezvousOrder(hostId, gateways).slice(
      0,
      PROBERS_PER_HOST,
    );
    const mine = probers.includes(this.#parts.selfId);
    this.#share.set(hostId, mine);
    return mine;
  }

  /** Probes every member of an upstream at once. */
  probeUpstream(entry: UpstreamEntry): void {
    for (const hostId of entry.upstream.hostIds) {
      const address = this.#addressOf(entry, hostId);
      if (address !== undefined) this.probeHost(hostId, address);
    }
  }

  /** Probes one host unless a probe is on its way. */
  async probeHost(hostId: string, address: string): Promise<void> {
    if (this.#inProgress.has(hostId)) return;
    this.#inProgress.add(hostId);
    const askedAt = this.#parts.timers.now();
    const res = await withTimeout(
      this.#parts.timers,
      this.#parts.control.status(address),
      PROBE_TIMEOUT_MS,
    );
    this.#inProgress.delete(hostId);
    for (const entry of this.#parts.table.upstreamsOnHost(hostId)) {
      if (res === TIMED_OUT) {
        this.#report(entry, hostId, "unreachable", "Probe timed out");
      } else if (!res.ok) {
        this.#report(entry, hostId, "unreachable", res.err.detail);
      } else {
        this.#judge(entry, hostId, res.value, askedAt);
      }
    }
  }

  #judge(
    entry: UpstreamEntry,
    hostId: string,
    status: EngineStatus,
    askedAt: number,
  ): void {
    const boot = entry.memberBoots.get(hostId);
    if (boot !== undefined && status.bootId !== boot) {
      return this.#report(entry, hostId, "lost", "Another boot");
    }
    if (entry.upstream.kind === "group") {
      const joined = status.epoch === entry.upstream.epoch &&
        status.phase === "ready";
      if (!joined && entry.listed) {
        return this.#report(entry, hostId, "lost", "Not in the group's epoch");
      }
    }
    this.#parts.table.reached(entry.upstream.id, hostId);
    if (entry.upstream.hostIds[0] === hostId) entry.reported(status, askedAt);
  }

  #report(
    entry: UpstreamEntry,
    hostId: string,
    kind: Evidence["kind"],
    detail: string,
  ): void {
    const upstreamId = entry.upstream.id;
    this.#parts.onEvidence({ upstreamId, hostId, kind, detail });
  }

  #addressOf(entry: UpstreamEntry, hostId: string): string | undefined {
    const listed = this.#parts.table.hosts.get(hostId)?.address;
    if (listed !== undefined) return listed;
    if (entry.upstream.hostIds[0] === hostId) return entry.upstream.address;
    const record = this.#parts.table.records.get(entry.upstream.fabricDomain);
    const members = record?.groups.flatMap((group) => group.members);
    return members?.find((member) => member.hostId === hostId)?.address;
  }
}
