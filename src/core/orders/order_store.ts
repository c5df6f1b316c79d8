/**
 * Claims orders in the key-value store, so that at most one claim attempt sends
 * an order, and records their outcomes.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import { sleep } from "../../base/timers.ts";
import type { KeyValueStore } from "../../ports/key_value_store.ts";
import type { OrderRecord, OrderRef } from "./order_record.ts";
import {
  MAX_RECORDED_BODY_CHARS,
  orderKey,
  parseOrderRecord,
} from "./order_record.ts";
import type { BatchedWriteResult } from "./write_batcher.ts";
import { WriteBatcher } from "./write_batcher.ts";

/** First delay between retries of a store write; doubles up to the maximum. */
const RETRY_MIN_MS = 50;
const RETRY_MAX_MS = 2_000;
/** How long a final record (`done` or `not_run`) is kept. */
export const ORDER_RETENTION_MS = 24 * 3_600_000;
/** How long one lease is reused for new final records. */
const LEASE_REUSE_MS = 3_600_000;

/** A claim held by this gateway. */
export interface OrderClaim {
  readonly key: string;
  readonly record: OrderRecord;
  readonly revision: number;
}

/** Result of trying to claim an order. */
export type ClaimResult =
  | { readonly kind: "claimed"; readonly claim: OrderClaim }
  /** Another attempt's record, claimed or done. */
  | { readonly kind: "duplicate"; readonly record: OrderRecord }
  | { readonly kind: "key_reused" }
  /**
   * No claim succeeded in time; it is certain that this attempt did not run the
   * order.
   */
  | { readonly kind: "unavailable" };

/** Response of the upstream to an order. */
export interface OrderResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Operations on orders that a request needs. */
export interface Orders {
  /** Tries to claim an order until `deadline`, a monotonic time in milliseconds. */
  claim(order: OrderRef, deadline: number): Promise<ClaimResult>;
  /**
   * Records the response to an order. Until the outcome is recorded, the claim
   * never expires.
   */
  markDone(claim: OrderClaim, response: OrderResponse): void;
  /** Releases a claim; only for orders that certainly did not run. */
  markNotRun(claim: OrderClaim): void;
  /**
   * Reads the current record of an order; undefined when there is none or the
   * store can't be read.
   */
  read(order: OrderRef): Promise<OrderRecord | undefined>;
  /** Number of final records that are not stored yet. */
  readonly pendingWrites: number;
}

/** Identity of the claiming gateway. */
export interface ClaimantId {
  readonly gatewayId: string;
  readonly incarnation: string;
}

/** Implements {@linkcode Orders} on the key-value store. */
export class OrderStore implements Orders {
  readonly #timers: Timers;
  readonly #store: KeyValueStore;
  readonly #batcher: WriteBatcher;
  readonly #claimant: ClaimantId;
  #claimCount = 0;
  #pendingWrites = 0;
  #leaseId: string | undefined;
  #leaseGrantedAt = -Infinity;

  constructor(timers: Timers, store: KeyValueStore, claimant: ClaimantId) {
    this.#timers = timers;
    this.#store = store;
    this.#batcher = new WriteBatcher(timers, store);
    this.#claimant = claimant;
  }

  get pendingWrites(): number {
    return this.#pendingWrites;
  }

  async claim(order: OrderRef, deadline: number): Promise<ClaimResult> {
    const key = orderKey(order);
    const record = this.#newRecord(order);
    let expectRevision = 0;
    let mayBeStored = false;
    let pauseMs = RETRY_MIN_MS;
    while (this.#timers.now() < deadline) {
      const res = await this.#write(key, record, expectRevision);
      if (res.kind === "written") {
        return this.#toClaimResult(key, record, res.revision, deadline);
      }
      if (res.kind === "failed") {
        if (res.err.kind === "ambiguous") mayBeStored = true;
        await sleep(this.#timers, pauseMs);
        pauseMs = Math.min(pauseMs * 2, RETRY_MAX_MS);
        continue;
      }
      const found = parseOrderRecord(res.current.value);
      if (res.current.modRevision === 0) {
        expectRevision = 0;
      } else if (found === undefined) {
        break;
      } else if (found.attemptId === record.attemptId) {
        // An earlier write was applied though its response was lost.
        return this.#toClaimResult(
          key,
          record,
          res.current.modRevision,
          deadline,
        );
      } else if (found.bodyHash !== record.bodyHash) {
        return { kind: "key_reused" };
      } else if (found.state === "not_run") {
        expectRevision = res.current.modRevision;
      } else {
        return { kind: "duplicate", record: found };
      }
    }
    if (mayBeStored) this.#blockLateClaim(key, record);
    return { kind: "unavailable" };
  }

