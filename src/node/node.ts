/**
 * State and decisions of one node, without sockets.
 *
 * @module
 */
import { LoopMonitor } from "../base/loop_monitor.ts";
import type { Random } from "../base/random.ts";
import type { Timers } from "../base/timers.ts";
import { CatalogHolder } from "../core/catalog/catalog_holder.ts";
import type { StoreCall } from "../core/fleet/era_checked_store.ts";
import { EraCheckedStore } from "../core/fleet/era_checked_store.ts";
import { LeaderLease } from "../core/fleet/leader_lease.ts";
import { SuspicionTracker } from "../core/fleet/suspicion_tracker.ts";
import { FleetState } from "../core/fleet/fleet_state.ts";
import { HostRegistry } from "../core/fleet/host_registry.ts";
import { NodeRegistration } from "../core/fleet/node_registration.ts";
import { StoreEra } from "../core/fleet/store_era.ts";
import { ReplicaView } from "../core/fleet/replica_view.ts";
import type {
  EntryChange,
  EntryNode,
  EntryStatus,
  NodeCapacity,
} from "../core/entry/mod.ts";
import { EntryDirectory, LoadMeter } from "../core/entry/mod.ts";
import type { HubCandidate } from "../core/gossip/hub_election.ts";
import type { HostStatus, StatusMessage } from "../core/gossip/messages.ts";
import { ObservationExchange } from "../core/gossip/observation_exchange.ts";
import { NodeClock } from "../core/gossip/node_clock.ts";
import { PauseDetector } from "../core/gossip/pause_detector.ts";
import { PeerClocks } from "../core/gossip/peer_clocks.ts";
import { PeerGossip } from "../core/gossip/peer_gossip.ts";
import { GroupOrchestrator } from "../core/orchestrator/group_orchestrator.ts";
import { Relay } from "../core/relay/relay.ts";
import type { EventLog } from "../base/event_log.ts";
import type { CoordinationStore } from "../ports/coordination_store.ts";
import type { Datagrams } from "../ports/datagrams.ts";
import type { FleetSchema } from "../ports/fleet_schema.ts";
import type { HostControl } from "../ports/host_control.ts";
import type { RelayClient } from "../ports/relay_client.ts";
import type { NodeSettings } from "../settings/node_settings.ts";
import type { CallerLimits } from "../world/catalog.ts";
import type { DatagramTraffic } from "./metered_datagrams.ts";
import { MeteredDatagrams } from "./metered_datagrams.ts";
import { NodeMetrics } from "./node_metrics.ts";
import { RequestLog } from "./request_log.ts";
import { StartReport } from "./start_report.ts";
import type { StartTimeline } from "./start_timeline.ts";

const GOSSIP_PERIOD_MS = 100;
const BYTES_PER_MEGABIT = 125_000;
/**
 * Number of nodes that poll the store for the catalog at short intervals; their
 * gossip confirms the catalog for the other nodes.
 */
const CATALOG_READERS = 3;
/** Number of nodes that send what they have learnt of engines to their peers. */
const RESIDUAL_SHARERS = 8;
/** Interval at which the number of calls to the store is logged. */
const STORE_CALLS_LOG_MS = 10_000;
/** Number of nodes that campaign for leadership when no node holds it. */
const LEADER_CANDIDATES = 3;
/**
 * Shortest store outage, in heartbeat intervals, in which a live host's
 * announcement can lapse. An announcement lapses after three missed heartbeats,
 * and the first of the three intervals may have begun before the outage.
 */
const MIN_LAPSING_OUTAGE_HEARTBEATS = 2;
/**
 * API keys are accepted while the catalog's last confirmation is younger than
 * this share of `confirm_keys_within`, the time within which all nodes must
 * refuse a revoked key.
 */
const KEY_TRUST_RATIO = 0.85;
/** Bytes of statuses in a second, sent or received, from which a line is logged. */
const LOGGED_STATUS_BYTES = 2_000_000;
/** Lags of the event loop from which a line is logged. */
const LOGGED_LAG_MS = 200;

