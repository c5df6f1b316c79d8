/**
 * What this process believes of the fleet, fed from the store.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timers } from "../../base/timers.ts";
import type {
  CoordinationEvent,
  CoordinationItem,
  CoordinationStore,
} from "../../ports/coordination_store.ts";
import type { FleetSchema } from "../../ports/fleet_schema.ts";
import type { CatalogHolder } from "../catalog/catalog_holder.ts";
import type { Age } from "../catalog/confirmation.ts";
import { ACTING_KEY } from "./acting_lease.ts";
import type { FeedPace } from "./change_feed.ts";
import { ChangeFeed } from "./change_feed.ts";
import type { HostChange } from "./host_changes.ts";
import { HostChanges } from "./host_changes.ts";
import type { HostRegistry } from "./host_registry.ts";
import { FLEET_PREFIX, isNodeKey } from "./registration.ts";

const HOST_FEED = "hosts";
/** An outage that ended this long ago still excuses missing hosts. */
const AFTER_OUTAGE_MS = 600;
const LARGE_FLEET = 8;
/** The acting node sees hosts change at once; the others hear of losses. */
const ACTING_HOST_PACE = { waitMs: 1_500, pauseMs: 40 };
const LARGE_ACTING_HOST_PACE = { waitMs: 1_500, pauseMs: 60 };
const HOST_PACE = { waitMs: 2_000, pauseMs: 350 };
/** In a large fleet two nodes tell the others of changes. */
const TELLER_HOST_PACE = { waitMs: 1_500, pauseMs: 200 };
const TOLD_HOST_PACE = { waitMs: 2_000, pauseMs: 12_000 };
const UNTOLD_HOST_PACE = { waitMs: 2_000, pauseMs: 700 };
/** Readers confirm the catalog for the nodes that hear them. */
const READER_PACE = { waitMs: 900, pauseMs: 100 };
const OPERATOR_PACE = { waitMs: 2_000, pauseMs: 100 };
const TOLD_OPERATOR_PACE = { waitMs: 20_000, pauseMs: 100 };
/** A confirmation older than this is asked for by each node itself. */
const CONFIRM_AGE_MS = 1_300;
const FLEET_PACE = { waitMs: 6_000, pauseMs: 300 };
const LARGE_FLEET_PACE = { waitMs: 12_000, pauseMs: 300 };
/** A node that hears no reader for this time asks the store itself. */
const UNTOLD_MS = 1_000;
/** For this time after an outage of the store nodes ask for themselves. */
const UNSETTLED_MS = 4_000;
const LOOK_MS = 250;
/** Confirmations that are older have not come by way of peers. */
const UNCONFIRMED_MS = 1_800;
/** A call is given up for a new one only after it would have failed by now. */
const NUDGE_MS = 900;

/** What one process saw in the store, for the others. */
export interface StateNews {
  /** Whether it follows hosts closely. */
  readonly tellsHosts: boolean;
  readonly hostChanges: readonly HostChange[];
  readonly isCutShort: boolean;
  /** Revision of the newest change of a host that it saw; 0 for none. */
  readonly hostRevision: number;
  /** Revision of the newest operators' document. */
  readonly operatorRevision: number;
}

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
    /** Whether it tells of hosts even when another node acts. */
    readonly isTeller: boolean;
    readonly fleetSize: number;
  };
  /** Shortest outage in which a living host's announcement can lapse. */
  readonly lapseAfterMs: number;
}

/** Follows hosts, operators' documents and the fleet's own keys. */
export class FleetState {
  readonly #parts: FleetStateParts;
  readonly #feeds: readonly ChangeFeed[];
  readonly #hostFollower: ChangeFeed;
  readonly #operatorFollower: ChangeFeed;
  readonly #changes = new HostChanges();
  readonly #lostAt = new Map<string, number>();
  #regainedAt = -Infinity;
  #wasTold = false;
  #toldAt = -Infinity;
  #operatorRevision = 0;
  readonly #nodes = new Map<string, string>();
  #outageEndedAt = -Infinity;