  markDone(claim: OrderClaim, response: OrderResponse): void {
    const fits = response.body.length <= MAX_RECORDED_BODY_CHARS;
    this.#writeFinal(claim.key, claim.revision, {
      ...claim.record,
      state: "done",
      status: response.status,
      contentType: response.contentType,
      body: fits ? response.body : undefined,
    });
  }

  markNotRun(claim: OrderClaim): void {
    this.#writeFinal(claim.key, claim.revision, {
      ...claim.record,
      state: "not_run",
    });
  }

  async read(order: OrderRef): Promise<OrderRecord | undefined> {
    const res = await this.#store.read(orderKey(order));
    return res.ok ? parseOrderRecord(res.value.value) : undefined;
  }

  #newRecord(order: OrderRef): OrderRecord {
    this.#claimCount += 1;
    return {
      state: "claimed",
      attemptId: `${this.#claimant.incarnation}-${this.#claimCount}`,
      gatewayId: this.#claimant.gatewayId,
      incarnation: this.#claimant.incarnation,
      bodyHash: order.bodyHash,
    };
  }

  #write(
    key: string,
    record: OrderRecord,
    expectRevision: number,
    leaseId?: string,
  ): Promise<BatchedWriteResult> {
    const value = JSON.stringify(record);
    return this.#batcher.write({ key, value, expectRevision, leaseId });
  }

  /** Returns the claim, or releases it if the deadline has passed. */
  #toClaimResult(
    key: string,
    record: OrderRecord,
    revision: number,
    deadline: number,
  ): ClaimResult {
    const claim = { key, record, revision };
    if (this.#timers.now() < deadline) return { kind: "claimed", claim };
    this.markNotRun(claim);
    return { kind: "unavailable" };
  }

  /**
   * Blocks a claim write that may still be applied: writes a `not_run` record in
   * its place or over it, and retries until that record or another attempt's
   * record is stored.
   */
  #blockLateClaim(key: string, record: OrderRecord): void {
    this.#writeFinal(key, 0, { ...record, state: "not_run" });
  }

  /**
   * Returns the lease that expires final records after their retention. Claims
   * have no lease: an order whose outcome is unknown must not expire.
   */
  async #retentionLease(): Promise<string | undefined> {
    const now = this.#timers.now();
    if (now - this.#leaseGrantedAt < LEASE_REUSE_MS) return this.#leaseId;
    this.#leaseGrantedAt = now;
    const ttlMs = ORDER_RETENTION_MS + LEASE_REUSE_MS;
    const res = await this.#store.grantLease(ttlMs);
    if (res.ok) this.#leaseId = res.value.id;
    else this.#leaseGrantedAt = -Infinity;
    return this.#leaseId;
  }

  /**
   * Writes a final record. Retries until it or another attempt's record is
   * stored.
   */
  async #writeFinal(
    key: string,
    expectRevision: number,
    record: OrderRecord,
  ): Promise<void> {
    this.#pendingWrites += 1;
    let expected = expectRevision;
    let pauseMs = RETRY_MIN_MS;
    while (true) {
      const leaseId = await this.#retentionLease();
      const res = await this.#write(key, record, expected, leaseId);
      if (res.kind === "written") break;
      if (res.kind === "mismatch") {
        const found = parseOrderRecord(res.current.value);
        const isOwn = found?.attemptId === record.attemptId;
        if (isOwn && found.state === record.state) break;
        // Another attempt's `not_run` record is overwritten: a late claim write of
        // this attempt could still match its revision.
        const isNotRunRecord = record.state === "not_run" &&
          found?.state === "not_run";
        const isAbsent = res.current.modRevision === 0;
        if (!isOwn && !isNotRunRecord && !isAbsent) break;
        expected = res.current.modRevision;
        continue;
      }
      await sleep(this.#timers, pauseMs);
      pauseMs = Math.min(pauseMs * 2, RETRY_MAX_MS);
    }
    this.#pendingWrites -= 1;
  }
}
