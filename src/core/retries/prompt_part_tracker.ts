/**
 * Prompt parts that crash the engines that answer them, found from crashes and
 * from responses that began.
 *
 * @module
 */
import { dropOldest } from "../../base/collections.ts";
import type { Observer } from "../fleet/observer.ts";
import { SoundParts } from "./sound_parts.ts";
import type { PartCrash, SuspectPart } from "./suspect_part.ts";
import {
  countMoments,
  lastCrashAt,
  mergeCrashes,
  takeWithinLimits,
} from "./suspect_part.ts";

/**
 * Requests with a part are refused after crashes at this many moments, if
 * responses to other prompts begin meanwhile.
 */
const QUARANTINE_MOMENTS = 3;
/** Number of such responses. */
const MIN_OTHER_RESPONSES = 3;
/**
 * Requests with a part are refused after crashes at this many moments even if no
 * response begins: the part may crash every engine before one can begin.
 */
const OUTAGE_QUARANTINE_MOMENTS = 5;
/**
 * Time after the last crash from which one request may probe the part. It doubles
 * with each moment of crashes in quarantine.
 */
const FIRST_PROBE_AFTER_MS = 30_000;
/** Time after which a probe without an outcome no longer prevents another. */
const PROBE_TIMEOUT_MS = 10_000;
/** Time after the last crash at which a part's record is dropped. */
const RECORD_TTL_MS = 7_200_000;
/**
 * Time after the last crash for which each status has the part. Those in
 * quarantine for longer take turns.
 */
const SHARE_MS = 30_000;
/**
 * Maximum number of suspect parts; beyond it, the oldest is dropped that is not in
 * quarantine.
 */
const MAX_SUSPECTS = 1_024;
/** Maximum number of upstreams whose crashes are known to have a cause. */
const MAX_EXPLAINED = 4_096;
/** Maximum number of upstreams whose crash times are remembered. */
const MAX_CRASH_TIMES = 4_096;
/** Number of the newest crashes that are kept of each part. */
const MAX_CRASHES = 8;
/** Parts of one request that are tracked. */
const MAX_PARTS = 64;

/** A request in flight at a crash whose response had not begun, or only just. */
export interface CrashSuspect {
  /** Undefined for a service without an engine. */
  readonly model: string | undefined;
  readonly parts: readonly string[];
}

interface PartRecord {
  readonly model: string;
  companions: ReadonlySet<string>;
  crashes: readonly PartCrash[];
  isQuarantined: boolean;
  /** Time of the crash after which the part was quarantined. */
  quarantinedAt: number;
  /** Responses of the model that had begun when the first crash was recorded. */
  begunAtFirstCrash: number;
  probedAt: number;
}

/**
 * Finds prompt parts that crash engines. A part is quarantined once upstreams
 * crashed at {@linkcode QUARANTINE_MOMENTS} moments with it in flight, while
 * responses to other prompts began and none to a prompt with it did. A response
 * to such a prompt that begins later shows that the part is sound.
 */
export class PromptPartTracker {
  readonly #listeners: ((suspect: SuspectPart, from: Observer) => void)[] = [];
  readonly #records = new Map<string, PartRecord>();
  readonly #soundParts = new SoundParts();
  readonly #begunByModel = new Map<string, number>();
  /** Upstreams that crashed with a quarantined part in flight, and that part. */
  readonly #explained = new Map<string, string>();
  /**
   * Earliest known time of each upstream's crash. What peers pass on becomes younger
   * each time, and must not outlast a later response.
   */
  readonly #crashTimes = new Map<string, number>();
  /** Number of statuses so far, by which parts in quarantine take turns. */
  #turn = 0;

  /** Number of suspect parts, with those in quarantine. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Adds a listener for parts that are quarantined; `from` is "peer" if a peer had
   * quarantined the part before.
   */
  onQuarantined(
    listener: (suspect: SuspectPart, from: Observer) => void,
  ): void {
    this.#listeners.push(listener);
  }

  /** Records the requests in flight at an upstream's crash. */
  recordCrash(
    upstream: string,
    suspects: readonly CrashSuspect[],
    now: number,
  ): void {
    const crashes = [{ upstream, at: now }];
    for (const { parts } of suspects) {
      const cause = this.quarantinedPart(parts);
      if (cause !== undefined) this.#explain(crashes, cause);
    }
    for (const { model, parts } of suspects) {
      if (model === undefined) continue;
      const tracked = [...new Set(parts)].slice(0, MAX_PARTS);
      for (const part of tracked) {
        const companions = tracked.filter((other) => other !== part);
        const isQuarantined = false;
        this.merge({ part, model, companions, crashes, isQuarantined }, now);
      }
    }
  }

