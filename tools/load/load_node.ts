/**
 * One node of a load: a relay and what it exchanges with its peers.
 *
 * @module
 */
import type { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import type {
  ObservationExchange,
  ObservationStatuses,
} from "../../src/core/gossip/observation_exchange.ts";
import type { LoadStatus } from "../../src/core/gossip/messages.ts";
import type { ResidualStatus } from "../../src/core/outlook/mod.ts";
import type {
  Relay,
  RelayDependencies,
  RelayObserver,
} from "../../src/core/relay/relay.ts";
import type { RelayRun, RunEvent } from "../../src/core/relay/relay_run.ts";
import type { ServingHost } from "../../src/world/serving_host.ts";
import type { LoadNodeSettings, RelayModules } from "./relay_build.ts";

/** Called for each request that is sent to a group. */
export type PredictionListener = (
  requestId: string,
  prediction: Prediction,
) => void;

/** What a relay expected when it sent a request. */
export interface Prediction {
  readonly hostId: string;
  readonly sentAt: number;
  readonly expectedMs: number;
  /** Expected longest pause; undefined in builds that don't predict it. */
  readonly expectedGapMs: number | undefined;
}

/** What a node tells its peers. */
export interface LoadNodeStatus {
  readonly node: string;
  readonly loads: readonly LoadStatus[];
  readonly observations: ObservationStatuses;
  /** Empty in builds that learn nothing of engines. */
  readonly residuals: readonly ResidualStatus[];
  readonly demand: Readonly<Record<string, number>>;
}

/** A node; its relay is the one of the build that created it. */
export class LoadNode {
  readonly name: string;
  readonly zone: string;
  readonly relay: Relay;
  readonly #settings: LoadNodeSettings;
  readonly #hosts: HostRegistry;
  readonly #exchange: ObservationExchange;
  readonly #confirm: () => void;
  /** Engine time that callers request of each peer, by model. */
  readonly #peerDemand = new Map<string, Readonly<Record<string, number>>>();

  constructor(modules: RelayModules, settings: LoadNodeSettings) {
    const { index, nodeCount, timers, extra } = settings;
    const now = () => timers.now();
    this.#settings = settings;
    this.name = `node-${index}`;
    this.zone = settings.zone;
    this.#hosts = new modules.hosts.HostRegistry();
    const catalog = new modules.catalog.CatalogHolder(now, now);
    catalog.installIfNewer(settings.catalog);
    this.#confirm = () => catalog.recordConfirmation(1, catalog.readClocks());
    this.#confirm();
    const suspicions = new modules.suspicions.SuspicionTracker();
    const deps: RelayDependencies = {
      timers,
      random: new modules.random.Random(settings.seed),
      client: settings.client,
      catalog,
      hosts: this.#hosts,
      view: new modules.view.ReplicaView(this.#hosts, catalog, new Set()),
      suspicions,
      observer: this.#createObserver(),
      nodeId: this.name,
      zone: settings.zone,
      loopLag: { worstSince: () => 0 },
      retryBounds: () => ({ ratio: 0.2, windowMs: 10_000, slack: 300 }),
      maxConfirmationAgeMs: () => 4_250,
      fleetDemand: () => this.#fleetDemand(),
      fleetSize: () => nodeCount,
      fleetRank: () => index,
      ...extra,
    };
    this.relay = new modules.relay.Relay(deps);
    this.relay.start();
    const { suspectRequests, promptParts, hostNotices } = this.relay;
    this.#exchange = new modules.observations.ObservationExchange({
      suspicions,
      suspectRequests,
      promptParts,
      hostNotices,
      isFresh: () => true,
    });
  }

  /** What the node tells its peers now. */
  takeStatus(): LoadNodeStatus {
    const now = this.#settings.timers.now();
    this.#confirm();
    return {
      node: this.name,
      loads: this.relay.loads.localLoads(now),
      observations: this.#exchange.take(now),
      residuals: this.#outlook?.shared(now) ?? [],
      demand: this.relay.demand.engineMsPerSecond(now),
    };
  }

  /** Applies what a peer told `ageMs` ago. */
  applyStatus(status: LoadNodeStatus, ageMs: number): void {
    const now = this.#settings.timers.now();
    const { node, loads, observations } = status;
    this.relay.loads.recordPeerLoads(node, loads, now, ageMs);
    this.#outlook?.recordPeer(node, status.residuals, now);
    this.#peerDemand.set(node, status.demand);
    this.#exchange.apply(observations, now);
  }

  /** Undefined in builds that learn nothing of engines. */
  get #outlook(): Relay["outlook"] | undefined {
    return this.relay.outlook as Relay["outlook"] | undefined;
  }

  #fleetDemand(): ReadonlyMap<string, number> {
    const now = this.#settings.timers.now();
    const own = this.relay.demand.engineMsPerSecond(now);
    const total = new Map<string, number>();
    for (const demand of [own, ...this.#peerDemand.values()]) {
      for (const [model, ms] of Object.entries(demand)) {
        total.set(model, (total.get(model) ?? 0) + ms);
      }
    }
    return total;
  }

  /** Applies an announcement, or its end if `host` is undefined. */
  announce(id: string, host: ServingHost | undefined): void {
    const now = this.#settings.timers.now();
    if (host === undefined) this.#hosts.withdraw(id, now, false);
    else this.#hosts.announce(host, now);
  }

  #createObserver(): RelayObserver {
    const known: Partial<RelayObserver> = {
      onEvent: (run, event) => this.#onEvent(run, event),
    };
    // Builds differ in what they report beside the events of requests.
    return new Proxy(known, {
      get: (target, name) => Reflect.get(target, name) ?? (() => {}),
    }) as RelayObserver;
  }

  #onEvent(
    { request }: RelayRun,
    event: RunEvent,
  ): void {
    const { replica, expectedMs, forecast } = event;
    if (event.event !== "sent" || replica === undefined) return;
    this.#settings.onPrediction(request.id, {
      hostId: replica.host.id,
      sentAt: this.#settings.timers.now(),
      expectedMs: expectedMs ?? 0,
      expectedGapMs: forecast?.gapMs,
    });
  }
}
