/**
 * Batches conditional writes to the key-value store.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import { TIMED_OUT, withTimeout } from "../../base/timers.ts";
import type {
  KeyValueStore,
  StoreEntry,
  StoreError,
  StorePut,
} from "../../ports/key_value_store.ts";

/** How long writes are collected before they are sent as one transaction. */
export const BATCH_WINDOW_MS = 5;
/**
 * Shortest time between transactions: limits one gateway's rate of store calls.
 */
export const MIN_FLUSH_INTERVAL_MS = 30;
/**
 * Timeout of a transaction. Its writes then fail as ambiguous: they may be retried
 * but may still be applied.
 */
const RESPONSE_TIMEOUT_MS = 400;
/** Largest number of writes in one transaction. */
export const MAX_BATCH_WRITES = 64;

/** Result of one write. */
export type BatchedWriteResult =
  | { readonly kind: "written"; readonly revision: number }
  /** The key's revision was not the expected one. */
  | { readonly kind: "mismatch"; readonly current: StoreEntry }
  | { readonly kind: "failed"; readonly err: StoreError };

interface PendingWrite {
  readonly put: StorePut;
  readonly resolve: (result: BatchedWriteResult) => void;
}

/**
 * Collects writes into transactions so that many orders need one store call. If a
 * transaction is not applied, the writes with a revision mismatch are rejected and
 * the others are sent again.
 */
export class WriteBatcher {
  readonly #timers: Timers;
  readonly #store: KeyValueStore;
  #pending: PendingWrite[] = [];
  #scheduled = false;
  #flushedAt = -Infinity;

  constructor(timers: Timers, store: KeyValueStore) {
    this.#timers = timers;
    this.#store = store;
  }

  /** Writes a value if its key has the expected revision. */
  write(put: StorePut): Promise<BatchedWriteResult> {
    return new Promise((resolve) => {
      this.#pending.push({ put, resolve });
      this.#schedule();
    });
  }

  #schedule(): void {
    if (this.#scheduled) return;
    this.#scheduled = true;
    const delayMs = this.#flushedAt + MIN_FLUSH_INTERVAL_MS -
      this.#timers.now();
    this.#timers.after(Math.max(BATCH_WINDOW_MS, delayMs), () => {
      this.#scheduled = false;
      this.#flush();
    });
  }

  #flush(): void {
    const { batch, rest } = splitBatch(this.#pending);
    this.#pending = rest;
    this.#flushedAt = this.#timers.now();
    this.#send(batch);
    if (rest.length > 0) this.#schedule();
  }

  async #send(batch: readonly PendingWrite[]): Promise<void> {
    const call = this.#store.transact(batch.map((item) => item.put));
    const res = await withTimeout(this.#timers, call, RESPONSE_TIMEOUT_MS);
    if (res === TIMED_OUT) {
      const err = {
        kind: "ambiguous",
        detail: "The store did not respond in time",
      } as const;
      for (const item of batch) item.resolve({ kind: "failed", err });
      return;
    }
    if (!res.ok) {
      for (const item of batch) item.resolve({ kind: "failed", err: res.err });
      return;
    }
    if (res.value.applied) {
      const revision = res.value.revision;
      for (const item of batch) item.resolve({ kind: "written", revision });
      return;
    }
    this.#resolveMismatches(batch, res.value.current);
  }

  /**
   * Rejects the writes of a transaction that have a revision mismatch, and queues
   * the others again.
   */
  #resolveMismatches(
    batch: readonly PendingWrite[],
    entries: readonly StoreEntry[],
  ): void {
    const current = new Map(entries.map((entry) => [entry.key, entry]));
    for (const item of batch) {
      const entry = current.get(item.put.key) ??
        { key: item.put.key, value: "", modRevision: 0 };
      if (entry.modRevision !== item.put.expectRevision) {
        item.resolve({ kind: "mismatch", current: entry });
      } else {
        this.#pending.push(item);
        this.#schedule();
      }
    }
  }
}

/** Splits off writes with distinct keys, up to {@linkcode MAX_BATCH_WRITES}. */
function splitBatch(
  pending: readonly PendingWrite[],
): { readonly batch: PendingWrite[]; readonly rest: PendingWrite[] } {
  const batch: PendingWrite[] = [];
  const rest: PendingWrite[] = [];
  const keys = new Set<string>();
  for (const item of pending) {
    const fits = batch.length < MAX_BATCH_WRITES && !keys.has(item.put.key);
    if (fits) keys.add(item.put.key);
    (fits ? batch : rest).push(item);
  }
  return { batch, rest };
}
