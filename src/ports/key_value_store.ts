/**
 * The platform's key-value store, as gateways and controllers use it. Nodes
 * use `coordination_store.ts` instead.
 *
 * @module
 */
import type { Outcome } from "../base/outcome.ts";

/** Largest value that the store accepts, in bytes. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Reason why a call to the store failed. */
export type StoreError =
  /** The call certainly had no effect. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** The call may have taken effect, or may still take effect. */
  | { readonly kind: "ambiguous"; readonly detail: string };

/** A key with its value. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the store at the key's last write; 0 if the key is absent. */
  readonly modRevision: number;
}

/** A write inside a transaction. */
export interface StorePut {
  readonly key: string;
  readonly value: string;
  /**
   * Revision that the key must have for the write; 0 when it must be absent.
   */
  readonly expectRevision: number;
  readonly leaseId?: string;
}

/**
 * Result of a transaction: either all writes were applied, or none, and the
 * current entries are returned.
 */
export type TransactionResult =
  | { readonly applied: true; readonly revision: number }
  | { readonly applied: false; readonly current: readonly StoreEntry[] };

/** A lease, which must be renewed before its TTL ends. */
export interface StoreLease {
  readonly id: string;
  readonly ttlMs: number;
}

/** A running watch. */
export interface StoreWatch {
  cancel(): void;
}

/** Receives the events of a watch. */
export interface WatchListener {
  onEntry(entry: StoreEntry): void;
  /** The watch ended; events may have been missed. */
  onClosed(): void;
}

/**
 * Operations of the store that gateways and controllers use. Each kind of
 * key-value store has one adapter that implements them.
 */
export interface KeyValueStore {
  read(key: string): Promise<Outcome<StoreEntry, StoreError>>;
  readPrefix(
    prefix: string,
  ): Promise<Outcome<readonly StoreEntry[], StoreError>>;
  /** Applies all writes or none, in one call regardless of their number. */
  transact(
    puts: readonly StorePut[],
  ): Promise<Outcome<TransactionResult, StoreError>>;
  grantLease(ttlMs: number): Promise<Outcome<StoreLease, StoreError>>;
  /** Succeeds with false when the lease has expired. */
  renewLease(lease: StoreLease): Promise<Outcome<boolean, StoreError>>;
  watchPrefix(prefix: string, listener: WatchListener): StoreWatch;
}
