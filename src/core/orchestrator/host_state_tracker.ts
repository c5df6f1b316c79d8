/**
 * Last known state of each engine host, as the host itself reported it.
 *
 * @module
 */
import type { HostCommand } from "../../ports/host_control.ts";
import type {
  HostReport,
  Membership,
  ServingHost,
} from "../../world/serving_host.ts";
import type { HostObservation } from "./host_observation.ts";
import {
  hasJoinedSince,
  isSameGroup,
  isSameMembership,
  observationAfter,
  observationOf,
} from "./host_observation.ts";

/** A host that did not respond is excluded from layouts for this time. */
const SILENT_MS = 6_000;

/**
 * For this time after a command, a report with its count but another group is taken
 * for one whose group lags behind its count.
 */
const REPORT_LAG_MS = 500;
/** Within this time an older announcement is usually followed by the newest one. */
const ANNOUNCEMENT_SETTLE_MS = 50;
/**
 * An announcement that arrived before an observation, and still differs from it
 * after this time, may nevertheless be newer.
 */
const VERIFY_AFTER_MS = 1_500;

interface HostRecord {
  /** Start of the newest known life, in Unix milliseconds. */
  born: number;
  /** Always of the life that `born` names. */
  observation: HostObservation | undefined;
  /** Model of the last group that the host joined since its start. */
  lastModel: string | undefined;
  /** Model that is being staged, and the time after which it is ignored. */
  staging: { model: string; until: number } | undefined;
  silentUntil: number;
  /** Last announcement seen, and when its membership was first seen. */
  announcement: ServingHost;
  announcedAt: number;
}

/** Last known state of a host. */
export interface TrackedHost {
  readonly host: ServingHost;
  /** Undefined if a report must come before any command. */
  readonly observation: HostObservation | undefined;
  /**
   * Membership as observed, or as announced if there is no observation. What
   * `host` says of its membership and models may be older.
   */
  readonly membership: Membership | undefined;
  /** Models loaded, from the same source as the membership. */
  readonly models: readonly string[];
  /**
   * Whether the host announces another membership than the observed one. Which of
   * them is newer only a report shows.
   */
  readonly isContradicted: boolean;
  readonly lastModel: string | undefined;
  readonly staging: string | undefined;
  readonly isSilent: boolean;
}

/**
 * Keeps the last observation of each host. An announcement may be older than the
 * observation whenever it arrives, so it never replaces one.
 */
export class HostStateTracker {
  readonly #records = new Map<string, HostRecord>();

  /** Records a host's announcement, and returns the host's last known state. */
  get(host: ServingHost, now: number): TrackedHost {
    const record = this.#record(host);
    if (!isSameAnnouncement(record.announcement, host)) {
      record.announcedAt = now;
    }
    record.announcement = host;
    this.#advance(record);
    if (host.membership !== undefined && host.models.length > 0) {
      record.lastModel ??= host.models[0];
    }
    const { observation, staging } = record;
    const isStaging = staging !== undefined &&
      staging.until > now &&
      !host.staged.includes(staging.model);
    const { membership, models } = observation ?? host;
    return {
      host,
      observation,
      membership,
      models,
      isContradicted: isContradicted(record, now),
      lastModel: record.lastModel,
      staging: isStaging ? staging.model : undefined,
      isSilent: record.silentUntil > now,
    };
  }

  /**
   * Records a requested report. Reports may lag behind commands, so an older one is
   * ignored unless the host has just refused a command.
   */
  recordReport(
    host: ServingHost,
    report: HostReport,
    now: number,
    wasRefused: boolean,
  ): void {
    const record = this.#record(host);
    record.silentUntil = 0;
    const known = record.observation;
    if (known !== undefined && !wasRefused && isOlder(report, known, now)) {
      return;
    }
    if (report.born !== 0 && report.born !== record.born) {
      record.born = report.born;
      record.lastModel = undefined;
    }
    const { born } = record;
    record.observation = { ...observationOf(report, now), born };
    if (report.membership !== undefined && report.models.length > 0) {
      record.lastModel = report.models[0];
    }
  }

  /** Records that a host accepted a command that was decided on an observation. */
  recordAccepted(
    host: ServingHost,
    decidedOn: HostObservation,
    command: HostCommand,
    now: number,
  ): void {
    const record = this.#record(host);
    const after = observationAfter(decidedOn, host.id, command, now);
    // Another life of the host, or a later state, may be known by now.
    if (after.born !== record.born) return;
    if (
      record.observation !== undefined && record.observation.seq > after.seq
    ) {
      return;
    }
    record.observation = after;
    if (command.kind === "join") record.lastModel = command.model;
  }

  /**
   * Returns the host with its last known state, for use while the store
   * delivers no announcements.
   */
  withObservedState(host: ServingHost, now: number): ServingHost {
    const { membership, lastModel } = this.get(host, now);
    const models = lastModel === undefined ? host.models : [lastModel];
    return { ...host, membership, models };
  }

  /**
   * Forgets what hosts reported, for a new term: another leader may have commanded
   * them since, also in another life, whose count may be the same by chance.
   */
  forgetObservations(): void {
    for (const record of this.#records.values()) record.observation = undefined;
  }

  /** Records that a host is staging a model, until `until` at the latest. */
  recordStaging(host: ServingHost, model: string, until: number): void {
    this.#record(host).staging = { model, until };
  }

  /** Records that a host did not respond; it counts as silent for some time. */
  setSilent(host: ServingHost, now: number): void {
    this.#record(host).silentUntil = now + SILENT_MS;
  }

  /** Records that a host responded. */
  clearSilent(host: ServingHost): void {
    this.#record(host).silentUntil = 0;
  }

  /** Drops hosts that are no longer announced. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#records.keys()) {
      if (!ids.has(id)) this.#records.delete(id);
    }
  }

  /** Takes over an announcement by which a joining host has joined. */
  #advance(record: HostRecord): void {
    const { observation, announcement, announcedAt } = record;
    if (observation === undefined || announcedAt <= observation.at) return;
    if (isOfEarlierLife(record)) return;
    const { membership, models } = announcement;
    if (!hasJoinedSince(observation.membership, membership)) return;
    record.observation = { ...observation, membership, models };
  }

  #record(host: ServingHost): HostRecord {
    let record = this.#records.get(host.id);
    if (record === undefined || record.born < host.born) {
      record = {
        born: host.born,
        observation: undefined,
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

/** Whether an announcement is from an earlier life than the newest known one. */
function isOfEarlierLife({ announcement, born }: HostRecord): boolean {
  return announcement.born !== 0 && announcement.born < born;
}

function isContradicted(record: HostRecord, now: number): boolean {
  const { observation, announcement, announcedAt } = record;
  if (observation === undefined || isOfEarlierLife(record)) return false;
  if (isSameMembership(observation.membership, announcement.membership)) {
    return false;
  }
  if (now - observation.at >= VERIFY_AFTER_MS) return true;
  return announcedAt > observation.at &&
    now - announcedAt >= ANNOUNCEMENT_SETTLE_MS;
}

/** Whether a report shows the host as it was before an observation. */
function isOlder(
  report: HostReport,
  known: HostObservation,
  now: number,
): boolean {
  if (report.born !== 0 && report.born !== known.born) {
    return report.born < known.born;
  }
  if (report.seq !== known.seq) return report.seq < known.seq;
  return known.from === "command" && now - known.at <= REPORT_LAG_MS &&
    !isSameGroup(known.membership, report.membership);
}

function isSameAnnouncement(a: ServingHost, b: ServingHost): boolean {
  return a.born === b.born && isSameMembership(a.membership, b.membership);
}
