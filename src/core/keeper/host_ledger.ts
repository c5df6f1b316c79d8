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
const DEAD_MS = 6_000;

/** A report may be older than a command by this time. */
const REPORT_LAG_MS = 500;
/** A host that joins the same group again is not ready before this time. */
const SHORTEST_JOIN_MS = 150;
/** An announcement that contradicts a command may be older for this time. */
const ANNOUNCE_LAG_MS = 1_500;
/** One that arrives this long after a command or report is newer than it. */
const ARRIVES_AFTER_MS = 500;

interface Record {
  born: number;
  /** Commands accepted; undefined until a report tells. */
  seq: number | undefined;
  /** Membership by a command or report that no announcement shows yet. */
  newer: { membership: Membership | undefined; at: number } | undefined;
  /** Model of the last group since the host's start. */
  lastModel: string | undefined;
  /** Model that is being staged, and until when that takes at most. */
  staging: { model: string; until: number } | undefined;
  deadUntil: number;
  /** Last announcement seen, and when it was first seen. */
  announced: ServingHost;
  announcedAt: number;
}

/** A host with everything believed of it. */
export interface HostBelief {
  readonly host: ServingHost;
  /** Commands accepted; undefined when the host must be asked first. */
  readonly seq: number | undefined;
  readonly membership: Membership | undefined;
  readonly lastModel: string | undefined;
  readonly staging: string | undefined;
  readonly isDead: boolean;
}

/** Overlays announcements with the outcome of commands and reports. */
export class HostLedger {
  readonly #records = new Map<string, Record>();
  readonly #isStoreLost: () => boolean;

  constructor(isStoreLost: () => boolean) {
    this.#isStoreLost = isStoreLost;
  }

  /** What is believed of an announced host. */
  belief(host: ServingHost, now: number): HostBelief {
    const record = this.#record(host);
    if (record.announced !== host) {
      record.announced = host;
      record.announcedAt = now;
    }
    const { newer } = record;
    if (newer !== undefined) {
      const isShown = isSameGroup(newer.membership, host.membership) &&
        !isBeforeJoin(newer, host, now) && !this.#isStoreLost();
      // Without another announcement the store may be silent.
      const isOver = now - newer.at > ANNOUNCE_LAG_MS &&
        record.announcedAt > newer.at + ARRIVES_AFTER_MS &&
        !this.#isStoreLost();
      if (isShown || isOver) record.newer = undefined;
    }
    if (host.membership !== undefined && host.models.length > 0) {
      record.lastModel ??= host.models[0];
    }
    const { staging } = record;
    const isStaging = staging !== undefined && staging.until > now &&
      !host.staged.includes(staging.model);
    return {
      host,
      seq: record.seq,
      membership: record.newer === undefined
        ? host.membership
        : record.newer.membership,
      lastModel: record.lastModel,
      staging: isStaging ? staging.model : undefined,
      isDead: record.deadUntil > now,
    };
  }

  /**
   * Takes a report on request. Reports lag: one that contradicts a command of
   * a moment ago only counts when the host refused what was expected of it.
   */
  reported(
    host: ServingHost,
    report: HostReport,
    now: number,
    isRefused: boolean,
  ): void {
    const record = this.#record(host);
    record.deadUntil = 0;
    if (report.born !== 0 && report.born !== record.born) {
      record.born = report.born;
      record.lastModel = undefined;
      record.seq = undefined;
    }
    const isOlder = record.seq !== undefined && report.seq < record.seq;
    if (isOlder && !isRefused) return;
    const { newer } = record;
    const isSettled = newer === undefined || now - newer.at > REPORT_LAG_MS ||
      isSameGroup(newer.membership, report.membership);
    if (record.seq === report.seq && !isSettled && !isRefused) return;
    record.seq = report.seq;
    record.newer = { membership: report.membership, at: now };
    if (report.membership !== undefined && report.models.length > 0) {
      record.lastModel = report.models[0];
    }
  }

  /** Takes the acceptance of a command that gave this membership. */
  accepted(
    host: ServingHost,
    expectedSeq: number,
    membership: Membership | undefined,
    now: number,
  ): void {
    const record = this.#record(host);
    record.seq = Math.max(record.seq ?? 0, expectedSeq + 1);
    record.newer = { membership, at: now };
  }

  /** The host as it is now known, for those that the store does not tell. */
  observed(host: ServingHost, now: number): ServingHost {
    const { membership, lastModel } = this.belief(host, now);
    const models = lastModel === undefined ? host.models : [lastModel];
    return { ...host, membership, models };
  }

  /** Notes the model that a host was told to join with. */
  joined(host: ServingHost, model: string): void {
    this.#record(host).lastModel = model;
  }

  /** Notes a load to the host's own store. */
  staging(host: ServingHost, model: string, until: number): void {
    this.#record(host).staging = { model, until };
  }

  /** Notes that a host did not answer. */
  silent(host: ServingHost, now: number): void {
    this.#record(host).deadUntil = now + DEAD_MS;
  }

  /** Notes that a host answered. */
  answered(host: ServingHost): void {
    this.#record(host).deadUntil = 0;
  }

  /** Forgets hosts that are not announced any more. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#records.keys()) {
      if (!ids.has(id)) this.#records.delete(id);
    }
  }

  #record(host: ServingHost): Record {
    let record = this.#records.get(host.id);
    if (record === undefined || record.born < host.born) {
      record = {
        born: host.born,
        seq: undefined,
        newer: undefined,
        lastModel: undefined,
        staging: undefined,
        deadUntil: 0,
        announced: host,
        announcedAt: -Infinity,
      };
      this.#records.set(host.id, record);
    }
    return record;
  }
}

/** Whether a host shows itself ready sooner than any join takes. */
function isBeforeJoin(
  newer: { readonly membership: Membership | undefined; readonly at: number },
  host: ServingHost,
  now: number,
): boolean {
  return newer.membership?.state === "joining" &&
    host.membership?.state !== "joining" && now - newer.at < SHORTEST_JOIN_MS;
}

function isSameGroup(
  a: Membership | undefined,
  b: Membership | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.group === b.group && a.epoch === b.epoch;
}