  constructor(parts: FleetStateParts) {
    this.#parts = parts;
    this.#hostFollower = this.#hostFeed();
    this.#operatorFollower = this.#operatorFeed();
    this.#feeds = [
      this.#hostFollower,
      this.#operatorFollower,
      this.#fleetFeed(),
    ];
  }

  /** Begins to follow. */
  start(): void {
    for (const feed of this.#feeds) feed.start();
    this.#parts.timers.subscribe(LOOK_MS, () => this.#look());
  }

  /** What this process tells the others of what it saw in the store. */
  news(): StateNews {
    const now = this.#parts.timers.now();
    const tellsHosts = this.#tellsHosts && !this.#lostAt.has(HOST_FEED);
    const { changes, isCutShort } = this.#changes.news(now);
    return {
      tellsHosts,
      hostChanges: tellsHosts ? changes : [],
      isCutShort: tellsHosts && isCutShort,
      hostRevision: tellsHosts ? this.#changes.lastChange : 0,
      operatorRevision: this.#operatorRevision,
    };
  }

  /** Takes what another process saw in the store. */
  hear(news: StateNews): void {
    const now = this.#parts.timers.now();
    if (news.tellsHosts) this.#toldAt = now;
    let isGap = news.isCutShort;
    for (const change of news.hostChanges) {
      isGap ||= change.previous > this.#changes.newest;
      if (this.#changes.take(change)) this.#applyHost(change);
    }
    isGap ||= this.#changes.misses(news.hostRevision);
    if (isGap) this.#nudge(this.#hostFollower);
    if (news.operatorRevision > this.#operatorRevision) {
      this.#nudge(this.#operatorFollower);
    }
  }

  /** Asks for a confirmation when none comes by way of peers. */
  #look(): void {
    const { confirmationAgeMs } = this.#parts.catalog;
    if (confirmationAgeMs > UNCONFIRMED_MS) this.#nudge(this.#operatorFollower);
    const { isTold } = this;
    if (!isTold && this.#wasTold) this.#nudge(this.#hostFollower);
    this.#wasTold = isTold;
  }

  #nudge(feed: ChangeFeed): void {
    const now = this.#parts.timers.now();
    if (now - feed.calledAt > NUDGE_MS) feed.nudge();
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

  get #isLarge(): boolean {
    return this.#parts.role().fleetSize > LARGE_FLEET;
  }

  get #tellsHosts(): boolean {
    const { isActing, isTeller } = this.#parts.role();
    return this.#isLarge && (isActing || isTeller);
  }

  /** Whether peers tell of changes that this process may then miss. */
  get isTold(): boolean {
    const now = this.#parts.timers.now();
    return now - this.#toldAt < UNTOLD_MS && !this.isCutOff &&
      now - this.#regainedAt > UNSETTLED_MS;
  }

  #hostPace(): FeedPace {
    const { isActing } = this.#parts.role();
    if (!this.#isLarge) return isActing ? ACTING_HOST_PACE : HOST_PACE;
    if (isActing) return LARGE_ACTING_HOST_PACE;
    if (this.#tellsHosts) return TELLER_HOST_PACE;
    return this.isTold ? TOLD_HOST_PACE : UNTOLD_HOST_PACE;
  }

  #operatorPace(): FeedPace {
    const isOld = this.#parts.catalog.confirmationAgeMs > CONFIRM_AGE_MS;
    if (isOld || this.#parts.role().isReader) return READER_PACE;
    return this.#isLarge ? TOLD_OPERATOR_PACE : OPERATOR_PACE;
  }

  #applyHost({ key, value, isLapsed }: HostChange): void {
    const { schema, hosts, timers } = this.#parts;
    const now = timers.now();
    const host = value === undefined
      ? undefined
      : schema.parseHost(key, Buffer.from(value));
    if (host !== undefined) return hosts.announce(host, now);
    hosts.withdraw(key.slice(schema.hostPrefix.length), now, isLapsed);
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
        onListing: (items, asOf) => {
          const listed = items.flatMap((item) => parse(item) ?? []);
          this.#changes.listed(
            asOf,
            items.map(({ key, revision }) => [key, revision]),
          );
          hosts.replaceAll(listed, timers.now(), this.#afterOutage);
        },
        onEvents: (events) => this.#hostEvents(events),
        ...this.#contact(HOST_FEED),
        onCovered: (asOf) => this.#changes.covered(asOf),
      },
    );
  }

  #hostEvents(events: readonly CoordinationEvent[]): void {
    const now = this.#parts.timers.now();
    const isLapsed = this.#afterOutage;
    for (const { key, value, revision } of events) {
      const previous = this.#changes.newest;
      const told = value && text(value);
      const change = { key, revision, previous, value: told, isLapsed };
      if (!this.#changes.take(change)) continue;
      this.#changes.keep(change, now);
      this.#applyHost(change);
    }
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
          for (const item of items) {
            this.#operatorSays(item.key, item.value);
            this.#sawOperator(item.revision);
          }
          this.#parts.listener.zonesChanged([...zonesOut]);
        },
        onEvents: (events) => {
          for (const event of events) {
            this.#operatorSays(event.key, event.value);
            this.#sawOperator(event.revision);
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

  #sawOperator(revision: number): void {
    this.#operatorRevision = Math.max(this.#operatorRevision, revision);
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
      () => this.#isLarge ? LARGE_FLEET_PACE : FLEET_PACE,
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

  /** How long an outage may have lasted before a feed that pauses saw it. */
  #unseenMs(feed: string): number {
    if (feed !== HOST_FEED || !this.#isLarge) return 0;
    const { confirmationAgeMs } = this.#parts.catalog;
    return Math.min(confirmationAgeMs, TOLD_HOST_PACE.pauseMs);
  }

  #contact(feed: string) {
    const { timers, listener, lapseAfterMs } = this.#parts;
    return {
      onConfirmed: (_askedAt: Age) => {
        const lostAt = this.#lostAt.get(feed);
        if (lostAt === undefined) return;
        this.#lostAt.delete(feed);
        this.#regainedAt = timers.now();
        const silentMs = timers.now() - lostAt;
        const canLapse = feed === HOST_FEED && silentMs >= lapseAfterMs;
        if (canLapse) this.#outageEndedAt = timers.now();
        listener.feedRegained(feed, silentMs);
      },
      onLost: (detail: string) => {
        if (this.#lostAt.has(feed)) return;
        this.#lostAt.set(feed, timers.now() - this.#unseenMs(feed));
        listener.feedLost(feed, detail);
      },
    };
  }
}

function text(value: Uint8Array): string {
  return Buffer.from(value).toString("utf8");
}
