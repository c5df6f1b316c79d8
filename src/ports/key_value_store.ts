/**
 * The platform's key-value service, as the product sees it.
 *
 * @module
 */
import type { Outcome } from "../base/outcome.ts";

/** Largest value that the service holds, in bytes. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Why a call gave no answer. */
export type StoreError =
  /** The call certainly had no effect. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** The call may or may not have had, or may yet have, its effect. */
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
  /** The write needs the key's revision to be this; 0 needs an absent key. */
  readonly expectRevision: number;
  readonly leaseId?: string;
}

/** Result of a transaction: all writes applied, or none and the current entries. */
export type TransactionResult =
  | { readonly applied: true; readonly revision: number }
  | { readonly applied: false; readonly current: readonly StoreEntry[] };

/** A lease, to be renewed before its time to live ends. */
export interface StoreLease {
  readonly id: string;
  readonly ttlMs: number;
}

/** A running watch. */
export interface StoreWatch {
  cancel(): void;
}

/** Receives what a watch sees. */
export interface WatchListener {
  onEntry(entry: StoreEntry): void;
  /** The watch ended; events may have been missed. */
  onClosed(): void;
}

/** The operations used; one adapter implements them per service. */
export interface KeyValueStore {
  read(key: string): Promise<Outcome<StoreEntry, StoreError>>;
  readPrefix(
    prefix: string,
  ): Promise<Outcome<readonly StoreEntry[], StoreError>>;
  /** Applies all writes, or none. One call whatever the number of writes. */
  transact(
    puts: readonly StorePut[],
  ): Promise<Outcome<TransactionResult, StoreError>>;
  grantLease(ttlMs: number): Promise<Outcome<StoreLease, StoreError>>;
  /** Succeeds with false when the lease has lapsed. */
  renewLease(lease: StoreLease): Promise<Outcome<boolean, StoreError>>;
  watchPrefix(prefix: string, listener: WatchListener): StoreWatch;
}
