/**
 * Keeps this node listed in the store while its process runs.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import { sleep, TIMED_OUT, withTimeout } from "../../base/timers.ts";
import type {
  CoordinationStore,
  Lease,
} from "../../ports/coordination_store.ts";

/** Prefix of the keys that the fleet itself writes to the store. */
export const FLEET_PREFIX = "oleander/";
const NODE_PREFIX = `${FLEET_PREFIX}nodes/`;
const LEASE_TTL_MS = 6_000;
const RENEW_MS = 2_000;
const RETRY_MS = 500;
const REQUEST_TIMEOUT_MS = 1_500;

/** Registers the node under a lease and renews the lease. */
export class NodeRegistration {
  readonly #timers: Timers;
  readonly #store: CoordinationStore;
  readonly #key: string;
  readonly #value: string;
  readonly #onRegistered: () => void;
  #lease: Lease | undefined;
  #stopped = false;

  constructor(
    timers: Timers,
    store: CoordinationStore,
    nodeId: string,
    internalAddress: string,
    onRegistered: () => void = () => {},
  ) {
    this.#timers = timers;
    this.#store = store;
    this.#key = `${NODE_PREFIX}${nodeId}`;
    this.#value = internalAddress;
    this.#onRegistered = onRegistered;
  }

  /** Starts registering and renewing. */
  start(): void {
    this.#run();
  }

  /** Stops renewing and ends the lease. */
  async leave(): Promise<void> {
    this.#stopped = true;
    if (this.#lease === undefined) return;
    await withTimeout(
      this.#timers,
      this.#store.endLease(this.#lease),
      REQUEST_TIMEOUT_MS,
    );
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      let isRegistered = this.#lease !== undefined &&
        await this.#renew(this.#lease);
      // Also when the renewal has just shown that the lease has ended.
      if (this.#lease === undefined) isRegistered = await this.#register();
      await sleep(this.#timers, isRegistered ? RENEW_MS : RETRY_MS);
    }
  }

  async #register(): Promise<boolean> {
    const lease = await this.#withTimeout(
      this.#store.grantLease(LEASE_TTL_MS),
    );
    if (lease === TIMED_OUT || !lease.ok) return false;
    const put = { key: this.#key, value: this.#value, lease: lease.value };
    const res = await this.#withTimeout(this.#store.write([], [put], []));
    if (res === TIMED_OUT || !res.ok || res.value.kind !== "written") {
      return false;
    }
    this.#lease = lease.value;
    this.#onRegistered();
    return true;
  }

  async #renew(lease: Lease): Promise<boolean> {
    const res = await this.#withTimeout(this.#store.renewLease(lease));
    if (res === TIMED_OUT || !res.ok) return false;
    const { isRenewed } = res.value;
    if (!isRenewed) this.#lease = undefined;
    return isRenewed;
  }

  #withTimeout<T>(request: Promise<T>): Promise<T | typeof TIMED_OUT> {
    return withTimeout(this.#timers, request, REQUEST_TIMEOUT_MS);
  }
}

/**
 * Whether a key is the registration of a node.
 *
 * @example
 * ```ts
 * if (isNodeKey(item.key)) addresses.push(decodeText(item.value));
 * ```
 */
export function isNodeKey(key: string): boolean {
  return key.startsWith(NODE_PREFIX);
}
