/**
 * Table of the upstreams that one gateway knows, from domain records and the
 * host list.
 *
 * @module
 */
import { hash32 } from "../../base/hash.ts";
import type { Configuration } from "../../world/configuration.ts";
import { isZoneInService } from "../../world/configuration.ts";
import type { Host } from "../../world/host.ts";
import type { DomainRecord, ReplicaGroup } from "../../world/replica_group.ts";
import { groupUpstreamId } from "../../world/replica_group.ts";
import type { ClosedReason } from "./upstream_entry.ts";
import { UpstreamEntry } from "./upstream_entry.ts";

/** Evidence that an upstream is lost or unreachable. */
export interface Evidence {
  readonly upstreamId: string;
  readonly hostId: string;
  /** `lost` ends the epoch; `unreachable` lasts until a probe succeeds. */
  readonly kind: "lost" | "unreachable";
  readonly detail: string;
}

/** Upstreams of one model or service, by whether they are open. */
export interface Candidates {
  readonly open: readonly UpstreamEntry[];
  /** Number of closed upstreams by reason. */
  readonly closed: ReadonlyMap<ClosedReason, number>;
}

/** State of all upstreams, keyed by upstream id. */
export class UpstreamTable {
  readonly #entries = new Map<string, UpstreamEntry>();
  readonly #byName = new Map<string, Set<UpstreamEntry>>();
  readonly #byHost = new Map<string, Set<UpstreamEntry>>();
  readonly #records = new Map<string, DomainRecord>();
  #hosts = new Map<string, Host>();
  #hostList: readonly Host[] = [];
  #recordsHash = 0;

  /** Hash of the records; equal on gateways that have the same records. */
  get recordsHash(): number {
    return this.#recordsHash;
  }

  /** Newest record of each fabric domain. */
  get records(): ReadonlyMap<string, DomainRecord> {
    return this.#records;
  }

  /** Upstreams by id. */
  get entries(): ReadonlyMap<string, UpstreamEntry> {
    return this.#entries;
  }

  /** Hosts of the last host list, by id. */
  get hosts(): ReadonlyMap<string, Host> {
    return this.#hosts;
  }