/** Settings and dependencies of a node. */
export interface NodeDependencies {
  readonly settings: NodeSettings;
  readonly timers: Timers;
  /** Returns Unix time in milliseconds. */
  readonly wallClock: () => number;
  readonly random: Random;
  /** Identity of one run of the node. */
  readonly incarnation: string;
  readonly store: CoordinationStore;
  readonly schema: FleetSchema;
  readonly control: HostControl;
  readonly client: RelayClient;
  readonly datagrams: Datagrams;
  readonly log: EventLog;
  /** Time for which the event loop was busy since the start, in milliseconds. */
  readonly loopBusyMs: () => number;
  /** How long callers may cache an address. */
  readonly addressTtlMs: number;
  /** Called with the limits of each catalog that is put in force. */
  readonly onLimits: (limits: CallerLimits) => void;
  /** Steps of the start that the process has reached. */
  readonly timeline: StartTimeline;
}

/** One node of the fleet. */
export class Node {
  readonly relay: Relay;
  readonly metrics: NodeMetrics;
  readonly #deps: NodeDependencies;
  readonly #startReport: StartReport;
  readonly #storeEra = new StoreEra();
  readonly #store: CoordinationStore;
  readonly #catalog: CatalogHolder;
  readonly #hosts = new HostRegistry();
  readonly #suspicions = new SuspicionTracker();
  /** Availability zones that operators have taken out of service. */
  readonly #zonesOutOfService = new Set<string>();
  readonly #pauseDetector: PauseDetector;
  readonly #clock: NodeClock;
  readonly #peerClocks = new PeerClocks();
  readonly #loopMonitor: LoopMonitor;
  readonly #loadMeter: LoadMeter;
  readonly #entry: EntryDirectory;
  readonly #replicaView: ReplicaView;
  readonly #observations: ObservationExchange;
  readonly #gossip: PeerGossip;
  readonly #fleetState: FleetState;
  readonly #registration: NodeRegistration;
  readonly #leaderLease: LeaderLease;
  readonly #orchestrator: GroupOrchestrator;
  readonly #internalAddress: string;
  /** Calls to the store since they were last logged, by kind and prefix. */
  #storeCalls = new Map<string, number>();
  /** The latest settings; `#deps.settings` are those at the start. */
  #settings: NodeSettings;
  #leaving = false;
  #recentDemand: ReadonlyMap<string, number> = new Map();
  #demandValidUntil = -Infinity;
  /**
   * Whether the leader lease, when last read, was not held by this node; true
   * until it is first read.
   */
  #isNotLeaseHolder = true;

