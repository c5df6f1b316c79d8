/**
 * The lease that makes one controller the active one.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { KeyValueStore, StoreLease } from "../../ports/key_value_store.ts";
import { CONTROLLER_KEY } from "../configuration/store_keys.ts";

/** Time without renewal after which another controller may take over. */
export const LEASE_TTL_MS = 5_000;
/** The holder stops this long before the store lets the lease go. */
const LEASE_MARGIN_MS = 1_000;
/** Time between renewals. */
export const RENEW_PERIOD_MS = 1_000;

/** Proof of leadership at a moment. */
export interface Leadership {
  /** Fencing number: larger for each later holder. */
  readonly fence: number;
  readonly acquiredAt: number;
}

/** Acquires, renews and checks the controller's lease. */
export class ControllerLease {
  readonly #timers: Timers;
  readonly #store: KeyValueStore;
  readonly #holder: string;
  #lease: StoreLease | undefined;
  #leadership: Leadership | undefined;
  #validUntil = -Infinity;
  #renewedAt = -Infinity;

  constructor(timers: Timers, store: KeyValueStore, holder: string) {
    this.#timers = timers;
    this.#store = store;
    this.#holder = holder;
  }

  /**
   * The leadership held now; undefined when there is none. Must be asked right
   * before each act: a pause may have outlived the lease.
   */
  get leadership(): Leadership | undefined {
    if (this.#timers.now() >= this.#validUntil) return undefined;
    return this.#leadership;
  }

  /** Renews the lease, or tries to become the holder. */
  async maintain(): Promise<void> {
    const now = this.#timers.now();
    if (this.#leadership !== undefined && now >= this.#validUntil) {
      this.#clear();
    }
    if (this.#leadership === undefined) return await this.#acquire();
    if (now - this.#renewedAt >= RENEW_PERIOD_MS) await this.#renew();
  }

  /** Gives the lease up so that another controller need not wait. */
  async release(): Promise<void> {
    if (this.#leadership === undefined) return;
    this.#clear();
    const current = await this.#store.read(CONTROLLER_KEY);
    if (!current.ok || current.value.value !== this.#holder) return;
    await this.#store.transact([{
      key: CONTROLLER_KEY,
      value: "",
      expectRevision: current.value.modRevision,
    }]);
  }

  async #acquire(): Promise<void> {
    const requestedAt = this.#timers.now();
    const current = await this.#store.read(CONTROLLER_KEY);
    if (!current.ok) return;
    const { value, modRevision } = current.value;
    // An own claim found here is of an answer that was lost: its lease is not
    // known, so it is left to lapse.
    if (value !== "") return;
    const lease = await this.#store.grantLease(LEASE_TTL_MS);
    if (!lease.ok) return;
    const res = await this.#store.transact([{
      key: CONTROLLER_KEY,
      value: this.#holder,
      expectRevision: modRevision,
      leaseId: lease.value.id,
    }]);
    if (!res.ok || !res.value.applied) return;
    this.#lease = lease.value;
    this.#renewedAt = requestedAt;
    this.#validUntil = requestedAt + LEASE_TTL_MS - LEASE_MARGIN_MS;
    const acquiredAt = this.#timers.now();
    this.#leadership = { fence: res.value.revision, acquiredAt };
  }

  async #renew(): Promise<void> {
    if (this.#lease === undefined) return;
    const requestedAt = this.#timers.now();
    const res = await this.#store.renewLease(this.#lease);
    if (!res.ok) return;
    if (!res.value) return this.#clear();
    this.#renewedAt = requestedAt;
    this.#validUntil = requestedAt + LEASE_TTL_MS - LEASE_MARGIN_MS;
  }

  #clear(): void {
    this.#leadership = undefined;
    this.#lease = undefined;
    this.#validUntil = -Infinity;
  }
}
