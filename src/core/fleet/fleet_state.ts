/**
 * What this process believes of the fleet, fed from the store.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timers } from "../../base/timers.ts";
import type {
  CoordinationItem,
  CoordinationStore,
} from "../../ports/coordination_store.ts";
import type { FleetSchema } from "../../ports/fleet_schema.ts";
import type { CatalogHolder } from "../catalog/catalog_holder.ts";
import type { Age } from "../catalog/confirmation.ts";
import { ACTING_KEY } from "./acting_lease.ts";
import type { FeedPace } from "./change_feed.ts";
import { ChangeFeed } from "./change_feed.ts";
import type { HostRegistry } from "./host_registry.ts";
import { FLEET_PREFIX, isNodeKey } from "./registration.ts";

const HOST_FEED = "hosts";
/** An outage that ended this long ago still excuses missing hosts. */
const AFTER_OUTAGE_MS = 600;
/** The acting node sees hosts change at once; the others hear of losses. */
const ACTING_HOST_PACE = { waitMs: 1_500, pauseMs: 40 };
const HOST_PACE = { waitMs: 2_000, pauseMs: 350 };
const LARGE_FLEET_HOST_PACE = { waitMs: 2_000, pauseMs: 700 };
const LARGE_FLEET = 8;
/** Readers confirm the catalog for the nodes that hear them. */
const READER_PACE = { waitMs: 900, pauseMs: 100 };
const OPERATOR_PACE = { waitMs: 2_000, pauseMs: 100 };
/** A confirmation older than this is asked for by each node itself. */
const CONFIRM_AGE_MS = 1_300;
const FLEET_PACE = { waitMs: 6_000, pauseMs: 300 };

/** Told of what changes. */
export interface FleetStateListener {
  catalogChanged(version: number): void;
  zonesChanged(out: readonly string[]): void;
  nodesChanged(internalAddresses: readonly string[]): void;
  actingIs(nodeId: string | undefined): void;
  feedLost(feed: string, detail: string): void;
  feedRegained(feed: string, silentMs: number): void;
}

/** What the state works with. */
export interface FleetStateParts {
  readonly timers: Timers;
  readonly store: CoordinationStore;
  readonly schema: FleetSchema;
  readonly catalog: CatalogHolder;
  readonly hosts: HostRegistry;
  readonly zonesOut: Set<string>;
  readonly listener: FleetStateListener;
  /** What this node does for the others, and how many they are. */
  readonly role: () => {
    readonly isActing: boolean;
    readonly isReader: boolean;
    readonly fleetSize: number;
  };
  /** Shortest outage in which a living host's announcement can lapse. */
  readonly lapseAfterMs: number;
}

/** Follows hosts, operators' documents and the fleet's own keys. */
export class FleetState {
  readonly #parts: FleetStateParts;
  readonly #feeds: readonly ChangeFeed[];
  readonly #lostAt = new Map<string, number>();
  readonly #nodes = new Map<string, string>();
  #outageEndedAt = -Infinity;

  constructor(parts: FleetStateParts) {
    this.#parts = parts;
    this.#feeds = [this.#hostFeed(), this.#operatorFeed(), this.#fleetFeed()];
  }

  /** Begins to follow. */
  start(): void {
    for (const feed of this.#feeds) feed.start();
  }

  /** Whether any feed is without an answer. */
  get isCutOff(): boolean {
    return this.#lostAt.size > 0;
  }

  /** Whether announcements may only have lapsed while the store was away. */
  get #afterOutage(): boolean {
    const { timers, lapseAfterMs } = this.#parts;
    const now = timers.now();
    const lostAt = this.#lostAt.get(HOST_FEED);
    const isLong = lostAt !== undefined && now - lostAt >= lapseAfterMs;
    return isLong || now - this.#outageEndedAt < AFTER_OUTAGE_MS;
  }

