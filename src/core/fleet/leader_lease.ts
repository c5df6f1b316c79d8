/**
 * Elects the leader of the fleet, by a lease in the store.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timers } from "../../base/timers.ts";
import { sleep, TIMED_OUT, withTimeout } from "../../base/timers.ts";
import type {
  CoordinationStore,
  Lease,
  WriteResult,
} from "../../ports/coordination_store.ts";
import type { ClockReading } from "../catalog/confirmation.ts";
import { Confirmation } from "../catalog/confirmation.ts";
import type { StoreEra } from "./store_era.ts";
import { FLEET_PREFIX } from "./node_registration.ts";

/** Key that the leader holds under its lease. */
export const LEADER_KEY = `${FLEET_PREFIX}acting`;
const LEASE_TTL_MS = 1_500;
const RENEW_MS = 400;
const REQUEST_TIMEOUT_MS = 700;
/** The leader steps down this long before its lease can end. */
const SAFETY_MARGIN_MS = 300;
/** Interval of campaign checks while another process holds the key. */
const CAMPAIGN_POLL_MS = 150;
/** Interval of campaign checks of a process that may not become the leader. */
const INELIGIBLE_POLL_MS = 500;
/**
 * The term rises by this much with each restoration of the store, which loses fewer
 * revisions than that.
 */
const TERMS_PER_ERA = 2 ** 20;
/** Eras repeat after this many, so that terms and epochs stay safe integers. */
const MAX_ERAS = 2 ** 20;
/** A process campaigns again after this time even if the key appears held. */
const CAMPAIGN_RETRY_MS = 3_000;

/** A process campaigns after this time if the key could not be read. */
const HOLDER_READ_TIMEOUT_MS = 200;

/** Dependencies of the lease. */
export interface LeaderLeaseDependencies {
  readonly timers: Timers;
  readonly store: CoordinationStore;
  readonly era: StoreEra;
  readonly nodeId: string;
  readonly wallClock: () => number;
  /** Whether this process may become the leader at all. */
  readonly mayLead: () => boolean;
  /** Called when this process has become the leader. */
  readonly onGained: (term: number) => void;
  /** Called when this process is no longer the leader. */
  readonly onLost: (reason: string) => void;
}

/** Campaigns for the leader's key, and holds it by renewing the lease. */
export class LeaderLease {
  readonly #deps: LeaderLeaseDependencies;
  readonly #lastRenewal: Confirmation;
  #lease: Lease | undefined;
  #term = 0;
  /**
   * Node that holds the key, as last known; "another" if its id is not known,
   * undefined if there is none.
   */
  #holder: string | undefined;
  #campaignedAt = -Infinity;
  /** Until then, the holder of a lease of a former era may still trust it. */
  #mayCampaignAt = -Infinity;
  /** Whether this process has tried to write the key. */
  #hasWritten = false;
  #isHolder = false;
  /** Ends the wait for the first reading of the key. */
  #onHolderRead: (() => void) | undefined;
  #stopped = false;

  constructor(deps: LeaderLeaseDependencies) {
    this.#deps = deps;
    this.#lastRenewal = new Confirmation(
      () => deps.timers.now(),
      deps.wallClock,
    );
    deps.era.onRise(() => this.#handleRestoration());
  }

  /**
   * Number of the term, which increases with each holder: the position in the
   * store at which the key was acquired. 0 if it was not acquired in this era.
   */
  get term(): number {
    return this.#term;
  }

  /**
   * Whether this process holds the key and its lease can't have ended, according
   * to both the monotonic and the wall clock.
   */
  get isLeader(): boolean {
    return this.#isHolder &&
      this.#lastRenewal.ageMs < LEASE_TTL_MS - SAFETY_MARGIN_MS;
  }

  /** Starts campaigning. */
  start(): void {
    this.#run();
  }

  /** Gives up leadership and ends the lease. */
  async resign(): Promise<void> {
    this.#stopped = true;
    this.#stopLeading("resigned");
    const lease = this.#lease;
    this.#lease = undefined;
    if (lease !== undefined) {
      await this.#withTimeout(this.#deps.store.endLease(lease));
    }
  }

  /**
   * Sets the key's holder as read from the store; undefined if there is none.
   */
  setHolder(nodeId: string | undefined): void {
    this.#holder = nodeId;
    this.#onHolderRead?.();
    if (nodeId === undefined) this.#campaignedAt = -Infinity;
  }

