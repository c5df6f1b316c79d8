/**
 * In-memory key-value store with revisions, transactions, leases and watches.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type {
  StoreEntry,
  StorePut,
  TransactionResult,
} from "../../ports/key_value_store.ts";

interface StoredItem {
  value: string;
  modRevision: number;
  leaseId: string | undefined;
}

interface Lease {
  readonly ttlMs: number;
  timer: Timer;
}

/**
 * Receives each change of a key with the given prefix; a removed key has
 * revision 0.
 */
export interface MemoryWatch {
  readonly prefix: string;
  onEntry(entry: StoreEntry): void;
}

/** Key-value state that the stand-ins of the key-value store share. */
export class MemoryKeyValue {
  readonly #timers: Timers;
  readonly #items = new Map<string, StoredItem>();
  readonly #leases = new Map<string, Lease>();
  readonly #watches = new Set<MemoryWatch>();
  #revision = 0;
  #leaseCount = 0;

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  /** Revision of the last write. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of running watches. */
  get watchCount(): number {
    return this.#watches.size;
  }

  /** Reads a key; an absent key has revision 0. */
  read(key: string): StoreEntry {
    const item = this.#items.get(key);
    return {
      key,
      value: item?.value ?? "",
      modRevision: item?.modRevision ?? 0,
    };
  }

  /** Reads all keys with a prefix, sorted by key. */
  readPrefix(prefix: string): StoreEntry[] {
    const keys = [...this.#items.keys()].filter((k) => k.startsWith(prefix));
    return keys.sort().map((key) => this.read(key));
  }

  /** Applies all writes if every expected revision matches, otherwise none. */
  transact(puts: readonly StorePut[]): TransactionResult {
    const current = puts.map((put) => this.read(put.key));
    const matches = puts.every((put, i) =>
      current[i].modRevision === put.expectRevision
    );
    if (!matches) return { applied: false, current };
    this.#revision += 1;
    for (const put of puts) this.#put(put);
    return { applied: true, revision: this.#revision };
  }

  /** Grants a lease and returns its id. */
  grantLease(ttlMs: number): string {
    const id = String(++this.#leaseCount);
    this.#leases.set(id, { ttlMs, timer: this.#scheduleExpiry(id, ttlMs) });
    return id;
  }

  /** Renews a lease; returns false if it has expired. */
  renewLease(id: string): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    lease.timer.cancel();
    lease.timer = this.#scheduleExpiry(id, lease.ttlMs);
    return true;
  }

  /** Adds a watch. */
  watch(watch: MemoryWatch): void {
    this.#watches.add(watch);
  }

  /** Removes a watch. */
  unwatch(watch: MemoryWatch): void {
    this.#watches.delete(watch);
  }

  #put(put: StorePut): void {
    this.#items.set(put.key, {
      value: put.value,
      modRevision: this.#revision,
      leaseId: put.leaseId,
    });
    this.#notify(put.key);
  }

  #notify(key: string): void {
    for (const watch of this.#watches) {
      if (key.startsWith(watch.prefix)) watch.onEntry(this.read(key));
    }
  }

  #scheduleExpiry(id: string, ttlMs: number): Timer {
    return this.#timers.after(ttlMs, () => {
      this.#leases.delete(id);
      for (const [key, item] of this.#items) {
        if (item.leaseId !== id) continue;
        this.#items.delete(key);
        this.#revision += 1;
        this.#notify(key);
      }
    });
  }
}