  #hostPace(): FeedPace {
    const { isActing, fleetSize } = this.#parts.role();
    if (isActing) return ACTING_HOST_PACE;
    return fleetSize > LARGE_FLEET ? LARGE_FLEET_HOST_PACE : HOST_PACE;
  }

  #operatorPace(): FeedPace {
    const isOld = this.#parts.catalog.confirmationAgeMs > CONFIRM_AGE_MS;
    return isOld || this.#parts.role().isReader ? READER_PACE : OPERATOR_PACE;
  }

  #hostFeed(): ChangeFeed {
    const { timers, store, schema, hosts } = this.#parts;
    const clocks = () => this.#parts.catalog.now();
    const parse = (item: CoordinationItem) =>
      schema.parseHost(item.key, item.value);
    return new ChangeFeed(
      timers,
      store,
      schema.hostPrefix,
      () => this.#hostPace(),
      clocks,
      {
        onListing: (items) => {
          const listed = items.flatMap((item) => parse(item) ?? []);
          hosts.replaceAll(listed, timers.now(), this.#afterOutage);
        },
        onEvents: (events) => {
          for (const { key, value, revision } of events) {
            const host = value && parse({ key, value, revision });
            const now = timers.now();
            if (host !== undefined) hosts.announce(host, now);
            else {
              const id = key.slice(schema.hostPrefix.length);
              hosts.withdraw(id, now, this.#afterOutage);
            }
          }
        },
        ...this.#contact(HOST_FEED),
      },
    );
  }

  #operatorFeed(): ChangeFeed {
    const { timers, store, schema, catalog, zonesOut } = this.#parts;
    const clocks = () => catalog.now();
    const prefix = schema.operatorPrefix;
    const contact = this.#contact("operator");
    return new ChangeFeed(
      timers,
      store,
      prefix,
      () => this.#operatorPace(),
      clocks,
      {
        onListing: (items) => {
          zonesOut.clear();
          for (const item of items) this.#operatorSays(item.key, item.value);
          this.#parts.listener.zonesChanged([...zonesOut]);
        },
        onEvents: (events) => {
          for (const event of events) {
            this.#operatorSays(event.key, event.value);
          }
        },
        onConfirmed: (askedAt) => {
          contact.onConfirmed(askedAt);
          catalog.confirmed(catalog.version, askedAt);
        },
        onLost: contact.onLost,
      },
    );
  }

  #operatorSays(key: string, value: Uint8Array | undefined): void {
    const { schema, catalog, zonesOut, listener } = this.#parts;
    if (schema.isCatalog(key) && value !== undefined) {
      const parsed = schema.parseCatalog(value);
      if (parsed !== undefined && catalog.offer(parsed)) {
        listener.catalogChanged(parsed.version);
      }
      return;
    }
    const zone = schema.zoneTakenOut(key);
    if (zone === undefined) return;
    if (value === undefined) zonesOut.delete(zone);
    else zonesOut.add(zone);
    listener.zonesChanged([...zonesOut]);
  }

  #fleetFeed(): ChangeFeed {
    const { timers, store, listener } = this.#parts;
    const clocks = () => this.#parts.catalog.now();
    return new ChangeFeed(
      timers,
      store,
      FLEET_PREFIX,
      () => FLEET_PACE,
      clocks,
      {
        onListing: (items) => {
          this.#nodes.clear();
          const acting = items.find((item) => item.key === ACTING_KEY);
          listener.actingIs(acting && text(acting.value));
          for (const { key, value } of items) {
            if (isNodeKey(key)) this.#nodes.set(key, text(value));
          }
          listener.nodesChanged([...this.#nodes.values()]);
        },
        onEvents: (events) => {
          for (const { key, value } of events) {
            if (key === ACTING_KEY) listener.actingIs(value && text(value));
            if (!isNodeKey(key)) continue;
            if (value === undefined) this.#nodes.delete(key);
            else this.#nodes.set(key, text(value));
          }
          listener.nodesChanged([...this.#nodes.values()]);
        },
        ...this.#contact("fleet"),
      },
    );
  }

  #contact(feed: string) {
    const { timers, listener, lapseAfterMs } = this.#parts;
    return {
      onConfirmed: (_askedAt: Age) => {
        const lostAt = this.#lostAt.get(feed);
        if (lostAt === undefined) return;
        this.#lostAt.delete(feed);
        const silentMs = timers.now() - lostAt;
        const canLapse = feed === HOST_FEED && silentMs >= lapseAfterMs;
        if (canLapse) this.#outageEndedAt = timers.now();
        listener.feedRegained(feed, silentMs);
      },
      onLost: (detail: string) => {
        if (this.#lostAt.has(feed)) return;
        this.#lostAt.set(feed, timers.now());
        listener.feedLost(feed, detail);
      },
    };
  }
}

function text(value: Uint8Array): string {
  return Buffer.from(value).toString("utf8");
}
