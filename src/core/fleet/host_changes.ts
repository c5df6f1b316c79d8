/**
 * Changes of hosts that one process has seen in the store, for the others.
 *
 * @module
 */

/** One change of a host's announcement. */
export interface HostChange {
  readonly key: string;
  readonly revision: number;
  /** Revision of the change before this one; a gap shows that one was lost. */
  readonly previous: number;
  /** Undefined when the announcement went away. */
  readonly value: string | undefined;
  /** Whether it may only have lapsed while the store was away. */
  readonly isLapsed: boolean;
}

/** Changes told at a time; with more, the others ask the store. */
const MAX_PUBLISHED_CHANGES = 40;
/** Changes are told for this time: a message may get lost. */
const PUBLISH_MS = 500;

/** Puts changes from the store and from peers in order, by revision. */
export class HostChanges {
  readonly #revisions = new Map<string, number>();
  /** Nothing up to this revision is news. */
  #baseline = 0;
  #newest = 0;
  /** Every change up to this revision has been seen. */
  #coveredRevision = 0;
  #lastChange = 0;
  #recent: { readonly change: HostChange; readonly at: number }[] = [];

  /** Takes a complete listing. */
  reset(asOf: number, keys: Iterable<readonly [string, number]>): void {
    this.#baseline = asOf;
    this.markCovered(asOf);
    this.#newest = Math.max(this.#newest, asOf);
    this.#revisions.clear();
    for (const [key, revision] of keys) this.#revisions.set(key, revision);
  }

  /** Revision of the newest change known. */
  get newest(): number {
    return this.#newest;
  }

  /** Revision of the newest change seen as one; 0 for none. */
  get lastChange(): number {
    return this.#lastChange;
  }

  /** Notes that the store showed every change up to a revision. */
  markCovered(asOf: number): void {
    this.#coveredRevision = Math.max(this.#coveredRevision, asOf);
  }

  /** Whether a change that a peer saw has not been seen here. */
  isMissing(revision: number): boolean {
    return revision > Math.max(this.#coveredRevision, this.#newest);
  }

  /** Takes a change; returns whether it is newer than what was known. */
  accept({ key, revision }: Pick<HostChange, "key" | "revision">): boolean {
    if (revision <= (this.#revisions.get(key) ?? this.#baseline)) return false;
    this.#revisions.set(key, revision);
    this.#newest = Math.max(this.#newest, revision);
    this.#lastChange = Math.max(this.#lastChange, revision);
    return true;
  }

  /** Keeps a change that the store showed, to be told instead of older ones. */
  publish(change: HostChange, at: number): void {
    const older = this.#recent.find((kept) => kept.change.key === change.key);
    this.#recent = this.#recent.filter((kept) => kept !== older);
    this.#recent.push({ change, at });
    if (older === undefined) return;
    // What came after the older change now follows the one before it.
    const { revision, previous } = older.change;
    this.#recent = this.#recent.map((kept) =>
      kept.change.previous === revision
        ? { ...kept, change: { ...kept.change, previous } }
        : kept
    );
  }

  /** What to tell peers now. */
  published(now: number): {
    readonly changes: readonly HostChange[];
    readonly isCutShort: boolean;
  } {
    this.#recent = this.#recent.filter(({ at }) => now - at <= PUBLISH_MS);
    const changes = this.#recent.slice(-MAX_PUBLISHED_CHANGES).map((
      { change },
    ) => change);
    return { changes, isCutShort: this.#recent.length > MAX_PUBLISHED_CHANGES };
  }
}
