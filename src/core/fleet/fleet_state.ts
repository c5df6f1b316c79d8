/**
 * This process's view of the fleet, as read from the store and from peers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timers } from "../../base/timers.ts";
import type { CoordinationStore } from "../../ports/coordination_store.ts";
import type { FleetSchema } from "../../ports/fleet_schema.ts";
import type { CatalogHolder } from "../catalog/catalog_holder.ts";
import { LEADER_KEY } from "./leader_lease.ts";
import type { FeedTiming } from "./change_feed.ts";
import { ChangeFeed } from "./change_feed.ts";
import { OperatorDocuments } from "./operator_documents.ts";
import { HostList } from "./host_list.ts";
import type { HostRegistry } from "./host_registry.ts";
import type { HostDeparture, HostUpdate } from "./host_update.ts";
import type { StoreEra } from "./store_era.ts";
import type { ReachabilityListener } from "./store_reachability.ts";
import { StoreReachability } from "./store_reachability.ts";
import { FLEET_PREFIX, isNodeKey } from "./node_registration.ts";

/** In a fleet with more nodes, some publish host changes to the others. */
const MAX_SMALL_FLEET_NODES = 8;
/** Names of the feeds of the operators' documents and of the fleet's keys. */
const OPERATOR_FEED = "operator";
const FLEET_FEED = "fleet";
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
/** Interval of checks whether confirmations and host changes still arrive. */
const FEED_CHECK_MS = 250;
/**
 * If the catalog's last confirmation is older, the node does not wait for peers
 * any longer and polls the operators' documents at once.
 */
const UNCONFIRMED_MS = 1_800;
/** What one process read from the store, for its peers. */
export interface StateUpdate extends HostUpdate {
  /** Revision of the newest operators' document that the process read. */
  readonly operatorRevision: number;
}

/** Receives changes of the fleet state. */
export interface FleetStateListener extends ReachabilityListener {
  catalogChanged(version: number): void;
  /** Called with the zones that operators have taken out of service. */
  zonesChanged(out: readonly string[]): void;
  nodesChanged(internalAddresses: readonly string[]): void;
  leaderChanged(nodeId: string | undefined): void;
  /** Called after each listing of the hosts by this process. */
  hostsListed(): void;
  /** Called when the list of hosts has become too old and is polled. */
  hostListOutdated(ageMs: number): void;
  /** Called when this process learns that a host leaves or has left. */
  hostLeft(departure: HostDeparture): void;
}

/** Dependencies of the fleet state. */
export interface FleetStateDependencies {
  readonly timers: Timers;
  readonly store: CoordinationStore;
  readonly era: StoreEra;
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
  /** Time within which requests to a leaving host must end. */
  readonly drainWithinMs: () => number;
}

/** Follows the store's hosts, operators' documents and keys of the fleet. */
export class FleetState {
  readonly #deps: FleetStateDependencies;
  readonly #reachability: StoreReachability;
  readonly #hostList: HostList;
  readonly #documents: OperatorDocuments;
  readonly #fleetFeed: ChangeFeed;
  /** Internal addresses of nodes, by key. */
  readonly #nodeAddresses = new Map<string, string>();

  constructor(deps: FleetStateDependencies) {
    this.#deps = deps;
    const { timers, store, schema, hosts, listener } = deps;
    this.#reachability = new StoreReachability(timers, listener);
    this.#hostList = new HostList({
      timers,
      store,
      schema,
      hosts,
      reachability: this.#reachability,
      era: deps.era,
      readClocks: () => deps.catalog.readClocks(),
      role: () => ({ ...deps.role(), isFleetLarge: this.#isLarge }),
      lapseAfterMs: deps.lapseAfterMs,
      drainWithinMs: deps.drainWithinMs,
      onOutdated: (ageMs) => listener.hostListOutdated(ageMs),
      onListed: () => listener.hostsListed(),
      onHostLeft: (departure) => listener.hostLeft(departure),
    });
    this.#documents = this.#createOperatorDocuments();
    this.#fleetFeed = this.#createFleetFeed();
    deps.era.onRise((era) => this.#handleRestoration(era));
  }

  /** Starts following. */
  start(): void {
    this.#hostList.start();
    this.#documents.start();
    this.#fleetFeed.start();
    this.#deps.timers.subscribe(FEED_CHECK_MS, () => this.#checkFeeds());
  }

  /** Returns what this process read from the store, to publish it to peers. */
  createUpdate(): StateUpdate {
    return {
      ...this.#hostList.createUpdate(),
      operatorRevision: this.#documents.revision,
    };
  }

  /**
   * Applies what another process, `from`, read from the store. `unseenMs` is the
   * time on its way that the ages in it leave out; undefined if not known.
   */
  receiveUpdate(
    update: StateUpdate,
    from: string,
    unseenMs: number | undefined,
  ): void {
    const { era } = this.#deps;
    // Nodes of earlier versions and those without an answer of the store send 0.
    if (update.storeEra > 0) era.observe(update.storeEra);
    if (era.isObsolete(update.storeEra)) return;
    this.#hostList.receiveUpdate(update, from, unseenMs);
    if (update.operatorRevision > this.#documents.revision) {
      this.#documents.pollSoon();
    }
  }

  #handleRestoration(era: number): void {
    this.#hostList.handleRestoration(era);
    this.#documents.handleRestoration(era);
    this.#fleetFeed.restart(era);
  }

  /** Polls the store for what no longer arrives from peers. */
  #checkFeeds(): void {
    const { confirmationAgeMs } = this.#deps.catalog;
    if (confirmationAgeMs > UNCONFIRMED_MS) this.#documents.pollSoon();
    this.#hostList.check();
  }

  /**
   * Whether no read shows that the catalog in force is the newest, as the store was
   * restored and operators may have to write a newer one again.
   */
  get isCatalogUnsettled(): boolean {
    return this.#documents.isCatalogUnsettled;
  }

  /** Whether any feed gets no response from the store. */
  get isStoreUnreachable(): boolean {
    return this.#reachability.isUnreachable;
  }

  /** Time since the list of hosts was last known to be complete. */
  get hostListAgeMs(): number {
    return this.#hostList.ageMs;
  }

  get #isLarge(): boolean {
    return this.#deps.role().fleetSize > MAX_SMALL_FLEET_NODES;
  }

  #operatorTiming(): FeedTiming {
    const isOld =
      this.#deps.catalog.confirmationAgeMs > MAX_CONFIRMATION_AGE_MS;
    if (isOld || this.#deps.role().isReader) return READER_TIMING;
    return this.#isLarge ? LARGE_OPERATOR_TIMING : OPERATOR_TIMING;
  }

  #createOperatorDocuments(): OperatorDocuments {
    const { timers, store, schema, catalog, zonesOutOfService, listener } =
      this.#deps;
    return new OperatorDocuments({
      timers,
      store,
      schema,
      catalog,
      zonesOutOfService,
      timing: () => this.#operatorTiming(),
      onCatalog: (version) => listener.catalogChanged(version),
      onZones: (out) => listener.zonesChanged(out),
      onRequestSucceeded: () => this.#reachability.recordSuccess(OPERATOR_FEED),
      onRequestFailed: (detail) =>
        this.#reachability.recordFailure(OPERATOR_FEED, detail),
    });
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
        onConfirmed: () => this.#reachability.recordSuccess(FLEET_FEED),
        onRequestFailed: (detail) =>
          this.#reachability.recordFailure(FLEET_FEED, detail),
      },
    );
  }
}

function decodeText(value: Uint8Array): string {
  return Buffer.from(value).toString("utf8");
}
