/**
 * A copy of the in-memory store, from which it can be restored.
 *
 * @module
 */
import type {
  CoordinationEvent,
  CoordinationItem,
} from "../../ports/coordination_store.ts";

/** A key with its value and lease. */
export interface StoredItem extends CoordinationItem {
  readonly leaseId: number | undefined;
}

/** A lease as the store keeps it. */
export interface StoredLease {
  readonly ttlMs: number;
  expiresAt: number;
}

/** The store's state at one moment. */
export interface StoreCopy {
  readonly madeAt: number;
  readonly items: readonly StoredItem[];
  readonly leases: readonly (readonly [id: number, lease: StoredLease])[];
  readonly history: readonly CoordinationEvent[];
  readonly revision: number;
  readonly nextLease: number;
}
