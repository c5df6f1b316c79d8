/**
 * A gateway's registration in the key-value store, bound to a lease.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type { KeyValueStore, StoreLease } from "../../ports/key_value_store.ts";
import type { GatewayMember } from "../../world/configuration.ts";
import { gatewayKey } from "../configuration/store_keys.ts";

/** TTL of the lease; a gateway that does not renew it is treated as stopped. */
export const REGISTRATION_TTL_MS = 10_000;
/** Interval between renewals. */
const RENEW_PERIOD_MS = 3_000;

/** Keeps one gateway registered while it runs. */
export class GatewayRegistration {
  readonly #timers: Timers;
  readonly #store: KeyValueStore;
  readonly #self: GatewayMember;
  #lease: StoreLease | undefined;
  #timer: Timer | undefined;
  #isRenewing = false;

  constructor(timers: Timers, store: KeyValueStore, self: GatewayMember) {
    this.#timers = timers;
    this.#store = store;
    this.#self = self;
  }

  /**
   * Registers the gateway and renews the lease until
   * {@linkcode GatewayRegistration.stop}.
   */
  start(): void {
    const step = () => this.#renewOrRegister();
    this.#timer = this.#timers.subscribe(RENEW_PERIOD_MS, step);
    this.#renewOrRegister();
  }

  /** Stops renewing the lease; the registration remains until it expires. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** Marks the gateway as leaving, so that others don't wait for it. */
  async leave(): Promise<void> {
    this.stop();
    await this.#write("leaving");
  }

  async #renewOrRegister(): Promise<void> {
    if (this.#isRenewing) return;
    this.#isRenewing = true;
    if (this.#lease === undefined || !(await this.#renew(this.#lease))) {
      await this.#register();
    }
    this.#isRenewing = false;
  }

  /**
   * Returns false if the lease has expired; true also after a store error, since
   * the lease may still be valid.
   */
  async #renew(lease: StoreLease): Promise<boolean> {
    const res = await this.#store.renewLease(lease);
    return !res.ok || res.value;
  }

  async #register(): Promise<void> {
    const lease = await this.#store.grantLease(REGISTRATION_TTL_MS);
    if (!lease.ok) return;
    this.#lease = lease.value;
    if (!(await this.#write("live"))) this.#lease = undefined;
  }

  /** Writes the registration over any previous value. */
  async #write(state: "live" | "leaving"): Promise<boolean> {
    const key = gatewayKey(this.#self.id);
    const value = JSON.stringify({ ...this.#self, state });
    const leaseId = this.#lease?.id;
    const current = await this.#store.read(key);
    if (!current.ok) return false;
    const expectRevision = current.value.modRevision;
    const put = { key, value, expectRevision, leaseId };
    const res = await this.#store.transact([put]);
    return res.ok && res.value.applied;
  }
}
