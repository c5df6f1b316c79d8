/**
 * A coordination store in memory: leases, change feeds, and their faults.
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
  CoordinationItem,
  CoordinationListing,
  CoordinationPut,
  CoordinationStore,
  WriteResult,
} from "../../ports/coordination_store.ts";

interface Stored extends CoordinationItem {
  readonly leaseId: number | undefined;
}

interface Lease {
  readonly ttlMs: number;
  until: number;
}

type Result<T> = Promise<Outcome<T, CoordinationError>>;

/** What goes wrong in the store. */
export interface StoreFaults {
  /** Nothing is answered. */
  down: boolean;
  /** The next write is carried out, and its answer is lost. */
  loseNextWriteAnswer: boolean;
  /** Changes before this revision are forgotten. */
  forgottenBefore: number;
}

/** The state; each client sees it through its own {@linkcode storeClient}. */
export class MemoryCoordination {
  readonly faults: StoreFaults = {
    down: false,
    loseNextWriteAnswer: false,
    forgottenBefore: 0,
  };
  readonly #timers: Timers;
  readonly #items = new Map<string, Stored>();
  readonly #leases = new Map<number, Lease>();
  readonly #history: CoordinationEvent[] = [];
  readonly #waiting = new Set<() => void>();
  #revision = 1;
  #nextLease = 1;
  /** Calls answered, watches included. */
  calls = 0;

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  /** Writes as the operator or a host does. */
  put(key: string, value: unknown): void {
    this.#write({ key, value: JSON.stringify(value) });
  }

  /** Removes a key. */
  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#note({ key, revision: ++this.#revision, value: undefined });
  }

  /** Reads a value. */
  valueOf(key: string): string | undefined {
    this.#expire();
    const item = this.#items.get(key);
    return item && Buffer.from(item.value).toString("utf8");
  }

  /** The store as one client reaches it. */
  client(): CoordinationStore {
    return {
      list: (prefix) => this.#answer(() => this.#list(prefix)),
      changes: (prefix, after, waitMs) => this.#changes(prefix, after, waitMs),
      write: (conditions, puts, removes) =>
        this.#answer(() => this.#transact(conditions, puts, removes), true),
      grantLease: (ttlMs) => this.#answer(() => this.#grant(ttlMs)),
      renewLease: (id) => this.#answer(() => this.#renew(id)),
      endLease: (id) => this.#answer(() => this.#end(id)),
    };
  }

  async #answer<T>(act: () => T, isWrite = false): Result<T> {
    await sleep(this.#timers, 2);
    this.calls += 1;
    if (this.faults.down) {
      return failure({ kind: "unavailable", detail: "down" });
    }
    this.#expire();
    const value = act();
    if (isWrite && this.faults.loseNextWriteAnswer) {
      this.faults.loseNextWriteAnswer = false;
      return failure({ kind: "ambiguous", detail: "answer lost" });
    }
    return success(value);
  }

  async #changes(
    prefix: string,
    after: number,
    waitMs: number,
  ): Result<CoordinationChanges> {
    const until = this.#timers.now() + waitMs;
    for (;;) {
      const res = await this.#answer(() => this.#since(prefix, after));
      if (!res.ok) return res;
      if (after < this.faults.forgottenBefore) {
        return failure({ kind: "compacted" });
      }
      const isOver = this.#timers.now() >= until;
      if (res.value.events.length > 0 || isOver) return res;
      await this.#change(until - this.#timers.now());
    }
  }

  #change(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        timer.cancel();
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = this.#timers.after(Math.min(limitMs, 50), wake);
      this.#waiting.add(wake);
    });
  }

  #since(prefix: string, after: number): CoordinationChanges {
    const events = this.#history.filter((event) =>
      event.key.startsWith(prefix) && event.revision > after
    );
    return { events, asOf: this.#revision };
  }

  #list(prefix: string): CoordinationListing {
    const items = [...this.#items.values()].filter((item) =>
      item.key.startsWith(prefix)
    );
    return { items, asOf: this.#revision };
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
      return { kind: "conflict", current };
    }
    const hasLease = (put: CoordinationPut) =>
      put.leaseId === undefined || this.#leases.has(put.leaseId);
    if (!puts.every(hasLease)) return { kind: "lease_ended" };
    for (const put of puts) this.#write(put);
    for (const key of removes) this.remove(key);
    return { kind: "written", revision: this.#revision };
  }

  #grant(ttlMs: number): { id: number; ttlMs: number } {
    const id = this.#nextLease++;
    this.#leases.set(id, { ttlMs, until: this.#timers.now() + ttlMs });
    return { id, ttlMs };
  }

  #renew(id: number): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    lease.until = this.#timers.now() + lease.ttlMs;
    return true;
  }

  #end(id: number): true {
    this.#leases.delete(id);
    for (const item of [...this.#items.values()]) {
      if (item.leaseId === id) this.remove(item.key);
    }
    return true;
  }

  #expire(): void {
    const now = this.#timers.now();
    for (const [id, lease] of this.#leases) {
      if (lease.until <= now) this.#end(id);
    }
  }

  #write(put: CoordinationPut): void {
    const { key, leaseId } = put;
    const value = Buffer.from(put.value);
    const revision = ++this.#revision;
    this.#items.set(key, { key, value, revision, leaseId });
    this.#note({ key, revision, value });
  }

  #note(event: CoordinationEvent): void {
    this.#history.push(event);
    for (const wake of [...this.#waiting]) wake();
  }
}
