/**
 * Reads the configuration and the domain records from the key-value store.
 *
 * @module
 */
import { rendezvousOrder } from "../../base/hash.ts";
import type { Timer, Timers } from "../../base/timers.ts";
import type {
  KeyValueStore,
  StoreEntry,
  StoreWatch,
} from "../../ports/key_value_store.ts";
import type { DomainRecord } from "../../world/replica_group.ts";
import type { ConfigReplica } from "./config_replica.ts";
import { parseConfiguration, parseDomainRecord } from "./parse.ts";
import { CONFIG_KEY, DOMAIN_PREFIX } from "./store_keys.ts";

/** Interval between polls; each poll reads only what is due. */
const POLL_PERIOD_MS = 500;
/** Number of gateways that read and watch the store on behalf of all. */
export const STORE_READER_COUNT = 2;
/**
 * Age of the last confirmation beyond which every gateway reads the store
 * itself.
 */
const SELF_READ_AGE_MS = 1_800;
/** Interval between complete reads of the domain records. */
const RECORDS_PERIOD_MS = 5_000;

/** Dependencies of {@linkcode StoreReader}. */
export interface StoreReaderDependencies {
  readonly timers: Timers;
  readonly store: KeyValueStore;
  readonly replica: ConfigReplica;
  readonly selfId: string;
  onRecord(record: DomainRecord): void;
}

/**
 * Reads and watches the store on {@linkcode STORE_READER_COUNT} gateways. The
 * other gateways get updates from these through peer sync, and read the store
 * only when their last confirmation is old.
 */
export class StoreReader {
  readonly #deps: StoreReaderDependencies;
  #watches: StoreWatch[] = [];
  #timer: Timer | undefined;
  #reading = false;
  #recordsReadAt = -Infinity;

  constructor(deps: StoreReaderDependencies) {
    this.#deps = deps;
  }

  /** Starts reading. */
  start(): void {
    this.#timer = this.#deps.timers.subscribe(
      POLL_PERIOD_MS,
      () => this.#poll(),
    );
    this.#poll();
  }

  /** Stops reading and cancels the watches. */
  stop(): void {
    this.#timer?.cancel();
    this.#unwatch();
  }

  /** Reads the configuration without waiting for the next poll. */
  async readConfig(): Promise<void> {
    const requestedAt = this.#deps.timers.now();
    const res = await this.#deps.store.read(CONFIG_KEY);
    if (!res.ok) return;
    const cfg = parseConfiguration(res.value.value);
    if (cfg === undefined) return;
    this.#deps.replica.installIfNewer(cfg);
    this.#deps.replica.confirmByStore(requestedAt, cfg.revision);
  }

  async #poll(): Promise<void> {
    const isReader = this.#isReader();
    if (isReader && this.#watches.length === 0) this.#watch();
    if (!isReader) this.#unwatch();
    const now = this.#deps.timers.now();
    const isConfirmationOld = this.#deps.replica.ageMs(now) > SELF_READ_AGE_MS;
    if (this.#reading || (!isReader && !isConfirmationOld)) return;
    this.#reading = true;
    await this.readConfig();
    if (now - this.#recordsReadAt >= RECORDS_PERIOD_MS) {
      await this.#readRecords(now);
    }
    this.#reading = false;
  }

  async #readRecords(now: number): Promise<void> {
    const res = await this.#deps.store.readPrefix(DOMAIN_PREFIX);
    if (!res.ok) return;
    this.#recordsReadAt = now;
    for (const entry of res.value) this.#applyRecord(entry);
  }

  #isReader(): boolean {
    const ids = this.#deps.replica.cfg.gateways.map((g) => g.id);
    const readers = rendezvousOrder("store-readers", ids);
    return readers.slice(0, STORE_READER_COUNT).includes(this.#deps.selfId);
  }

  #watch(): void {
    const onClosed = () => this.#unwatch();
    const store = this.#deps.store;
    this.#watches = [
      store.watchPrefix(CONFIG_KEY, {
        onEntry: (entry) => this.#applyConfig(entry),
        onClosed,
      }),
      store.watchPrefix(DOMAIN_PREFIX, {
        onEntry: (entry) => this.#applyRecord(entry),
        onClosed,
      }),
    ];
  }

  #unwatch(): void {
    const watches = this.#watches;
    this.#watches = [];
    for (const watch of watches) watch.cancel();
    // Without the watches, changes are missed: all records must be read again.
    if (watches.length > 0) this.#recordsReadAt = -Infinity;
  }

  #applyConfig(entry: StoreEntry): void {
    const cfg = parseConfiguration(entry.value);
    if (cfg !== undefined) this.#deps.replica.installIfNewer(cfg);
  }

  #applyRecord(entry: StoreEntry): void {
    const record = parseDomainRecord(entry.value);
    if (record !== undefined) this.#deps.onRecord(record);
  }
}
