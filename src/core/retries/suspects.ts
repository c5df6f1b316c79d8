/**
 * Requests that were running when an upstream crashed.
 *
 * @module
 */

/** Crashes with the same request in flight after which it is refused. */
export const MAX_STRIKES = 2;
/** How long a strike is remembered. */
export const STRIKE_TTL_MS = 600_000;

/** Strikes are told to peers this long; told for ever, they would never end. */
export const STRIKE_SHARE_MS = 60_000;

/** A request and the crashes it was in flight at. */
export interface Suspect {
  readonly fingerprint: string;
  /** Upstreams that crashed with the request in flight. */
  readonly crashed: readonly string[];
}

interface SuspectRecord {
  readonly crashed: Set<string>;
  lastCrashAt: number;
}

/**
 * Remembers which requests were in flight at crashes, here and at peers. A
 * request in flight at two crashes is refused from then on; one with a strike
 * runs only where no other suspect runs.
 */
export class Suspects {
  readonly #maxStrikes: number;
  readonly #records = new Map<string, SuspectRecord>();

  constructor(maxStrikes = MAX_STRIKES) {
    this.#maxStrikes = maxStrikes;
  }

  /** Notes requests in flight when an upstream crashed. Returns the news. */
  crashed(
    upstreamId: string,
    fingerprints: readonly string[],
    now: number,
  ): Suspect[] {
    return fingerprints.map((fingerprint) => {
      this.learn({ fingerprint, crashed: [upstreamId] }, now);
      return this.#toSuspect(fingerprint);
    });
  }

  /** Merges what a peer knows. Returns whether it was news. */
  learn(suspect: Suspect, now: number): boolean {
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

  /** Tells whether a request must not run any more. */
  isRefused(fingerprint: string): boolean {
    return this.strikes(fingerprint) >= this.#maxStrikes;
  }

  /** Crashes at which the request was in flight. */
  strikes(fingerprint: string): number {
    return this.#records.get(fingerprint)?.crashed.size ?? 0;
  }

  /** Takes back a crash that was none. */
  retractCrash(upstreamId: string, fingerprint: string): void {
    const record = this.#records.get(fingerprint);
    record?.crashed.delete(upstreamId);
    if (record?.crashed.size === 0) this.#records.delete(fingerprint);
  }

  /** Clears a request that has run to its end. */
  cleared(fingerprint: string): void {
    if (!this.isRefused(fingerprint)) this.#records.delete(fingerprint);
  }

  /** Strikes of late, for peers. */
  news(now: number): Suspect[] {
    return [...this.#records]
      .filter(([, record]) => now - record.lastCrashAt <= STRIKE_SHARE_MS)
      .map(([id]) => this.#toSuspect(id));
  }

  /** Drops strikes older than {@linkcode STRIKE_TTL_MS}. */
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
