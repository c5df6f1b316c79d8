/**
 * Requests that may crash upstreams, as they were in flight at a crash. Each run
 * of an upstream that crashed with a request in flight is a strike against it.
 *
 * @module
 */

/** A request that was in flight at this many crashes is refused. */
export const MAX_STRIKES = 2;
/** Time after the last strike at which a request's record is dropped. */
export const STRIKE_TTL_MS = 600_000;

/**
 * Time after the last strike during which the record is shared with peers. Sharing
 * it indefinitely would keep it from ever expiring.
 */
export const STRIKE_SHARE_MS = 60_000;

/** A request and the crashes at which it was in flight. */
export interface Suspect {
  readonly fingerprint: string;
  /** Ids of the runs of upstreams that crashed with the request in flight. */
  readonly crashed: readonly string[];
}

interface SuspectRecord {
  readonly crashed: Set<string>;
  lastCrashAt: number;
}

/**
 * Tracks requests that were in flight at crashes, here or at peers. A request
 * with {@linkcode MAX_STRIKES} strikes, or as many as the constructor is given, is
 * refused from then on. A gateway sends a request with fewer strikes only to
 * upstreams that run no other suspect.
 */
export class SuspectRequestTracker {
  readonly #maxStrikes: number;
  readonly #records = new Map<string, SuspectRecord>();

  constructor(maxStrikes = MAX_STRIKES) {
    this.#maxStrikes = maxStrikes;
  }

  /** Records requests in flight at a crash. Returns their updated records. */
  recordCrash(
    runId: string,
    fingerprints: readonly string[],
    now: number,
  ): Suspect[] {
    return fingerprints.map((fingerprint) => {
      this.merge({ fingerprint, crashed: [runId] }, now);
      return this.#toSuspect(fingerprint);
    });
  }

  /** Merges the strikes of a suspect. Returns whether there were new ones. */
  merge(suspect: Suspect, now: number): boolean {
    let record = this.#records.get(suspect.fingerprint);
    if (record === undefined) {
      record = { crashed: new Set(), lastCrashAt: now };
      this.#records.set(suspect.fingerprint, record);
    }
    const sizeBefore = record.crashed.size;
    for (const id of suspect.crashed) record.crashed.add(id);
    if (record.crashed.size > sizeBefore) record.lastCrashAt = now;
    return record.crashed.size > sizeBefore;
  }

  /** Returns whether a request must not run any more. */
  isRefused(fingerprint: string): boolean {
    return this.strikes(fingerprint) >= this.#maxStrikes;
  }

  /** Number of crashes at which the request was in flight. */
  strikes(fingerprint: string): number {
    return this.#records.get(fingerprint)?.crashed.size ?? 0;
  }

  /** Removes the strike for an event that turned out not to be a crash. */
  retractCrash(runId: string, fingerprint: string): void {
    const record = this.#records.get(fingerprint);
    record?.crashed.delete(runId);
    if (record?.crashed.size === 0) this.#records.delete(fingerprint);
  }

  /** Drops the strikes of a request that completed, unless it is refused. */
  clear(fingerprint: string): void {
    if (!this.isRefused(fingerprint)) this.#records.delete(fingerprint);
  }

  /** Up to `max` suspects to share with peers, with the most recent strikes first. */
  shared(now: number, max: number): Suspect[] {
    return [...this.#records]
      .filter(([, record]) => now - record.lastCrashAt <= STRIKE_SHARE_MS)
      .sort(([, a], [, b]) => b.lastCrashAt - a.lastCrashAt)
      .slice(0, max)
      .map(([id]) => this.#toSuspect(id));
  }

  /** Drops requests without a strike within {@linkcode STRIKE_TTL_MS}. */
  expire(now: number): void {
    for (const [id, record] of this.#records) {
      if (now - record.lastCrashAt > STRIKE_TTL_MS) this.#records.delete(id);
    }
  }

  #toSuspect(fingerprint: string): Suspect {
    const record = this.#records.get(fingerprint);
    return { fingerprint, crashed: [...(record?.crashed ?? [])] };
  }
}