  /** Applies a domain record if it is newer than the known one. */
  applyRecord(record: DomainRecord): boolean {
    const known = this.#records.get(record.fabricDomain);
    if (known !== undefined && known.revision >= record.revision) return false;
    this.#records.set(record.fabricDomain, record);
    this.#recordsHash = (this.#recordsHash ^ hashRecord(known) ^
      hashRecord(record)) >>> 0;
    this.#updateGroups(known, record);
    return true;
  }

  /** Replaces the host list and updates the upstreams. */
  applyHosts(hosts: readonly Host[]): void {
    if (hosts === this.#hostList) return;
    this.#hostList = hosts;
    this.#hosts = new Map(hosts.map((host) => [host.id, host]));
    this.#updateServices(hosts);
    for (const entry of this.#entries.values()) this.#applyHostStates(entry);
  }

  /** Lists the open upstreams of a model or service; counts the closed ones. */
  candidates(name: string, cfg: Configuration): Candidates {
    const open: UpstreamEntry[] = [];
    const closed = new Map<ClosedReason, number>();
    for (const entry of this.#byName.get(name) ?? []) {
      const isInService = isZoneInService(cfg, entry.upstream.availabilityZone);
      const reason = entry.closedReason(isInService);
      if (reason === undefined) open.push(entry);
      else closed.set(reason, (closed.get(reason) ?? 0) + 1);
    }
    return { open, closed };
  }

  /** Closes an upstream on evidence. Returns whether the evidence was new. */
  close(evidence: Evidence): boolean {
    const entry = this.#entries.get(evidence.upstreamId);
    if (entry === undefined || entry.lostReason !== undefined) return false;
    if (evidence.kind === "lost") {
      entry.lostReason = evidence.detail;
      return true;
    }
    if (entry.unreachableHostIds.has(evidence.hostId)) return false;
    entry.unreachableHostIds.add(evidence.hostId);
    return true;
  }

  /** Records that a probe of a member host succeeded. */
  markReachable(upstreamId: string, hostId: string): void {
    this.#entries.get(upstreamId)?.unreachableHostIds.delete(hostId);
  }

  /** Upstreams that have the host as a member. */
  upstreamsOnHost(hostId: string): UpstreamEntry[] {
    return [...this.#byHost.get(hostId) ?? []];
  }

  #updateGroups(old: DomainRecord | undefined, record: DomainRecord): void {
    const ids = new Set(record.groups.map(groupUpstreamId));
    for (const group of old?.groups ?? []) {
      if (!ids.has(groupUpstreamId(group))) this.#drop(groupUpstreamId(group));
    }
    for (const group of record.groups) this.#applyGroup(record, group);
  }

  #applyGroup(record: DomainRecord, group: ReplicaGroup): void {
    const id = groupUpstreamId(group);
    let entry = this.#entries.get(id);
    if (entry === undefined) {
      entry = new UpstreamEntry({
        id,
        kind: "group",
        serves: group.model,
        version: group.version,
        address: group.members[0].address,
        availabilityZone: record.availabilityZone,
        fabricDomain: record.fabricDomain,
        hostIds: group.members.map((member) => member.hostId),
        epoch: group.epoch,
      }, new Map(group.members.map((m) => [m.hostId, m.bootId])));
      this.#add(entry);
    }
    entry.isListed = group.state === "open";
    this.#applyHostStates(entry);
  }

  #updateServices(hosts: readonly Host[]): void {
    const ids = new Set<string>();
    for (const host of hosts) {
      if (host.kind !== "service" || host.service === undefined) continue;
      const id = `${host.id}@${host.bootId}`;
      ids.add(id);
      if (!this.#entries.has(id)) this.#add(serviceEntry(id, host));
    }
    for (const entry of [...this.#entries.values()]) {
      const isRemoved = entry.upstream.kind === "service" &&
        !ids.has(entry.upstream.id);
      if (isRemoved) this.#drop(entry.upstream.id);
    }
  }

  /** Updates an entry from the states of its member hosts. */
  #applyHostStates(entry: UpstreamEntry): void {
    entry.isLeaving = false;
    for (const [hostId, bootId] of entry.memberBoots) {
      const host = this.#hosts.get(hostId);
      if (host === undefined) continue;
      if (host.state === "leaving") entry.isLeaving = true;
      const rebooted = host.bootId !== bootId && entry.lostReason === undefined;
      // The host list lags behind records: a different boot in it may be older
      // than the group's, and is not evidence that the group has ended.
      if (rebooted && entry.upstream.kind === "service") {
        entry.lostReason = `Host ${hostId} has another boot`;
      }
    }
  }

  #add(entry: UpstreamEntry): void {
    this.#entries.set(entry.upstream.id, entry);
    addTo(this.#byName, entry.upstream.serves, entry);
    for (const id of entry.upstream.hostIds) addTo(this.#byHost, id, entry);
  }

  #drop(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    entry.isListed = false;
    this.#entries.delete(id);
    this.#byName.get(entry.upstream.serves)?.delete(entry);
    for (const hostId of entry.upstream.hostIds) {
      this.#byHost.get(hostId)?.delete(entry);
    }
  }
}

function addTo(
  index: Map<string, Set<UpstreamEntry>>,
  key: string,
  entry: UpstreamEntry,
): void {
  const entries = index.get(key) ?? new Set();
  entries.add(entry);
  index.set(key, entries);
}

function hashRecord(record: DomainRecord | undefined): number {
  if (record === undefined) return 0;
  return hash32(`${record.fabricDomain}:${record.revision}`);
}

function serviceEntry(id: string, host: Host): UpstreamEntry {
  return new UpstreamEntry({
    id,
    kind: "service",
    serves: host.service ?? "",
    version: "",
    address: host.address,
    availabilityZone: host.availabilityZone,
    fabricDomain: host.fabricDomain,
    hostIds: [host.id],
    epoch: 0,
  }, new Map([[host.id, host.bootId]]));
}