  async #run(): Promise<void> {
    const { timers } = this.#deps;
    await this.#awaitHolder();
    while (!this.#stopped) {
      if (this.#isHolder) await this.#renew();
      else if (this.#shouldCampaign()) await this.#campaign();
      if (this.#isHolder && !this.isLeader) {
        this.#stopLeading("lease not renewed");
      }
      await sleep(timers, this.#intervalMs);
    }
  }

  /**
   * Waits for the first reading of the key, so that starting nodes don't campaign
   * for a key that another one holds.
   */
  async #awaitHolder(): Promise<void> {
    const read = new Promise<void>((resolve) => this.#onHolderRead = resolve);
    const { timers } = this.#deps;
    await withTimeout(timers, read, HOLDER_READ_TIMEOUT_MS);
    this.#onHolderRead = undefined;
    if (this.#holder !== undefined) this.#campaignedAt = timers.now();
  }

  get #intervalMs(): number {
    if (this.#isHolder) return RENEW_MS;
    return this.#deps.mayLead() ? CAMPAIGN_POLL_MS : INELIGIBLE_POLL_MS;
  }

  #shouldCampaign(): boolean {
    if (!this.#deps.mayLead()) return false;
    const { timers, nodeId } = this.#deps;
    const now = timers.now();
    if (now < this.#mayCampaignAt) return false;
    const isFree = this.#holder === undefined ||
      (this.#holder === nodeId && this.#hasWritten);
    return isFree ||
      now - this.#campaignedAt > CAMPAIGN_RETRY_MS;
  }

  async #campaign(): Promise<void> {
    const { store, timers, nodeId } = this.#deps;
    this.#campaignedAt = timers.now();
    if (this.#lease === undefined) {
      const granted = await this.#withTimeout(
        store.grantLease(LEASE_TTL_MS),
      );
      if (granted === TIMED_OUT || !granted.ok) return;
      this.#lease = granted.value;
      // The answer may have shown a restoration.
      if (timers.now() < this.#mayCampaignAt) return;
    }
    const requestedAt = this.#lastRenewal.readClocks();
    // The lease may be left from an earlier campaign and have ended meanwhile.
    const renewed = await this.#withTimeout(store.renewLease(this.#lease));
    if (renewed === TIMED_OUT || !renewed.ok) return;
    if (!renewed.value.isRenewed) {
      this.#lease = undefined;
      return;
    }
    await this.#acquireKey(this.#lease, nodeId, requestedAt);
  }

  async #acquireKey(
    lease: Lease,
    value: string,
    requestedAt: ClockReading,
  ): Promise<void> {
    const mayBeOwn = this.#hasWritten;
    this.#hasWritten = true;
    let res = await this.#putKey(lease, value, 0);
    if (res?.kind === "conflict") {
      // The key may be left from a lost term of this process, under another lease.
      const own = res.current.find((item) => decodeText(item.value) === value);
      if (own !== undefined && mayBeOwn) {
        res = await this.#putKey(lease, value, own.revision);
      }
    }
    if (res === undefined) return;
    if (res.kind === "lease_ended") this.#lease = undefined;
    if (res.kind === "conflict") this.#holder = "another";
    if (res.kind !== "written" || this.#stopped) return;
    // The store was restored after its response, but before this process read it.
    if (this.#lease !== lease) return;
    this.#lastRenewal.record(requestedAt);
    this.#term = termAt(res.era, res.revision);
    this.#holder = value;
    this.#isHolder = true;
    this.#deps.onGained(this.#term);
  }

  /** Writes the key if it has a revision; returns undefined without an answer. */
  async #putKey(
    lease: Lease,
    value: string,
    revision: number,
  ): Promise<WriteResult | undefined> {
    const condition = { key: LEADER_KEY, revision };
    const put = { key: LEADER_KEY, value, lease };
    const res = await this.#withTimeout(
      this.#deps.store.write([condition], [put], []),
    );
    return res === TIMED_OUT || !res.ok ? undefined : res.value;
  }

  /**
   * Ends the term: the key may be lost and the lease's id another's. Others wait for
   * as long as the last holder may trust its lease; the last holder need not.
   */
  #handleRestoration(): void {
    const wasLeader = this.isLeader;
    this.#lease = undefined;
    this.#term = 0;
    this.#stopLeading("store restored");
    this.#holder = undefined;
    this.#campaignedAt = -Infinity;
    if (wasLeader) return;
    this.#mayCampaignAt = this.#deps.timers.now() + LEASE_TTL_MS;
  }

  async #renew(): Promise<void> {
    if (this.#lease === undefined) return this.#stopLeading("no lease");
    const requestedAt = this.#lastRenewal.readClocks();
    const res = await this.#withTimeout(
      this.#deps.store.renewLease(this.#lease),
    );
    if (res === TIMED_OUT || !res.ok) return;
    if (res.value.isRenewed) return this.#lastRenewal.record(requestedAt);
    this.#lease = undefined;
    this.#stopLeading("lease ended");
  }

  #stopLeading(reason: string): void {
    if (!this.#isHolder) return;
    this.#isHolder = false;
    this.#holder = undefined;
    this.#deps.onLost(reason);
  }

  #withTimeout<T>(request: Promise<T>): Promise<T | typeof TIMED_OUT> {
    return withTimeout(this.#deps.timers, request, REQUEST_TIMEOUT_MS);
  }
}

function termAt(era: number, revision: number): number {
  return (era % MAX_ERAS) * TERMS_PER_ERA + revision;
}

function decodeText(value: Uint8Array): string {
  return Buffer.from(value).toString("utf8");
}