  /** Records that a response began at `at`, and went on. */
  recordBegun(
    model: string,
    parts: readonly string[],
    at: number,
    now: number,
  ): void {
    this.#begunByModel.set(model, this.#begunCount(model) + 1);
    for (const part of parts) this.recordSound(part, at, now, "own");
    // A part may have had enough crashes before other responses began.
    for (const [part, record] of this.#records) {
      if (record.model === model) this.#quarantineIfDue(part, record);
    }
  }

  /** Records that a response to a prompt with the part began at `at`. */
  recordSound(part: string, at: number, now: number, from: Observer): void {
    if (!this.#soundParts.record(part, at, from)) return;
    const record = this.#records.get(part);
    if (record === undefined) return;
    const crashAt = record.crashes[0]?.at ?? Infinity;
    if (from === "own") this.#soundParts.markCleared(part, crashAt, now);
    this.#keepCrashes(part, record, (crash) => crash.at > at);
    record.begunAtFirstCrash = this.#begunCount(record.model);
  }

  /** Merges crashes of a part, or what a peer knows of it. */
  merge(suspect: SuspectPart, now: number): void {
    const { part, model, companions } = suspect;
    const known = this.#records.get(part)?.crashes ?? [];
    const begunAt = this.#soundParts.begunAt(part);
    const dated = suspect.crashes.map((crash) => this.#withEarliestTime(crash));
    for (const { at } of dated) this.#soundParts.markCleared(part, at, now);
    const isContradicted = dated.some(({ at }) => at <= begunAt);
    const crashes = dated.filter(({ upstream, at }) =>
      at > begunAt && !this.#isExplainedByAnother(upstream, part, known)
    );
    if (crashes.length === 0) return;
    const record = this.#records.get(part) ??
      this.#createRecord(part, model, companions);
    record.companions = new Set(
      companions.filter((other) => record.companions.has(other)),
    );
    const merged = mergeCrashes(record.crashes, crashes);
    const hasNew = merged !== record.crashes;
    record.crashes = merged.slice(-MAX_CRASHES);
    if (!record.isQuarantined && suspect.isQuarantined && !isContradicted) {
      return this.#quarantine(part, record, "peer");
    }
    if (record.isQuarantined && hasNew) this.#explain(record.crashes, part);
    this.#quarantineIfDue(part, record);
  }

  /**
   * Whether a request must not run: it has a quarantined part, together with all
   * parts that accompanied it at each crash.
   */
  isRefused(parts: readonly string[]): boolean {
    return this.quarantinedPart(parts) !== undefined;
  }

  /** The quarantined part for which a request is refused. */
  quarantinedPart(parts: readonly string[]): string | undefined {
    if (this.#records.size === 0) return undefined;
    return parts.find((part) => {
      const record = this.#records.get(part);
      if (record === undefined || !record.isQuarantined) return false;
      return this.#companionsOf(record).every((other) => parts.includes(other));
    });
  }

  /**
   * Whether a request that is refused otherwise may run, to find out whether its
   * part is sound by now. True for one request at a time.
   */
  takeProbe(parts: readonly string[], now: number): boolean {
    const record = this.#records.get(this.quarantinedPart(parts) ?? "");
    if (record === undefined) return false;
    const isRunning = now - record.probedAt < PROBE_TIMEOUT_MS;
    if (isRunning || now < probeDueAt(record)) return false;
    record.probedAt = now;
    return true;
  }

  /** Suspect parts for the next status to peers, the most recent first. */
  takeShared(now: number): SuspectPart[] {
    const all = [...this.#records]
      .sort(([, a], [, b]) => lastCrashAt(b) - lastCrashAt(a))
      .map(([part, record]) => this.#toSuspect(part, record));
    const shared = takeWithinLimits(
      all.filter((suspect) => now - lastCrashAt(suspect) <= SHARE_MS),
    );
    const others = all.filter((suspect) =>
      suspect.isQuarantined && !shared.includes(suspect)
    );
    if (others.length === 0) return shared;
    return [...shared, others[this.#turn++ % others.length]];
  }

  /** Parts that turned out to be sound after crashes, to share with peers. */
  cleared(now: number): [part: string, at: number][] {
    return this.#soundParts.cleared(now);
  }

  /** Drops outdated records. */
  expire(now: number): void {
    for (const [part, record] of this.#records) {
      if (now - lastCrashAt(record) > RECORD_TTL_MS) this.#records.delete(part);
    }
    this.#soundParts.expire(now);
    for (const [upstream, at] of this.#crashTimes) {
      if (now - at > RECORD_TTL_MS) this.#crashTimes.delete(upstream);
    }
    for (const [upstream, part] of this.#explained) {
      if (!this.#records.has(part)) this.#explained.delete(upstream);
    }
  }

  #createRecord(
    part: string,
    model: string,
    companions: readonly string[],
  ): PartRecord {
    const record: PartRecord = {
      model,
      companions: new Set(companions),
      crashes: [],
      isQuarantined: false,
      quarantinedAt: Infinity,
      begunAtFirstCrash: this.#begunCount(model),
      probedAt: -Infinity,
    };
    this.#records.set(part, record);
    dropOldest(
      this.#records,
      MAX_SUSPECTS,
      (dropped) => !dropped.isQuarantined && dropped !== record,
    );
    return record;
  }

  #begunCount(model: string): number {
    return this.#begunByModel.get(model) ?? 0;
  }

  /**
   * Parts that accompanied a part at each crash, and to which no response began
   * since.
   */
  #companionsOf(record: PartRecord): string[] {
    const firstCrashAt = record.crashes[0]?.at ?? -Infinity;
    return [...record.companions].filter((part) =>
      this.#soundParts.begunAt(part) <= firstCrashAt
    );
  }

  #quarantineIfDue(part: string, record: PartRecord): void {
    if (record.isQuarantined) return;
    const moments = countMoments(record.crashes);
    const others = this.#begunCount(record.model) - record.begunAtFirstCrash;
    const isDue = others >= MIN_OTHER_RESPONSES
      ? moments >= QUARANTINE_MOMENTS
      : moments >= OUTAGE_QUARANTINE_MOMENTS;
    if (isDue) this.#quarantine(part, record, "own");
  }

  #withEarliestTime({ upstream, at }: PartCrash): PartCrash {
    const earliest = Math.min(at, this.#crashTimes.get(upstream) ?? Infinity);
    this.#crashTimes.set(upstream, earliest);
    dropOldest(this.#crashTimes, MAX_CRASH_TIMES);
    return { upstream, at: earliest };
  }

  #quarantine(part: string, record: PartRecord, from: Observer): void {
    record.isQuarantined = true;
    record.quarantinedAt = lastCrashAt(record);
    this.#explain(record.crashes, part);
    const suspect = this.#toSuspect(part, record);
    for (const listener of this.#listeners) listener(suspect, from);
  }

  /** Takes a quarantined part as the cause of crashes, instead of other parts. */
  #explain(crashes: readonly PartCrash[], cause: string): void {
    for (const { upstream } of crashes) {
      this.#explained.set(upstream, cause);
      dropOldest(this.#explained, MAX_EXPLAINED);
    }
    for (const [part, record] of this.#records) {
      const known = record.crashes;
      this.#keepCrashes(
        part,
        record,
        ({ upstream }) => !this.#isExplainedByAnother(upstream, part, known),
      );
    }
  }

  /** Drops all other crashes of a part, and its record if none is left. */
  #keepCrashes(
    part: string,
    record: PartRecord,
    isKept: (crash: PartCrash) => boolean,
  ): void {
    const kept = record.crashes.filter(isKept);
    if (kept.length === record.crashes.length) return;
    record.crashes = kept;
    if (kept.length === 0) this.#records.delete(part);
    if (countMoments(kept) < QUARANTINE_MOMENTS) record.isQuarantined = false;
  }

  /**
   * Whether a crash has another cause than a part that was in flight at it, which
   * was not in flight at all other crashes with that cause.
   */
  #isExplainedByAnother(
    upstream: string,
    part: string,
    crashes: readonly PartCrash[],
  ): boolean {
    const cause = this.#explained.get(upstream);
    if (cause === undefined || cause === part) return false;
    const inFlightAt = new Set(crashes.map((crash) => crash.upstream));
    inFlightAt.add(upstream);
    const causedCrashes = this.#records.get(cause)?.crashes ?? [];
    return causedCrashes.some((crash) => !inFlightAt.has(crash.upstream));
  }

  #toSuspect(part: string, record: PartRecord): SuspectPart {
    const { model, crashes, isQuarantined } = record;
    const companions = this.#companionsOf(record);
    return { part, model, companions, crashes, isQuarantined };
  }
}

/** Monotonic time from which one request may probe a quarantined part. */
function probeDueAt(record: PartRecord): number {
  const since = record.crashes.filter(({ at }) => at > record.quarantinedAt);
  const afterMs = FIRST_PROBE_AFTER_MS * 2 ** countMoments(since);
  return lastCrashAt(record) + afterMs;
}
