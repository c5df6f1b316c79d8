/**
 * The operators' documents in the store: the catalog, and the zones that are out
 * of service.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type {
  CoordinationEvent,
  CoordinationItem,
  CoordinationStore,
} from "../../ports/coordination_store.ts";
import type { FleetSchema } from "../../ports/fleet_schema.ts";
import type { CatalogHolder } from "../catalog/catalog_holder.ts";
import type { ClockReading } from "../catalog/confirmation.ts";
import type { FeedTiming } from "./change_feed.ts";
import { ChangeFeed } from "./change_feed.ts";

/**
 * After a restoration the store may show an older catalog than operators have
 * written, which they write again within this time.
 */
const CATALOG_REWRITE_MS = 600;
/** The same for zones; a zone that is out of service for longer does no harm. */
const ZONES_REWRITE_MS = 1_800;

/** Dependencies of {@linkcode OperatorDocuments}. */
export interface OperatorDocumentsDependencies {
  readonly timers: Timers;
  readonly store: CoordinationStore;
  readonly schema: FleetSchema;
  readonly catalog: CatalogHolder;
  /** Zones that operators have taken out of service; updated in place. */
  readonly zonesOutOfService: Set<string>;
  readonly timing: () => FeedTiming;
  readonly onCatalog: (version: number) => void;
  readonly onZones: (out: readonly string[]) => void;
  readonly onRequestSucceeded: () => void;
  readonly onRequestFailed: (detail: string) => void;
}

/**
 * Follows the operators' documents. A restored store may show older ones: a catalog
 * in force stays, and is confirmed again only by the same version; a zone out of
 * service stays so until operators had time to write it again.
 */
export class OperatorDocuments {
  readonly #deps: OperatorDocumentsDependencies;
  readonly #feed: ChangeFeed;
  /** Zones that the store lists as out of service. */
  readonly #listedZones = new Set<string>();
  /** Version of the catalog that the store has, as last read. */
  #storedVersion = 0;
  #revision = 0;
  /** Until then, operators may write a newer catalog again. */
  #catalogSettlesAt = -Infinity;
  /** Runs while operators may take zones out of service again. */
  #zonesTimer: Timer | undefined;

  constructor(deps: OperatorDocumentsDependencies) {
    this.#deps = deps;
    const { timers, store, schema, timing, catalog } = deps;
    this.#feed = new ChangeFeed(
      timers,
      store,
      schema.operatorPrefix,
      timing,
      () => catalog.readClocks(),
      {
        onListing: (items) => this.#handleListing(items),
        onEvents: (events) => this.#handleEvents(events),
        onConfirmed: (requestedAt) => this.#handleConfirmed(requestedAt),
        onRequestFailed: deps.onRequestFailed,
      },
    );
  }

  /** Starts following. */
  start(): void {
    this.#feed.start();
  }

  /** Polls the store at once, unless a request has just begun. */
  pollSoon(): void {
    this.#feed.pollSoon();
  }

  /** Revision of the newest document that was read in this era; 0 for none. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Whether operators may have to write a newer catalog again, so that no read
   * shows that the one in force is the newest.
   */
  get isCatalogUnsettled(): boolean {
    return this.#deps.timers.now() < this.#catalogSettlesAt;
  }

  /** Lists the documents again, as the store was restored. */
  handleRestoration(era: number): void {
    const { timers } = this.#deps;
    this.#revision = 0;
    this.#catalogSettlesAt = timers.now() + CATALOG_REWRITE_MS;
    timers.after(CATALOG_REWRITE_MS, () => this.#feed.pollNow());
    this.#zonesTimer?.cancel();
    this.#zonesTimer = timers.after(ZONES_REWRITE_MS, () => {
      this.#zonesTimer = undefined;
      this.#updateZones();
    });
    this.#feed.restart(era);
  }

  #handleListing(items: readonly CoordinationItem[]): void {
    const { schema } = this.#deps;
    this.#listedZones.clear();
    if (!items.some(({ key }) => schema.isCatalog(key))) {
      this.#storedVersion = 0;
    }
    for (const { key, value, revision } of items) {
      this.#applyItem(key, value);
      this.#revision = Math.max(this.#revision, revision);
    }
    this.#updateZones();
  }

  #handleEvents(events: readonly CoordinationEvent[]): void {
    const { schema, zonesOutOfService } = this.#deps;
    for (const { key, value, revision } of events) {
      this.#applyItem(key, value);
      this.#revision = Math.max(this.#revision, revision);
      // What is written now is the operators' newest.
      if (schema.isCatalog(key)) this.#catalogSettlesAt = -Infinity;
      const zone = schema.zoneOutOfService(key);
      if (zone === undefined) continue;
      if (value === undefined) zonesOutOfService.delete(zone);
      this.#updateZones();
    }
  }

  #handleConfirmed(requestedAt: ClockReading): void {
    this.#deps.onRequestSucceeded();
    if (this.isCatalogUnsettled) return;
    this.#deps.catalog.recordConfirmation(this.#storedVersion, requestedAt);
  }

  #applyItem(key: string, value: Uint8Array | undefined): void {
    const { schema, catalog, onCatalog } = this.#deps;
    if (schema.isCatalog(key) && value !== undefined) {
      const parsed = schema.parseCatalog(value);
      if (parsed === undefined) return;
      this.#storedVersion = parsed.version;
      if (catalog.installIfNewer(parsed)) onCatalog(parsed.version);
      return;
    }
    const zone = schema.zoneOutOfService(key);
    if (zone === undefined) return;
    if (value === undefined) this.#listedZones.delete(zone);
    else this.#listedZones.add(zone);
  }

  /** Updates the zones out of service; none returns while one may be missing. */
  #updateZones(): void {
    const { zonesOutOfService, onZones } = this.#deps;
    if (this.#zonesTimer === undefined) zonesOutOfService.clear();
    for (const zone of this.#listedZones) zonesOutOfService.add(zone);
    onZones([...zonesOutOfService]);
  }
}