  constructor(deps: NodeDependencies) {
    this.#deps = deps;
    this.#settings = deps.settings;
    const { timers, settings } = deps;
    this.#store = new EraCheckedStore(
      deps.store,
      this.#storeEra,
      (call, prefix) => this.#onStoreCall(call, prefix),
    );
    this.#storeEra.onRise((era, formerEra) =>
      deps.log.warn("store_restored", { era, formerEra })
    );
    const { node, bounds } = settings;
    this.#internalAddress = `${node.ip}:${node.internal_port}`;
    this.#catalog = new CatalogHolder(() => timers.now(), deps.wallClock);
    this.#clock = new NodeClock(
      () => this.#catalog.readClocks(),
      deps.random,
    );
    this.#pauseDetector = new PauseDetector(
      timers,
      () => this.#catalog.readClocks(),
    );
    this.#loopMonitor = new LoopMonitor(timers, (lagMs) => this.#onLag(lagMs));
    this.#loadMeter = new LoadMeter({
      busyMs: deps.loopBusyMs,
      lag: this.#loopMonitor,
      capacity: () => this.#capacity,
    });
    this.#entry = new EntryDirectory({
      selfId: node.id,
      nodes: () => this.#servingNodes(),
      onChange: (change) => this.#onEntryChange(change),
      onSwitch: (byCapacity, unrated) =>
        deps.log.info("entry_switched", { byCapacity, unrated }),
    });
    this.#replicaView = new ReplicaView(
      this.#hosts,
      this.#catalog,
      this.#zonesOutOfService,
    );
    this.metrics = this.#createMetrics();
    this.#startReport = new StartReport({
      timers,
      log: deps.log,
      metrics: this.metrics,
      timeline: deps.timeline,
    });
    this.relay = new Relay({
      timers,
      random: deps.random,
      client: deps.client,
      catalog: this.#catalog,
      hosts: this.#hosts,
      view: this.#replicaView,
      suspicions: this.#suspicions,
      observer: new RequestLog(
        timers,
        deps.log,
        this.metrics,
        this.#startReport,
      ),
      nodeId: node.id,
      zone: node.availability_zone,
      loopLag: this.#loopMonitor,
      retryBounds: () => {
        const { retry_ratio, retry_window, retry_slack } =
          this.#settings.bounds;
        return {
          ratio: retry_ratio,
          windowMs: retry_window,
          slack: retry_slack,
        };
      },
      maxConfirmationAgeMs: () => this.#keyTrustMs,
      fleetDemand: () => this.#recentFleetDemand(),
      fleetSize: () => this.#gossip.fleetSize,
      fleetRank: () => this.#gossip.rank,
    });
    this.#observations = new ObservationExchange({
      suspicions: this.#suspicions,
      suspectRequests: this.relay.suspectRequests,
      promptParts: this.relay.promptParts,
      hostNotices: this.relay.hostNotices,
      isFresh: () => this.#pauseDetector.isFresh,
    });
    this.#gossip = new PeerGossip({
      timers,
      datagrams: new MeteredDatagrams(
        timers,
        deps.datagrams,
        (traffic) => this.#onStatusTraffic(traffic),
      ),
      selfId: node.id,
      selfAddress: this.#internalAddress,
      seeds: () =>
        this.#settings.node.seeds.map((seed) => this.#internalAddressOf(seed)),
      self: () => this.#hubCandidate(),
      periodMs: GOSSIP_PERIOD_MS,
      linkBytesPerSecond: node.link * BYTES_PER_MEGABIT,
      createStatus: (peers) => this.#buildStatus(peers),
      onStatus: (status, hub) => this.#applyPeerStatus(status, hub),
      onHubChange: (hub) => deps.log.info("status_hub", { hub: hub ?? "none" }),
      isFresh: () => this.#pauseDetector.isFresh,
    });
    this.relay.promptParts.onQuarantined((_, from) => {
      if (from === "own") this.#gossip.broadcast();
    });
    this.#fleetState = this.#createFleetState();
    this.#registration = new NodeRegistration(
      timers,
      this.#store,
      node.id,
      this.#internalAddress,
      () => this.#startReport.mark("nodeRegistered"),
    );
    this.#leaderLease = new LeaderLease({
      timers,
      store: this.#store,
      era: this.#storeEra,
      nodeId: node.id,
      wallClock: deps.wallClock,
      mayLead: () => !this.#leaving && this.#gossip.rank < LEADER_CANDIDATES,
      onGained: (term) => this.#onLeadershipGained(term),
      onLost: (reason) => deps.log.warn("acting_lost", { reason }),
    });
    this.#orchestrator = new GroupOrchestrator({
      timers,
      control: deps.control,
      hosts: this.#hosts,
      suspicions: this.#suspicions,
      catalog: this.#catalog,
      zonesOutOfService: this.#zonesOutOfService,
      log: deps.log,
      isLeader: () => this.#isLeader,
      isStoreUnreachable: () => this.#fleetState.isStoreUnreachable,
      makesProgress: (key) => this.relay.loads.makesProgress(key, timers.now()),
      demand: () => this.#fleetDemand(),
      onGroupResponsive: (key) => {
        this.#suspicions.clear(key, timers.now(), "own");
        this.#gossip.broadcast();
      },
      loopLag: this.#loopMonitor,
      loadWindowMs: bounds.load_window,
    });
    this.#suspicions.onSuspicion((suspicion, from) => {
      const { key, kind } = suspicion;
      deps.log.info("upstream_doubted", { upstream: key, why: kind, from });
      if (from === "own") this.#gossip.broadcast();
      this.#orchestrator.onSuspicion(suspicion);
    });
  }

  /** Starts watching the store, gossiping with peers and relaying requests. */
  start(): void {
    const { log, settings, incarnation } = this.#deps;
    log.info("start", { incarnation, settings });
    this.#startReport.start();
    this.#catalog.onFirstConfirmed(() =>
      this.#startReport.mark("catalogConfirmed")
    );
    this.#pauseDetector.start();
    this.#loopMonitor.start();
    this.#fleetState.start();
    this.#registration.start();
    this.#gossip.start();
    this.relay.start();
    this.#leaderLease.start();
    this.#orchestrator.start();
    this.#deps.timers.subscribe(
      STORE_CALLS_LOG_MS,
      () => this.#logStoreCalls(),
    );
  }

  /** Applies changed seeds and bounds; changed addresses need a restart. */
  reload(settings: NodeSettings): void {
    this.#settings = settings;
  }

  /** Leaves the directory and resigns as leader; requests are still accepted. */
  withdraw(): void {
    this.#leaving = true;
    this.#entry.invalidate();
    this.#gossip.broadcast();
    this.#registration.leave();
    this.#leaderLease.resign();
  }

  /** Whether the platform may send new callers to this node. */
  isReady(): boolean {
    return !this.#leaving && this.#catalog.inForce !== undefined &&
      this.#isConfirmed;
  }

  /** Caller addresses of serving nodes for a zone, with their time to live. */
  addresses(zone: string | undefined) {
    const { addressTtlMs, timers } = this.#deps;
    const addresses = this.#entry.addresses(zone, timers.now());
    return { addresses, ttlMs: addressTtlMs };
  }

  /**
   * Whether this node is the leader. While the store is unreachable, the last
   * holder of the lease continues to lead, since no node can succeed it. That is
   * safe because hosts refuse a command whose expected command count is out of date,
   * and a command is decided on the membership that its host had at that count.
   */
  get #isLeader(): boolean {
    if (this.#leaderLease.isLeader) return true;
    if (this.#leaving || !this.#fleetState.isStoreUnreachable) return false;
    const { term } = this.#leaderLease;
    if (term === 0 || this.#isNotLeaseHolder) return false;
    return this.#gossip.live().every((peer) => peer.status.leaderTerm < term);
  }

  /** Undefined while the settings name no processor share. */
  get #capacity(): NodeCapacity | undefined {
    const { processor_share, cores, link } = this.#settings.node;
    if (processor_share === undefined) return undefined;
    return { cores: processor_share * cores, linkMbps: link };
  }

  #servingNodes(): EntryNode[] {
    const { node } = this.#deps.settings;
    const serving: EntryNode[] = [];
    for (const { status } of this.#gossip.live()) {
      if (status.state !== "serving") continue;
      serving.push({
        id: status.node,
        address: status.callerAddress,
        zone: status.zone,
        status: status.entry,
      });
    }
    if (!this.isReady()) return serving;
    serving.push({
      id: node.id,
      address: node.caller_address,
      zone: node.availability_zone,
      status: this.#ownLoad(this.#deps.timers.now()),
    });
    return serving;
  }

  /** This node's capacity and load, without a plan. */
  #ownLoad(now: number): EntryStatus | undefined {
    const load = this.#loadMeter.read(now);
    return load && { ...load, plan: undefined };
  }

  #entryStatus(now: number): EntryStatus | undefined {
    const load = this.#ownLoad(now);
    return load && { ...load, plan: this.#entry.ownPlan(now) };
  }

  #onEntryChange({ zone, leftOut, ...counts }: EntryChange): void {
    const change = { callerZone: zone, ...counts, ...leftOut };
    this.#deps.log.info("entry_changed", change);
  }

  get #isConfirmed(): boolean {
    return this.#catalog.confirmationAgeMs < this.#keyTrustMs;
  }

  /** Age of a confirmation up to which API keys are trusted, in milliseconds. */
  get #keyTrustMs(): number {
    return this.#settings.bounds.confirm_keys_within * KEY_TRUST_RATIO;
  }

  #createMetrics(): NodeMetrics {
    return new NodeMetrics({
      inFlight: () => this.relay.inFlight,
      waiting: () => this.relay.queuedCount,
      waitingByPriority: () => this.relay.queuedByPriority,
      peers: () => this.#gossip.live().length,
      catalogVersion: () => this.#catalog.version,
      // The age is infinite before the first confirmation.
      confirmationAgeMs: () => Math.min(1e9, this.#catalog.confirmationAgeMs),
      hostListAgeMs: () => Math.min(1e9, this.#fleetState.hostListAgeMs),
      isLeader: () => this.#isLeader,
      entry: () => this.#entry.answers(this.#deps.timers.now()),
    });
  }

  #createFleetState(): FleetState {
    const { timers, schema, log, onLimits, settings } = this.#deps;
    return new FleetState({
      timers,
      store: this.#store,
      era: this.#storeEra,
      schema,
      catalog: this.#catalog,
      hosts: this.#hosts,
      zonesOutOfService: this.#zonesOutOfService,
      role: () => {
        const { rank, fleetSize } = this.#gossip;
        return {
          isLeader: this.#isLeader,
          isReader: rank < CATALOG_READERS,
          isPublisher: rank === 0,
          fleetSize,
        };
      },
      lapseAfterMs: MIN_LAPSING_OUTAGE_HEARTBEATS * settings.platform.heartbeat,
      drainWithinMs: () => this.#settings.bounds.drain_within,
      listener: {
        catalogChanged: (version) => {
          this.#startReport.mark("catalogInForce");
          const catalog = this.#catalog.inForce?.catalog;
          if (catalog !== undefined) onLimits(catalog.limits);
          this.#replicaView.invalidate();
          log.info("catalog_in_force", {
            version,
            era: this.#storeEra.newest,
            routes: catalog?.routes.length,
          });
        },
        zonesChanged: (out) => {
          this.#startReport.mark("storeReached");
          this.#replicaView.invalidate();
          log.info("zones_out", { out, era: this.#storeEra.newest });
        },
        nodesChanged: (addresses) => {
          this.#startReport.mark("storeReached");
          this.#gossip.setRegisteredAddresses(addresses);
        },
        leaderChanged: (nodeId) => {
          if (nodeId !== undefined) this.#startReport.mark("leaderKnown");
          this.#leaderLease.setHolder(nodeId);
          this.#isNotLeaseHolder = nodeId !== settings.node.id;
          log.info("acting_node", {
            acting: nodeId,
            era: this.#storeEra.newest,
          });
        },
        hostsListed: () => this.#startReport.mark("hostsListed"),
        hostListOutdated: (ageMs) =>
          log.info("host_list_outdated", { ageMs: finiteOrUndefined(ageMs) }),
        hostLeft: ({ hostId, how, from, listAgeMs }) =>
          log.info("host_left", {
            host: hostId,
            how,
            from,
            era: this.#storeEra.newest,
            listAgeMs: finiteOrUndefined(listAgeMs),
          }),
        feedLost: (feed, detail) => log.warn("store_lost", { feed, detail }),
        feedRegained: (feed, silentMs) =>
          log.info("store_regained", { feed, silentMs: Math.round(silentMs) }),
      },
    });
  }

  #onLag(lagMs: number): void {
    this.metrics.recordLoopLag(lagMs);
    if (lagMs < LOGGED_LAG_MS) return;
    this.#deps.log.warn("loop_behind", {
      lagMs: Math.round(lagMs),
      inFlight: this.relay.inFlight,
      waiting: this.relay.queuedCount,
    });
  }

  #onStoreCall(call: StoreCall, prefix: string): void {
    this.metrics.recordStoreCall(call, prefix);
    const kind = `${call} ${prefix}`.trim();
    this.#storeCalls.set(kind, (this.#storeCalls.get(kind) ?? 0) + 1);
  }

  #logStoreCalls(): void {
    if (this.#storeCalls.size === 0) return;
    const calls = Object.fromEntries(this.#storeCalls);
    this.#storeCalls = new Map();
    this.#deps.log.info("store_calls", { calls });
  }

  #onStatusTraffic(traffic: DatagramTraffic): void {
    this.metrics.recordStatusTraffic(traffic);
    const { sentBytes, receivedBytes } = traffic;
    if (Math.max(sentBytes, receivedBytes) < LOGGED_STATUS_BYTES) return;
    this.#deps.log.warn("status_traffic_high", { ...traffic });
  }

  #onLeadershipGained(term: number): void {
    this.#startReport.mark("leaderKnown");
    this.#deps.log.info("acting_gained", {
      term,
      era: this.#storeEra.newest,
    });
    this.#orchestrator.onLeaseGained(term);
  }

  /** Replaces the port by the internal port, which is the same on all hosts. */
  #internalAddressOf(address: string): string {
    const ip = address.slice(0, address.lastIndexOf(":"));
    return `${ip}:${this.#deps.settings.node.internal_port}`;
  }

  #hubCandidate(): HubCandidate {
    const { node } = this.#deps.settings;
    return {
      node: node.id,
      zone: node.availability_zone,
      internalAddress: this.#internalAddress,
      state: this.#leaving
        ? "leaving"
        : this.isReady()
        ? "serving"
        : "starting",
    };
  }

  #buildStatus(peers: readonly string[]): StatusMessage {
    const now = this.#deps.timers.now();
    const { node } = this.#deps.settings;
    const { ownConfirmationAgeMs } = this.#catalog;
    return {
      ...this.#hubCandidate(),
      ageMs: 0,
      createdAt: this.#clock.read(),
      clockLags: this.#readsForPeers
        ? this.#peerClocks.lagsToSend(this.#deps.random)
        : [],
      incarnation: this.#deps.incarnation,
      callerAddress: node.caller_address,
      catalogVersion: this.#catalog.version,
      confirmedMs: ownConfirmationAgeMs < 60_000 ? ownConfirmationAgeMs : -1,
      loads: this.relay.loads.localLoads(now),
      ...this.#observations.take(now),
      isStoreUnreachable: this.#fleetState.isStoreUnreachable,
      leaderTerm: this.#isLeader ? this.#leaderLease.term : 0,
      hosts: this.#isLeader && this.#isStoreUnreachableForAnyNode
        ? this.#orchestrator.updatedHosts().map((
          { id, models, membership },
        ) => ({
          id,
          model: models[0] ?? "",
          membership,
        }))
        : [],
      ...this.#fleetState.createUpdate(),
      demand: this.relay.demand.engineMsPerSecond(now),
      residuals: this.#gossip.rank < RESIDUAL_SHARERS
        ? this.relay.outlook.shared(now)
        : [],
      peers,
      entry: this.#entryStatus(now),
      acceptsCompressed: true,
    };
  }

  /** Whether peers rely on what this node reads from the store. */
  get #readsForPeers(): boolean {
    return this.#isLeader || this.#gossip.rank < CATALOG_READERS;
  }

  /** Whether this node or a live peer can't reach the store. */
  get #isStoreUnreachableForAnyNode(): boolean {
    return this.#fleetState.isStoreUnreachable ||
      this.#gossip.live().some((peer) => peer.status.isStoreUnreachable);
  }

  #applyPeerStatus(status: StatusMessage, hub: string | undefined): void {
    this.#startReport.mark("peersKnown");
    const now = this.#deps.timers.now();
    const { loads, ageMs: statusAgeMs } = status;
    if (status.state === "leaving") this.#entry.invalidate();
    this.relay.loads.recordPeerLoads(status.node, loads, now, statusAgeMs);
    this.relay.outlook.recordPeer(status.node, status.residuals, now);
    this.#observations.apply(status, now);
    const from = hub === undefined ? status.node : `${status.node} via ${hub}`;
    const unseenMs = this.#unseenMs(status);
    this.#fleetState.receiveUpdate(status, from, unseenMs);
    if (this.#fleetState.isStoreUnreachable && !this.#isLeader) {
      for (const host of status.hosts) this.#applyHostStatus(host);
    }
    const isConfirmed = status.confirmedMs >= 0 && unseenMs !== undefined;
    if (isConfirmed && !this.#fleetState.isCatalogUnsettled) {
      const { catalogVersion, confirmedMs } = status;
      const ageMs = confirmedMs + unseenMs;
      this.#catalog.recordPeerConfirmation(catalogVersion, ageMs);
    }
  }

  /**
   * Time that a status spent on its way and its ages leave out, in milliseconds;
   * undefined if it can't be dated.
   */
  #unseenMs(status: StatusMessage): number | undefined {
    const now = this.#clock.read();
    this.#peerClocks.record(status, now);
    const elapsedMs = this.#peerClocks.elapsedSince(status, now);
    if (elapsedMs === undefined) return undefined;
    return Math.max(0, elapsedMs - status.ageMs);
  }

  /** Applies a host's state as published by the leader while the store is unreachable. */
  #applyHostStatus(status: HostStatus): void {
    const host = this.#hosts.get(status.id);
    if (host === undefined) return;
    const { model, membership } = status;
    const isUnchanged = host.membership?.epoch === membership?.epoch &&
      host.membership?.state === membership?.state;
    if (isUnchanged) return;
    const models = model === "" ? host.models : [model];
    const now = this.#deps.timers.now();
    this.#hosts.announce({ ...host, models, membership }, now);
  }

  /** As {@linkcode Node.#fleetDemand}, but computed at most once an interval. */
  #recentFleetDemand(): ReadonlyMap<string, number> {
    const now = this.#deps.timers.now();
    if (now >= this.#demandValidUntil) {
      this.#recentDemand = this.#fleetDemand();
      this.#demandValidUntil = now + GOSSIP_PERIOD_MS;
    }
    return this.#recentDemand;
  }

  /** Engine time that the fleet's requests need per second, in ms by model. */
  #fleetDemand(): ReadonlyMap<string, number> {
    const demand = new Map<string, number>();
    const add = (perModel: Readonly<Record<string, number>>) => {
      for (const [model, ms] of Object.entries(perModel)) {
        demand.set(model, (demand.get(model) ?? 0) + ms);
      }
    };
    add(this.relay.demand.engineMsPerSecond(this.#deps.timers.now()));
    for (const peer of this.#gossip.live()) add(peer.status.demand);
    return demand;
  }
}

/** Rounds an age, which is infinite before the first read, for a log line. */
function finiteOrUndefined(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
