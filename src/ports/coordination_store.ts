/**
 * The platform's store as nodes use it: conditional writes, leases and change
 * feeds. Gateways and controllers use `key_value_store.ts` instead.
 *
 * @module
 */
import type { Outcome } from "../base/outcome.ts";

/** Reason why a call to the store failed. */
export type CoordinationError =
  /** The call certainly had no effect. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** The call may have taken effect, or may still take effect. */
  | { readonly kind: "ambiguous"; readonly detail: string }
  /** The changes since the requested revision have been compacted. */
  | { readonly kind: "compacted" }
  /**
   * The store was restored from an older copy meanwhile. What the call did is lost,
   * or it asked for changes since a position that the store has lost.
   */
  | { readonly kind: "restored" };

/** A key with its value. */
export interface CoordinationItem {
  readonly key: string;
  readonly value: Uint8Array;
  readonly revision: number;
}

/** One change of a key; `value` is undefined when the key was removed. */
export interface CoordinationEvent {
  readonly key: string;
  readonly revision: number;
  readonly value: Uint8Array | undefined;
}

/**
 * The era of the store from which an answer is. It rises when the store comes back
 * from an older copy: what it acknowledged since the copy was made is lost, and it
 * gives out the same revisions and lease ids again. So revisions and lease ids of
 * two eras can't be compared. 0 for a store without eras.
 */
export interface EraOfAnswer {
  readonly era: number;
}

/** A position in the store's history. */
export interface StorePosition extends EraOfAnswer {
  readonly revision: number;
}

/** Keys under a prefix, as of the revision `asOf`. */
export interface CoordinationListing extends EraOfAnswer {
  readonly items: readonly CoordinationItem[];
  readonly asOf: number;
}

/** All changes under a prefix up to the revision `asOf`. */
export interface CoordinationChanges extends EraOfAnswer {
  readonly events: readonly CoordinationEvent[];
  readonly asOf: number;
}

/** A lease as the store granted it. */
export interface Lease extends EraOfAnswer {
  readonly id: number;
  readonly ttlMs: number;
}

/** Result of a renewal. */
export interface LeaseRenewal extends EraOfAnswer {
  /** Whether the lease had not ended. */
  readonly isRenewed: boolean;
}

/** Revision that a key must have for a write; 0 when the key must be absent. */
export interface Condition {
  readonly key: string;
  readonly revision: number;
}

/** One key to write. */
export interface CoordinationPut {
  readonly key: string;
  readonly value: string;
  readonly lease?: Lease;
}

/** Result of a conditional write: everything was written, or nothing. */
export type WriteResult =
  & EraOfAnswer
  & (
    | { readonly kind: "written"; readonly revision: number }
    | {
      readonly kind: "conflict";
      readonly current: readonly CoordinationItem[];
    }
    | { readonly kind: "lease_ended" }
  );

type AsyncOutcome<T> = Promise<Outcome<T, CoordinationError>>;

/** Operations of the store that nodes use. */
export interface CoordinationStore {
  /** Lists all keys under a prefix. */
  list(prefix: string): AsyncOutcome<CoordinationListing>;
  /**
   * Returns the changes under a prefix since the position `after`. When there are
   * none, waits up to `waitMs` for some.
   */
  changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
  ): AsyncOutcome<CoordinationChanges>;
  /** Puts and removes keys if all conditions hold. */
  write(
    conditions: readonly Condition[],
    puts: readonly CoordinationPut[],
    removes: readonly string[],
  ): AsyncOutcome<WriteResult>;
  grantLease(ttlMs: number): AsyncOutcome<Lease>;
  renewLease(lease: Lease): AsyncOutcome<LeaseRenewal>;
  endLease(lease: Lease): AsyncOutcome<EraOfAnswer>;
}
