/**
 * Access to a store that may be restored from an older copy.
 *
 * @module
 */
import type { Outcome } from "../../base/outcome.ts";
import { failure, success } from "../../base/outcome.ts";
import type {
  Condition,
  CoordinationChanges,
  CoordinationError,
  CoordinationListing,
  CoordinationPut,
  CoordinationStore,
  EraOfAnswer,
  Lease,
  LeaseRenewal,
  StorePosition,
  WriteResult,
} from "../../ports/coordination_store.ts";
import type { StoreEra } from "./store_era.ts";

type AsyncOutcome<T> = Promise<Outcome<T, CoordinationError>>;

/** A kind of call to the store, for metrics. */
export type StoreCall =
  | "list"
  | "changes"
  | "write"
  | "grant_lease"
  | "renew_lease"
  | "end_lease";

/** Called for each call to the store, with the prefix that it reads. */
export type StoreCallObserver = (call: StoreCall, prefix: string) => void;

const RESTORED: Outcome<never, CoordinationError> = failure({
  kind: "restored",
});

/**
 * {@linkcode CoordinationStore} that records the eras of answers, and returns
 * nothing of a former era: answers that arrive late, changes since a lost position,
 * and leases whose ids may belong to others.
 */
export class EraCheckedStore implements CoordinationStore {
  readonly #store: CoordinationStore;
  readonly #era: StoreEra;
  readonly #onCall: StoreCallObserver;

  constructor(
    store: CoordinationStore,
    era: StoreEra,
    onCall: StoreCallObserver = () => {},
  ) {
    this.#store = store;
    this.#era = era;
    this.#onCall = onCall;
  }

  list(prefix: string): AsyncOutcome<CoordinationListing> {
    this.#onCall("list", prefix);
    return this.#check(this.#store.list(prefix));
  }

  async changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
  ): AsyncOutcome<CoordinationChanges> {
    if (this.#era.isObsolete(after.era)) return RESTORED;
    this.#onCall("changes", prefix);
    const res = await this.#check(this.#store.changes(prefix, after, waitMs));
    return res.ok && res.value.era !== after.era ? RESTORED : res;
  }

  async write(
    conditions: readonly Condition[],
    puts: readonly CoordinationPut[],
    removes: readonly string[],
  ): AsyncOutcome<WriteResult> {
    const leases = puts.flatMap(({ lease }) => lease ?? []);
    if (leases.some((lease) => this.#era.isObsolete(lease.era))) {
      return success({ kind: "lease_ended", era: this.#era.newest ?? 0 });
    }
    this.#onCall("write", "");
    const res = await this.#check(
      this.#store.write(conditions, puts, removes),
    );
    if (!res.ok || res.value.kind !== "written") return res;
    const { era } = res.value;
    if (leases.every((lease) => lease.era === era)) return res;
    return failure({ kind: "ambiguous", detail: "lease of a former era" });
  }

  grantLease(ttlMs: number): AsyncOutcome<Lease> {
    this.#onCall("grant_lease", "");
    return this.#check(this.#store.grantLease(ttlMs));
  }

  async renewLease(lease: Lease): AsyncOutcome<LeaseRenewal> {
    if (this.#era.isObsolete(lease.era)) {
      return success({ isRenewed: false, era: this.#era.newest ?? 0 });
    }
    this.#onCall("renew_lease", "");
    const res = await this.#check(this.#store.renewLease(lease));
    if (!res.ok) return res;
    const { era, isRenewed } = res.value;
    return success({ era, isRenewed: isRenewed && era === lease.era });
  }

  async endLease(lease: Lease): AsyncOutcome<EraOfAnswer> {
    // The renewal shows whether the id is still that of this lease.
    const renewal = await this.renewLease(lease);
    if (!renewal.ok || !renewal.value.isRenewed) return renewal;
    this.#onCall("end_lease", "");
    return this.#check(this.#store.endLease(lease));
  }

  async #check<T extends EraOfAnswer>(
    request: AsyncOutcome<T>,
  ): AsyncOutcome<T> {
    const res = await request;
    if (!res.ok) return res;
    const { era } = res.value;
    this.#era.observe(era);
    return this.#era.isObsolete(era) ? RESTORED : res;
  }
}
