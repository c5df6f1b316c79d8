/**
 * In-memory coordination store with leases, change feeds and injected faults.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Outcome } from "../../base/outcome.ts";
import { failure, success } from "../../base/outcome.ts";
import type { Timers } from "../../base/timers.ts";
import { sleep } from "../../base/timers.ts";
import type {
  Condition,
  CoordinationChanges,
  CoordinationError,
  CoordinationEvent,
  CoordinationListing,
  CoordinationPut,
  CoordinationStore,
  EraOfAnswer,
  Lease,
  LeaseRenewal,
  WriteResult,
} from "../../ports/coordination_store.ts";
import type { StoreCopy, StoredItem, StoredLease } from "./store_copy.ts";

type StoreResult<T> = Promise<Outcome<T, CoordinationError>>;

/** Faults to inject into the store. */
export interface StoreFaults {
  /** Every request fails as unavailable. */
  down: boolean;
  /** The next write is applied, but its response is lost. */
  dropNextWriteResponse: boolean;
  /** A poll for changes fails as compacted if it starts below this revision. */
  compactedBefore: number;
}

/**
 * The state of the store, which all clients from {@linkcode
 * MemoryCoordination.client} share.
 */
export class MemoryCoordination {
  readonly faults: StoreFaults = {
    down: false,
    dropNextWriteResponse: false,
    compactedBefore: 0,
  };
  readonly #timers: Timers;
  readonly #items = new Map<string, StoredItem>();
  readonly #leases = new Map<number, StoredLease>();
  #history: CoordinationEvent[] = [];
  readonly #waiters = new Set<() => void>();
  #era: number;
  #revision = 1;
  #nextLease = 1;
  /** Number of requests, including polls for changes. */
  requestCount = 0;

  /** `era` is that of the first answers. */
  constructor(timers: Timers, era = 0) {
    this.#timers = timers;
    this.#era = era;
  }

  /**
   * Writes a key without a condition or a lease, as the operator or a host
   * does.
   */
  put(key: string, value: unknown): void {
    this.#write({ key, value: JSON.stringify(value) });
  }

