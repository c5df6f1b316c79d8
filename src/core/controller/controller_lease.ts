/**
 * Leader election: the lease that makes one controller the leader.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { KeyValueStore, StoreLease } from "../../ports/key_value_store.ts";
import { CONTROLLER_KEY } from "../configuration/store_keys.ts";

/** Time without renewal after which another controller may acquire the lease. */
export const LEASE_TTL_MS = 5_000;
/** How long before the expiry of its lease the leader stops acting as leader. */
const LEASE_MARGIN_MS = 1_000;
/** Time between renewals. */
export const RENEW_PERIOD_MS = 1_000;

/** A period in which this controller is the leader. */
export interface Leadership {
  /** Fencing token; increases with each new leader. */
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
   * The current leadership; undefined when there is none. Must be read right
   * before each action because the lease may have expired during a pause of the
   * process.
   */
  get leadership(): Leadership | undefined {
    if (this.#timers.now() >= this.#validUntil) return undefined;
    return this.#leadership;
  }

  /** Renews the lease, or tries to acquire it. */
  async maintain(): Promise<void> {
    const now = this.#timers.now();
    if (this.#leadership !== undefined && now >= this.#validUntil) {
      this.#clear();
    }
    if (this.#leadership === undefined) return await this.#acquire();
    if (now - this.#renewedAt >= RENEW_PERIOD_MS) await this.#renew();
  }

  /**
   * Releases the lease so that another controller doesn't wait for its expiry.
   */
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
    // The value may be this controller's own if the response to its acquisition
    // was lost. The id of its lease is then unknown, so the lease can't be renewed
    // and must expire.
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
