/**
 * This process's view of the fleet, as read from the store and from peers.
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
import type { ClockReading } from "../catalog/confirmation.ts";
import { LEADER_KEY } from "./leader_lease.ts";
import type { FeedTiming } from "./change_feed.ts";
import { ChangeFeed } from "./change_feed.ts";
import type { HostChange } from "./host_changes.ts";
import { HostChanges } from "./host_changes.ts";
import type { HostRegistry } from "./host_registry.ts";
import { FLEET_PREFIX, isNodeKey } from "./node_registration.ts";

/** Name of the feed of host announcements. */
const HOST_FEED = "hosts";
/**
 * An announcement that is missing within this time after an outage may merely
 * have lapsed, while its host is live.
 */
const POST_OUTAGE_GRACE_MS = 600;
/** In a fleet with more nodes, some publish host changes to the others. */
const MAX_SMALL_FLEET_NODES = 8;
/**
 * The leader polls host changes almost without a pause. The other nodes poll
 * less often, as they learn of losses from their peers' suspicions.
 */
const LEADER_HOST_TIMING = { waitMs: 1_500, pauseMs: 40 };
const LARGE_LEADER_HOST_TIMING = { waitMs: 1_500, pauseMs: 60 };
const HOST_TIMING = { waitMs: 2_000, pauseMs: 350 };
/**
 * For a publisher in a large fleet that is not the leader. At most two nodes
 * publish host changes there: the leader and one other.
 */
const PUBLISHER_HOST_TIMING = { waitMs: 1_500, pauseMs: 200 };
/** For nodes of a large fleet that receive host changes from a publisher. */
const SUBSCRIBER_HOST_TIMING = { waitMs: 2_000, pauseMs: 12_000 };
/** For nodes of a large fleet that receive no host changes from a publisher. */
const FALLBACK_HOST_TIMING = { waitMs: 2_000, pauseMs: 700 };
/**
 * For readers: the few nodes that poll often, and whose messages to their peers
 * confirm the catalog for all nodes.
 */
const READER_TIMING = { waitMs: 900, pauseMs: 100 };
const OPERATOR_TIMING = { waitMs: 2_000, pauseMs: 100 };
const LARGE_OPERATOR_TIMING = { waitMs: 20_000, pauseMs: 100 };
/**
 * If the catalog's last confirmation is older, a node polls the operators'
 * documents as often as a reader.
 */
const MAX_CONFIRMATION_AGE_MS = 1_300;
const FLEET_TIMING = { waitMs: 6_000, pauseMs: 300 };
const LARGE_FLEET_TIMING = { waitMs: 12_000, pauseMs: 300 };
/**
 * A node without messages from a publisher for this time polls the store
 * itself.
 */
const PUBLISHER_TIMEOUT_MS = 1_000;
/** For this time after a store outage, nodes poll the store themselves. */
const POST_OUTAGE_POLLING_MS = 4_000;
/** Interval of checks whether confirmations and host changes still arrive. */
const FEED_CHECK_MS = 250;
/**
 * If the catalog's last confirmation is older, the node does not wait for peers
 * any longer and polls the operators' documents at once.
 */
const UNCONFIRMED_MS = 1_800;
/**
 * A poll in progress is abandoned for a new one only once it is older than
 * this: by then, a poll with a short wait has completed or timed out.
 */
const ABANDON_REQUEST_AFTER_MS = 900;

/** What one process read from the store, for its peers. */
export interface StateUpdate {
  /** Whether the process polls host changes often, and publishes them. */
  readonly publishesHosts: boolean;
  readonly hostChanges: readonly HostChange[];
  /** Whether older changes were left out, so that peers must poll the store. */
  readonly isTruncated: boolean;
  /** Revision of the newest host change from the feed or a peer; 0 for none. */
  readonly hostRevision: number;
  /** Revision of the newest operators' document that the process read. */
  readonly operatorRevision: number;
}

/** Receives changes of the fleet state. */
export interface FleetStateListener {
  catalogChanged(version: number): void;
  /** Called with the zones that operators have taken out of service. */
  zonesChanged(out: readonly string[]): void;
  nodesChanged(internalAddresses: readonly string[]): void;
  leaderChanged(nodeId: string | undefined): void;
  /** Called when a feed's requests begin to fail. */
  feedLost(feed: string, detail: string): void;
  /** Called when a feed's request succeeds again after `silentMs`. */
  feedRegained(feed: string, silentMs: number): void;
}