  /** Removes a key. */
  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#publish({ key, revision: ++this.#revision, value: undefined });
  }

  /** Reads a value; expired leases are removed first. */
  readValue(key: string): string | undefined {
    this.#expireLeases();
    const item = this.#items.get(key);
    return item && Buffer.from(item.value).toString("utf8");
  }

  /** The era of its answers; rises with each restoration. */
  get era(): number {
    return this.#era;
  }

  /** Copies the state. */
  copy(): StoreCopy {
    return {
      madeAt: this.#timers.now(),
      items: [...this.#items.values()],
      leases: [...this.#leases].map(([id, lease]) => [id, { ...lease }]),
      history: [...this.#history],
      revision: this.#revision,
      nextLease: this.#nextLease,
    };
  }

  /**
   * Takes the state of a copy, and loses what was written since. Revisions and
   * lease ids are given out again, and leases run on from where they were.
   */
  restore(copy: StoreCopy): void {
    const elapsedMs = this.#timers.now() - copy.madeAt;
    this.#era += 1;
    this.#items.clear();
    for (const item of copy.items) this.#items.set(item.key, item);
    this.#leases.clear();
    for (const [id, { ttlMs, expiresAt }] of copy.leases) {
      this.#leases.set(id, { ttlMs, expiresAt: expiresAt + elapsedMs });
    }
    this.#history = [...copy.history];
    this.#revision = copy.revision;
    this.#nextLease = copy.nextLease;
    this.#wakeAll();
  }

  /** Creates a client of the store. */
  client(): CoordinationStore {
    return {
      list: (prefix) => this.#execute(() => this.#list(prefix)),
      changes: (prefix, after, waitMs) =>
        this.#pollChanges(prefix, after.revision, waitMs),
      write: (conditions, puts, removes) =>
        this.#execute(() => this.#transact(conditions, puts, removes), true),
      grantLease: (ttlMs) => this.#execute(() => this.#grantLease(ttlMs)),
      renewLease: ({ id }) => this.#execute(() => this.#renewLease(id)),
      endLease: ({ id }) => this.#execute(() => this.#endLease(id)),
    };
  }

  async #execute<T>(operation: () => T, isWrite = false): StoreResult<T> {
    await sleep(this.#timers, 2);
    this.requestCount += 1;
    if (this.faults.down) {
      return failure({ kind: "unavailable", detail: "down" });
    }
    this.#expireLeases();
    const value = operation();
    if (isWrite && this.faults.dropNextWriteResponse) {
      this.faults.dropNextWriteResponse = false;
      return failure({ kind: "ambiguous", detail: "response lost" });
    }
    return success(value);
  }

  async #pollChanges(
    prefix: string,
    after: number,
    waitMs: number,
  ): StoreResult<CoordinationChanges> {
    const deadline = this.#timers.now() + waitMs;
    for (;;) {
      const res = await this.#execute(() => this.#changesSince(prefix, after));
      if (!res.ok) return res;
      if (after < this.faults.compactedBefore || after > this.#revision) {
        return failure({ kind: "compacted" });
      }
      const isTimedOut = this.#timers.now() >= deadline;
      if (res.value.events.length > 0 || isTimedOut) return res;
      await this.#waitForChange(deadline - this.#timers.now());
    }
  }

  #waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        timer.cancel();
        this.#waiters.delete(wake);
        resolve();
      };
      // Wakes within 50 ms, because a poll also removes entries of expired leases.
      const timer = this.#timers.after(Math.min(timeoutMs, 50), wake);
      this.#waiters.add(wake);
    });
  }

  #changesSince(prefix: string, after: number): CoordinationChanges {
    const events = this.#history.filter((event) =>
      event.key.startsWith(prefix) && event.revision > after
    );
    return { events, asOf: this.#revision, era: this.#era };
  }

  #list(prefix: string): CoordinationListing {
    const items = [...this.#items.values()].filter((item) =>
      item.key.startsWith(prefix)
    );
    return { items, asOf: this.#revision, era: this.#era };
  }

  #transact(
    conditions: readonly Condition[],
    puts: readonly CoordinationPut[],
    removes: readonly string[],
  ): WriteResult {
    const isMet = (condition: Condition) =>
      (this.#items.get(condition.key)?.revision ?? 0) === condition.revision;
    if (!conditions.every(isMet)) {
      const current = conditions.flatMap((c) => this.#items.get(c.key) ?? []);
      return { kind: "conflict", era: this.#era, current };
    }
    const hasLease = ({ lease }: CoordinationPut) =>
      lease === undefined || this.#leases.has(lease.id);
    if (!puts.every(hasLease)) return { kind: "lease_ended", era: this.#era };
    for (const put of puts) this.#write(put);
    for (const key of removes) this.remove(key);
    return { kind: "written", era: this.#era, revision: this.#revision };
  }

  #grantLease(ttlMs: number): Lease {
    const id = this.#nextLease++;
    this.#leases.set(id, { ttlMs, expiresAt: this.#timers.now() + ttlMs });
    return { id, ttlMs, era: this.#era };
  }

  #renewLease(id: number): LeaseRenewal {
    const lease = this.#leases.get(id);
    if (lease === undefined) return { isRenewed: false, era: this.#era };
    lease.expiresAt = this.#timers.now() + lease.ttlMs;
    return { isRenewed: true, era: this.#era };
  }

  #endLease(id: number): EraOfAnswer {
    this.#leases.delete(id);
    for (const item of [...this.#items.values()]) {
      if (item.leaseId === id) this.remove(item.key);
    }
    return { era: this.#era };
  }

  #expireLeases(): void {
    const now = this.#timers.now();
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= now) this.#endLease(id);
    }
  }

  #write(put: CoordinationPut): void {
    const { key, lease } = put;
    const value = Buffer.from(put.value);
    const revision = ++this.#revision;
    this.#items.set(key, { key, value, revision, leaseId: lease?.id });
    this.#publish({ key, revision, value });
  }

  #wakeAll(): void {
    for (const wake of [...this.#waiters]) wake();
  }

  #publish(event: CoordinationEvent): void {
    this.#history.push(event);
    this.#wakeAll();
  }
}
