/**
 * Host changes that one process read from the store, for its peers.
 *
 * @module
 */

/** One change of a host's announcement. */
export interface HostChange {
  readonly key: string;
  readonly revision: number;
  /**
   * Newest revision that the publisher knew before this change. A receiver that
   * does not have every change up to it has missed one.
   */
  readonly previous: number;
  /** Undefined if the announcement was removed. */
  readonly value: string | undefined;
  /**
   * Whether the announcement may merely have lapsed during a store outage while
   * the host is live.
   */
  readonly isLapsed: boolean;
}

/** Most changes published at once; if there are more, peers poll the store. */
const MAX_PUBLISHED_CHANGES = 40;
/** Changes are published repeatedly for this time, as messages may be lost. */
const PUBLISH_MS = 500;
/** Changes are kept for this time, for a process that becomes a publisher. */
const KEEP_MS = 3_000;

/**
 * Accepts host changes that are newer than the known state, from the store and
 * from peers, and queues those from the store for publishing. All are of one era
 * of the store.
 */
export class HostChanges {
  readonly #revisions = new Map<string, number>();
  /** Revision of the last listing, which includes all changes up to it. */
  #listedRevision = 0;
  /** Every change up to this revision has been received. */
  #completeRevision = 0;
  #lastEventRevision = 0;
  #recent: { readonly change: HostChange; readonly at: number }[] = [];

  /**
   * Forgets all revisions and changes: a restored store gives the revisions out
   * again, to other changes.
   */
  restart(): void {
    this.#revisions.clear();
    this.#listedRevision = 0;
    this.#completeRevision = 0;
    this.#lastEventRevision = 0;
    this.#recent = [];
  }

  /**
   * Replaces the known revisions by those of a complete listing, but for changes
   * that are newer than the listing. Returns the keys of these changes.
   */
  reset(
    asOf: number,
    keys: Iterable<readonly [string, number]>,
  ): ReadonlySet<string> {
    const newer = [...this.#revisions].filter(([, revision]) =>
      revision > asOf
    );
    this.#listedRevision = asOf;
    this.recordProgress(asOf);
    this.#revisions.clear();
    for (const [key, revision] of keys) this.#revisions.set(key, revision);
    for (const [key, revision] of newer) this.#revisions.set(key, revision);
    return new Set(newer.map(([key]) => key));
  }

  /**
   * Revision that no received change exceeds. A listing doesn't show when hosts
   * were removed, so it counts with its own revision.
   */
  get newestChangeRevision(): number {
    return Math.max(this.#listedRevision, this.#lastEventRevision);
  }

  /**
   * Revision of the newest change received from the change feed or a peer; 0 if
   * only listings were received.
   */
  get lastEventRevision(): number {
    return this.#lastEventRevision;
  }

  /** Records that every change up to a revision has been received. */
  recordProgress(asOf: number): void {
    this.#completeRevision = Math.max(this.#completeRevision, asOf);
  }

  /** Whether changes up to a revision may be missing here. */
  isMissing(revision: number): boolean {
    return revision > this.#completeRevision;
  }

  /** Records a change; returns false if the known state is as new or newer. */
  accept({ key, revision }: Pick<HostChange, "key" | "revision">): boolean {
    if (revision <= (this.#revisions.get(key) ?? this.#listedRevision)) {
      return false;
    }
    this.#revisions.set(key, revision);
    this.#lastEventRevision = Math.max(this.#lastEventRevision, revision);
    return true;
  }

  /** Records that a peer's change was received. */
  recordReceived({ previous, revision }: HostChange): void {
    if (!this.isMissing(previous)) this.recordProgress(revision);
  }

  /**
   * Queues a change from the store for publishing, and removes an older queued
   * change of the same host.
   */
  enqueue(change: HostChange, at: number): void {
    const older = this.#recent.find((entry) => entry.change.key === change.key);
    this.#recent = this.#recent.filter((entry) => entry !== older);
    this.#recent.push({ change, at });
    if (older === undefined) return;
    // Relinks the removed change's successor, so that peers see no gap.
    const { revision, previous } = older.change;
    this.#recent = this.#recent.map((entry) =>
      entry.change.previous === revision
        ? { ...entry, change: { ...entry.change, previous } }
        : entry
    );
  }

  /** Changes to publish to peers now; truncated if older ones are left out. */
  changesToPublish(now: number): {
    readonly changes: readonly HostChange[];
    readonly isTruncated: boolean;
  } {
    this.#recent = this.#recent.filter(({ at }) => now - at <= KEEP_MS);
    const due = this.#recent.filter(({ at }) => now - at <= PUBLISH_MS);
    const changes = due.slice(-MAX_PUBLISHED_CHANGES).map((
      { change },
    ) => change);
    return { changes, isTruncated: due.length > MAX_PUBLISHED_CHANGES };
  }

  /**
   * Publishes the newest changes of the last {@linkcode KEEP_MS} once more, as many
   * as peers can receive without a poll: most of them know these changes.
   */
  publishAgain(now: number): void {
    const kept = this.#recent.filter(({ at }) => now - at <= KEEP_MS);
    const again = kept.slice(-MAX_PUBLISHED_CHANGES);
    this.#recent = again.map(({ change }) => ({ change, at: now }));
  }
}