/** Dependencies of the fleet state. */
export interface FleetStateDependencies {
  readonly timers: Timers;
  readonly store: CoordinationStore;
  readonly schema: FleetSchema;
  readonly catalog: CatalogHolder;
  readonly hosts: HostRegistry;
  /** Zones that operators have taken out of service; updated in place. */
  readonly zonesOutOfService: Set<string>;
  readonly listener: FleetStateListener;
  /** This node's role in the fleet, and the fleet's size in nodes. */
  readonly role: () => {
    readonly isLeader: boolean;
    /** Whether the node polls the operators' documents often, for its peers. */
    readonly isReader: boolean;
    /** Whether the node publishes host changes while another node leads. */
    readonly isPublisher: boolean;
    readonly fleetSize: number;
  };
  /** Shortest store outage in which a live host's announcement can lapse. */
  readonly lapseAfterMs: number;
}

/** Follows the store's hosts, operators' documents and keys of the fleet. */
export class FleetState {
  readonly #deps: FleetStateDependencies;
  readonly #feeds: readonly ChangeFeed[];
  readonly #hostFeed: ChangeFeed;
  readonly #operatorFeed: ChangeFeed;
  readonly #changes = new HostChanges();
  /** Start of the current outage, by feed. */
  readonly #lostAt = new Map<string, number>();
  /** When a feed last recovered from an outage. */
  #regainedAt = -Infinity;
  #hadPublisher = false;
  /** When the last update of a publisher was received. */
  #publisherSeenAt = -Infinity;
  #operatorRevision = 0;
  /** Internal addresses of nodes, by key. */
  readonly #nodeAddresses = new Map<string, string>();
  /**
   * When the host feed last recovered from an outage that was long enough for
   * announcements of live hosts to lapse.
   */
  #longOutageEndedAt = -Infinity;

