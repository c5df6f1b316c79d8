/**
 * Grouped conditional writes to the key-value service.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type {
  KeyValueStore,
  StoreEntry,
  StoreError,
  StorePut,
} from "../../platform/key_value_store.ts";

/** How long writes gather before they go out together. */
export const BATCH_WINDOW_MS = 5;
/** Most writes in one transaction. */
export const MAX_BATCH = 64;

/** What became of one write. */
export type WriteResult =
  | { readonly kind: "written"; readonly revision: number }
  /** The key's revision was not the expected one. */
  | { readonly kind: "mismatch"; readonly current: StoreEntry }
  | { readonly kind: "failed"; readonly err: StoreError };

interface Pending {
  readonly put: StorePut;
  readonly settle: (result: WriteResult) => void;
}

/**
 * Gathers writes into transactions so that many orders cost one store call. A
 * write that does not apply is settled alone; the others go out again.
 */
export class WriteBatcher {
  readonly #timers: Timers;
  readonly #store: KeyValueStore;
  #pending: Pending[] = [];
  #scheduled = false;

  constructor(timers: Timers, store: KeyValueStore) {
    this.#timers = timers;
    this.#store = store;
  }

  /** Writes if the key has the expected revision. */
  write(put: StorePut): Promise<WriteResult> {
    return new Promise((settle) => {
      this.#pending.push({ put, settle });
      this.#schedule();
    });
  }

  #schedule(): void {
    if (this.#scheduled) return;
    this.#scheduled = true;
    this.#timers.after(BATCH_WINDOW_MS, () => {
      this.#scheduled = false;
      this.#flush();
    });
  }

  #flush(): void {
    while (this.#pending.length > 0) {
      const { batch, rest } = takeBatch(this.#pending);
      this.#pending = rest;
      this.#send(batch);
    }
  }

  async #send(batch: readonly Pending[]): Promise<void> {
    const res = await this.#store.transact(batch.map((item) => item.put));
    if (!res.ok) {
      for (const item of batch) item.settle({ kind: "failed", err: res.err });
      return;
    }
    if (res.value.applied) {
      const revision = res.value.revision;
      for (const item of batch) item.settle({ kind: "written", revision });
      return;
    }
    this.#settleMismatches(batch, res.value.current);
  }

  #settleMismatches(
    batch: readonly Pending[],
    entries: readonly StoreEntry[],
  ): void {
    const current = new Map(entries.map((entry) => [entry.key, entry]));
    for (const item of batch) {
      const entry = current.get(item.put.key) ??
        { key: item.put.key, value: "", modRevision: 0 };
      if (entry.modRevision !== item.put.expectRevision) {
        item.settle({ kind: "mismatch", current: entry });
      } else {
        this.#pending.push(item);
        this.#schedule();
      }
    }
  }
}

/** Takes writes with distinct keys, up to {@linkcode MAX_BATCH}. */
function takeBatch(
  pending: readonly Pending[],
): { readonly batch: Pending[]; readonly rest: Pending[] } {
  const batch: Pending[] = [];
  const rest: Pending[] = [];
  const keys = new Set<string>();
  for (const item of pending) {
    const fits = batch.length < MAX_BATCH && !keys.has(item.put.key);
    if (fits) keys.add(item.put.key);
    (fits ? batch : rest).push(item);
  }
  return { batch, rest };
}
