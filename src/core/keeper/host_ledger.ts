/**
 * What the acting node believes of each engine host, newer than announcements.
 *
 * @module
 */
import type {
  HostReport,
  Membership,
  ServingHost,
} from "../../world/serving_host.ts";

/** A host that did not answer is left out of plans for this time. */
const SILENT_MS = 6_000;

/** A report may be older than a command by this time. */
const REPORT_LAG_MS = 500;
/** A host that joins the same group again is not ready before this time. */
const MIN_JOIN_MS = 150;
/** An announcement that contradicts a command may be older for this time. */
const ANNOUNCEMENT_LAG_MS = 1_500;
/** One that arrives this long after a command or report is newer than it. */
const MAX_DELIVERY_MS = 500;

interface HostRecord {
  born: number;
  /** Commands accepted; undefined until a report tells. */
  seq: number | undefined;
  /** Membership by a command or report that no announcement shows yet. */
  override: { membership: Membership | undefined; at: number } | undefined;
  /** Model of the last group since the host's start. */
  lastModel: string | undefined;
  /** Model that is being staged, and until when that takes at most. */
  staging: { model: string; until: number } | undefined;
  silentUntil: number;
  /** Last announcement seen, and when it was first seen. */
  announcement: ServingHost;
  announcedAt: number;
}

/** A host with everything believed of it. */
export interface HostState {
  readonly host: ServingHost;
  /** Commands accepted; undefined when the host must be asked first. */
  readonly seq: number | undefined;
  readonly membership: Membership | undefined;
  readonly lastModel: string | undefined;
  readonly staging: string | undefined;
  readonly isSilent: boolean;
}

/** Overlays announcements with the outcome of commands and reports. */
export class HostStateTracker {
  readonly #records = new Map<string, HostRecord>();
  readonly #isStoreLost: () => boolean;

  constructor(isStoreLost: () => boolean) {
    this.#isStoreLost = isStoreLost;
  }

  /** What is believed of an announced host. */
  get(host: ServingHost, now: number): HostState {
    const record = this.#record(host);
    if (record.announcement !== host) {
      record.announcement = host;
      record.announcedAt = now;
    }
    const { override } = record;
    if (override !== undefined) {
      const isConfirmed = isSameGroup(override.membership, host.membership) &&
        !precedesJoin(override, host, now) && !this.#isStoreLost();
      // Without another announcement the store may be silent.
      const isSuperseded = now - override.at > ANNOUNCEMENT_LAG_MS &&
        record.announcedAt > override.at + MAX_DELIVERY_MS &&
        !this.#isStoreLost();
      if (isConfirmed || isSuperseded) record.override = undefined;
    }
    if (host.membership !== undefined && host.models.length > 0) {
      record.lastModel ??= host.models[0];
    }
    const { staging } = record;
    const isStaging = staging !== undefined &&
      staging.until > now &&
      !host.staged.includes(staging.model);
    return {
      host,
      seq: record.seq,
      membership: record.override === undefined
        ? host.membership
        : record.override.membership,
      lastModel: record.lastModel,
      staging: isStaging ? staging.model : undefined,
      isSilent: record.silentUntil > now,
    };
  }

  /**
   * Takes a report on request. Reports lag: one that contradicts a command of
   * a moment ago only counts when the host refused what was expected of it.
   */
  recordReport(
    host: ServingHost,
    report: HostReport,
    now: number,
    wasRefused: boolean,
  ): void {
    const record = this.#record(host);
    record.silentUntil = 0;
    if (report.born !== 0 && report.born !== record.born) {
      record.born = report.born;
      record.lastModel = undefined;
      record.seq = undefined;
    }
    const isOlder = record.seq !== undefined && report.seq < record.seq;
    if (isOlder && !wasRefused) return;
    const { override } = record;
    const isCredible = override === undefined ||
      now - override.at > REPORT_LAG_MS ||
      isSameGroup(override.membership, report.membership);
    if (record.seq === report.seq && !isCredible && !wasRefused) return;
    record.seq = report.seq;
    record.override = { membership: report.membership, at: now };
    if (report.membership !== undefined && report.models.length > 0) {
      record.lastModel = report.models[0];
    }
  }

  /** Takes the acceptance of a command that gave this membership. */
  markAccepted(
    host: ServingHost,
    expectedSeq: number,
    membership: Membership | undefined,
    now: number,
  ): void {
    const record = this.#record(host);
    record.seq = Math.max(record.seq ?? 0, expectedSeq + 1);
    record.override = { membership, at: now };
  }

  /** The host as it is now known, for those that the store does not tell. */
  applyOverride(host: ServingHost, now: number): ServingHost {
    const { membership, lastModel } = this.get(host, now);
    const models = lastModel === undefined ? host.models : [lastModel];
    return { ...host, membership, models };
  }

  /** Notes the model that a host was told to join with. */
  recordJoin(host: ServingHost, model: string): void {
    this.#record(host).lastModel = model;
  }

  /** Notes a load to the host's own store. */
  recordStaging(host: ServingHost, model: string, until: number): void {
    this.#record(host).staging = { model, until };
  }

  /** Notes that a host did not answer. */
  setSilent(host: ServingHost, now: number): void {
    this.#record(host).silentUntil = now + SILENT_MS;
  }

  /** Notes that a host answered. */
  clearSilent(host: ServingHost): void {
    this.#record(host).silentUntil = 0;
  }

  /** Forgets hosts that are not announced any more. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#records.keys()) {
      if (!ids.has(id)) this.#records.delete(id);
    }
  }

  #record(host: ServingHost): HostRecord {
    let record = this.#records.get(host.id);
    if (record === undefined || record.born < host.born) {
      record = {
        born: host.born,
        seq: undefined,
        override: undefined,
        lastModel: undefined,
        staging: undefined,
        silentUntil: 0,
        announcement: host,
        announcedAt: -Infinity,
      };
      this.#records.set(host.id, record);
    }
    return record;
  }
}

/** Whether a host shows itself ready sooner than any join takes. */
function precedesJoin(
  override: {
    readonly membership: Membership | undefined;
    readonly at: number;
  },
  host: ServingHost,
  now: number,
): boolean {
  return override.membership?.state === "joining" &&
    host.membership?.state !== "joining" && now - override.at < MIN_JOIN_MS;
}

function isSameGroup(
  a: Membership | undefined,
  b: Membership | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.group === b.group && a.epoch === b.epoch;
}