  constructor(deps: FleetStateDependencies) {
    this.#deps = deps;
    this.#hostFeed = this.#createHostFeed();
    this.#operatorFeed = this.#createOperatorFeed();
    this.#feeds = [
      this.#hostFeed,
      this.#operatorFeed,
      this.#createFleetFeed(),
    ];
  }

  /** Starts following. */
  start(): void {
    for (const feed of this.#feeds) feed.start();
    this.#deps.timers.subscribe(FEED_CHECK_MS, () => this.#checkFeeds());
  }

  /** Returns what this process read from the store, to publish it to peers. */
  createUpdate(): StateUpdate {
    const now = this.#deps.timers.now();
    const publishesHosts = this.#publishesHosts && !this.#lostAt.has(HOST_FEED);
    const { changes, isTruncated } = this.#changes.changesToPublish(now);
    return {
      publishesHosts,
      hostChanges: publishesHosts ? changes : [],
      isTruncated: publishesHosts && isTruncated,
      hostRevision: publishesHosts ? this.#changes.lastEventRevision : 0,
      operatorRevision: this.#operatorRevision,
    };
  }

  /** Applies what another process read from the store. */
  receiveUpdate(update: StateUpdate): void {
    const now = this.#deps.timers.now();
    if (update.publishesHosts) this.#publisherSeenAt = now;
    let isGap = update.isTruncated;
    for (const change of update.hostChanges) {
      isGap ||= change.previous > this.#changes.newestRevision;
      if (this.#changes.accept(change)) this.#applyHost(change);
    }
    isGap ||= this.#changes.isMissing(update.hostRevision);
    if (isGap) this.#pollNow(this.#hostFeed);
    if (update.operatorRevision > this.#operatorRevision) {
      this.#pollNow(this.#operatorFeed);
    }
  }

  /** Polls the store for what no longer arrives from peers. */
  #checkFeeds(): void {
    const { confirmationAgeMs } = this.#deps.catalog;
    if (confirmationAgeMs > UNCONFIRMED_MS) this.#pollNow(this.#operatorFeed);
    const { hasPublisher } = this;
    if (!hasPublisher && this.#hadPublisher) this.#pollNow(this.#hostFeed);
    this.#hadPublisher = hasPublisher;
  }

  #pollNow(feed: ChangeFeed): void {
    const now = this.#deps.timers.now();
    if (now - feed.lastRequestAt > ABANDON_REQUEST_AFTER_MS) feed.pollNow();
  }

  /** Whether any feed gets no response from the store. */
  get isStoreUnreachable(): boolean {
    return this.#lostAt.size > 0;
  }

  /**
   * Whether missing announcements may merely have lapsed during a store outage.
   */
  get #mayHaveLapsed(): boolean {
    const { timers, lapseAfterMs } = this.#deps;
    const now = timers.now();
    const lostAt = this.#lostAt.get(HOST_FEED);
    const isLong = lostAt !== undefined && now - lostAt >= lapseAfterMs;
    return isLong || now - this.#longOutageEndedAt < POST_OUTAGE_GRACE_MS;
  }

  get #isLarge(): boolean {
    return this.#deps.role().fleetSize > MAX_SMALL_FLEET_NODES;
  }

  get #publishesHosts(): boolean {
    const { isLeader, isPublisher } = this.#deps.role();
    return this.#isLarge && (isLeader || isPublisher);
  }

  /**
   * Whether a publisher's host changes arrive, so that this process can poll
   * rarely.
   */
  get hasPublisher(): boolean {
    const now = this.#deps.timers.now();
    return now - this.#publisherSeenAt < PUBLISHER_TIMEOUT_MS &&
      !this.isStoreUnreachable &&
      now - this.#regainedAt > POST_OUTAGE_POLLING_MS;
  }

  #hostTiming(): FeedTiming {
    const { isLeader } = this.#deps.role();
    if (!this.#isLarge) return isLeader ? LEADER_HOST_TIMING : HOST_TIMING;
    if (isLeader) return LARGE_LEADER_HOST_TIMING;
    if (this.#publishesHosts) return PUBLISHER_HOST_TIMING;
    return this.hasPublisher ? SUBSCRIBER_HOST_TIMING : FALLBACK_HOST_TIMING;
  }

  #operatorTiming(): FeedTiming {
    const isOld =
      this.#deps.catalog.confirmationAgeMs > MAX_CONFIRMATION_AGE_MS;
    if (isOld || this.#deps.role().isReader) return READER_TIMING;
    return this.#isLarge ? LARGE_OPERATOR_TIMING : OPERATOR_TIMING;
  }

  #applyHost({ key, value, isLapsed }: HostChange): void {
    const { schema, hosts, timers } = this.#deps;
    const now = timers.now();
    const host = value === undefined
      ? undefined
      : schema.parseHost(key, Buffer.from(value));
    if (host !== undefined) return hosts.announce(host, now);
    hosts.withdraw(key.slice(schema.hostPrefix.length), now, isLapsed);
  }

  #createHostFeed(): ChangeFeed {
    const { timers, store, schema, hosts } = this.#deps;
    const readClocks = () => this.#deps.catalog.readClocks();
    const parse = (item: CoordinationItem) =>
      schema.parseHost(item.key, item.value);
    return new ChangeFeed(
      timers,
      store,
      schema.hostPrefix,
      () => this.#hostTiming(),
      readClocks,
      {
        onListing: (items, asOf) => {
          const listed = items.flatMap((item) => parse(item) ?? []);
          this.#changes.reset(
            asOf,
            items.map(({ key, revision }) => [key, revision]),
          );
          hosts.replaceAll(listed, timers.now(), this.#mayHaveLapsed);
        },
        onEvents: (events) => this.#handleHostEvents(events),
        ...this.#outageHandlers(HOST_FEED),
        onProgress: (asOf) => this.#changes.recordProgress(asOf),
      },
    );
  }

  #handleHostEvents(events: readonly CoordinationEvent[]): void {
    const now = this.#deps.timers.now();
    const isLapsed = this.#mayHaveLapsed;
    for (const { key, value, revision } of events) {
      const previous = this.#changes.newestRevision;
      const valueText = value && decodeText(value);
      const change = { key, revision, previous, value: valueText, isLapsed };
      if (!this.#changes.accept(change)) continue;
      this.#changes.enqueue(change, now);
      this.#applyHost(change);
    }
  }

  #createOperatorFeed(): ChangeFeed {
    const { timers, store, schema, catalog, zonesOutOfService } = this.#deps;
    const readClocks = () => catalog.readClocks();
    const prefix = schema.operatorPrefix;
    const outageHandlers = this.#outageHandlers("operator");
    return new ChangeFeed(
      timers,
      store,
      prefix,
      () => this.#operatorTiming(),
      readClocks,
      {
        onListing: (items) => {
          zonesOutOfService.clear();
          for (const item of items) {
            this.#applyOperatorItem(item.key, item.value);
            this.#recordOperatorRevision(item.revision);
          }
          this.#deps.listener.zonesChanged([...zonesOutOfService]);
        },
        onEvents: (events) => {
          for (const event of events) {
            this.#applyOperatorItem(event.key, event.value);
            this.#recordOperatorRevision(event.revision);
          }
        },
        onConfirmed: (requestedAt) => {
          outageHandlers.onConfirmed(requestedAt);
          catalog.recordConfirmation(catalog.version, requestedAt);
        },
        onRequestFailed: outageHandlers.onRequestFailed,
      },
    );
  }

  #recordOperatorRevision(revision: number): void {
    this.#operatorRevision = Math.max(this.#operatorRevision, revision);
  }

  #applyOperatorItem(key: string, value: Uint8Array | undefined): void {
    const { schema, catalog, zonesOutOfService, listener } = this.#deps;
    if (schema.isCatalog(key) && value !== undefined) {
      const parsed = schema.parseCatalog(value);
      if (parsed !== undefined && catalog.installIfNewer(parsed)) {
        listener.catalogChanged(parsed.version);
      }
      return;
    }
    const zone = schema.zoneOutOfService(key);
    if (zone === undefined) return;
    if (value === undefined) zonesOutOfService.delete(zone);
    else zonesOutOfService.add(zone);
    listener.zonesChanged([...zonesOutOfService]);
  }

  #createFleetFeed(): ChangeFeed {
    const { timers, store, listener } = this.#deps;
    const readClocks = () => this.#deps.catalog.readClocks();
    return new ChangeFeed(
      timers,
      store,
      FLEET_PREFIX,
      () => this.#isLarge ? LARGE_FLEET_TIMING : FLEET_TIMING,
      readClocks,
      {
        onListing: (items) => {
          this.#nodeAddresses.clear();
          const leader = items.find((item) => item.key === LEADER_KEY);
          listener.leaderChanged(leader && decodeText(leader.value));
          for (const { key, value } of items) {
            if (isNodeKey(key)) this.#nodeAddresses.set(key, decodeText(value));
          }
          listener.nodesChanged([...this.#nodeAddresses.values()]);
        },
        onEvents: (events) => {
          for (const { key, value } of events) {
            if (key === LEADER_KEY) {
              listener.leaderChanged(value && decodeText(value));
            }
            if (!isNodeKey(key)) continue;
            if (value === undefined) this.#nodeAddresses.delete(key);
            else this.#nodeAddresses.set(key, decodeText(value));
          }
          listener.nodesChanged([...this.#nodeAddresses.values()]);
        },
        ...this.#outageHandlers("fleet"),
      },
    );
  }

  /**
   * Longest time that an outage may have lasted before a paused feed detected
   * it.
   */
  #maxUnseenOutageMs(feed: string): number {
    if (feed !== HOST_FEED || !this.#isLarge) return 0;
    const { confirmationAgeMs } = this.#deps.catalog;
    return Math.min(confirmationAgeMs, SUBSCRIBER_HOST_TIMING.pauseMs);
  }

  #outageHandlers(feed: string) {
    const { timers, listener, lapseAfterMs } = this.#deps;
    return {
      onConfirmed: (_requestedAt: ClockReading) => {
        const lostAt = this.#lostAt.get(feed);
        if (lostAt === undefined) return;
        this.#lostAt.delete(feed);
        this.#regainedAt = timers.now();
        const silentMs = timers.now() - lostAt;
        const canLapse = feed === HOST_FEED && silentMs >= lapseAfterMs;
        if (canLapse) this.#longOutageEndedAt = timers.now();
        listener.feedRegained(feed, silentMs);
      },
      onRequestFailed: (detail: string) => {
        if (this.#lostAt.has(feed)) return;
        this.#lostAt.set(feed, timers.now() - this.#maxUnseenOutageMs(feed));
        listener.feedLost(feed, detail);
      },
    };
  }
}

function decodeText(value: Uint8Array): string {
  return Buffer.from(value).toString("utf8");
}
