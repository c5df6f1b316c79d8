/**
 * A relay before raw hosts, over real connections on loopback.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Random } from "../../src/base/random.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import { ReplicaView } from "../../src/core/fleet/replica_view.ts";
import { SuspicionTracker } from "../../src/core/fleet/suspicion_tracker.ts";
import { Relay } from "../../src/core/relay/relay.ts";
import type { RelayRequest } from "../../src/core/relay/relay_request.ts";
import { HttpRelayClient } from "../../src/platform/http_relay_client.ts";
import { RelayServer } from "../../src/platform/relay_server.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import type { Catalog } from "../../src/world/catalog.ts";
import { CallerResult } from "./caller_result.ts";
import type { RawHost } from "./raw_host.ts";

/** Keeps hosts in use however many of their responses fail. */
const GOAL_MS = 60_000;
const STREAM_ATTEMPTS = 3;
const GROUP_MODEL = "small";
const GROUP_SIZE = 3;

/**
 * Sends requests through a {@linkcode Relay} to hosts of a plain service, each of
 * which heads a group of engines, too.
 */
export class FuzzRelay {
  readonly timers = new SystemTimers();
  readonly abandoned: string[] = [];
  /** Outcomes of all attempts, in the order in which they ended. */
  readonly attemptOutcomes: string[] = [];
  readonly #relay: Relay;

  constructor(hosts: readonly RawHost[], seed: number) {
    const { timers } = this;
    const registry = new HostRegistry();
    const now = () => timers.now();
    const catalog = new CatalogHolder(now, now);
    catalog.installIfNewer(createCatalog());
    for (const [i, host] of hosts.entries()) {
      registry.announce({
        id: host.id,
        address: host.address,
        service: "counter",
        zone: "zone-0",
        slots: 6,
        draining: false,
        coldLeftMs: 0,
        born: 1 + i,
        domain: "",
        staged: [],
        models: [],
        membership: undefined,
      }, timers.now());
      announceGroup(registry, host, timers.now());
    }
    this.#relay = new Relay({
      timers,
      random: new Random(seed),
      client: new HttpRelayClient(
        timers,
        (hostId, reason) => this.abandoned.push(`${hostId}: ${reason}`),
      ),
      catalog,
      hosts: registry,
      view: new ReplicaView(registry, catalog, new Set()),
      suspicions: new SuspicionTracker(),
      observer: {
        onEvent: (_run, { event, outcome }) => {
          if (event === "attempt_ended") {
            this.attemptOutcomes.push(String(outcome));
          }
        },
        onFirstByte() {},
        onRefused() {},
        onCrashVerdict() {},
        onPartQuarantined() {},
        onReturned() {},
        onNumberingLearned() {},
        onRateLimitChanged() {},
        onMalformedRateLimit() {},
      },
      nodeId: "node-0",
      zone: "zone-0",
      loopLag: { worstSince: () => 0 },
      retryBounds: () => ({ ratio: 1, windowMs: 10_000, slack: 10_000 }),
      maxConfirmationAgeMs: () => Infinity,
      fleetDemand: () => new Map(),
      fleetSize: () => 1,
      fleetRank: () => 0,
    });
    this.#relay.start();
  }

  /** Number of requests that have not ended. */
  get inFlight(): number {
    return this.#relay.inFlight;
  }

  /** Number of attempts in flight, as placement counts them. */
  loadOf(host: RawHost): number {
    return this.#relay.loads.localLoad(host.id).inFlight;
  }

  /** Starts a server for callers' requests on loopback. */
  async serve(): Promise<RelayServer> {
    const server = new RelayServer((request: RelayRequest, response) =>
      this.#relay.handle(request, response)
    );
    await server.listen("127.0.0.1", 0);
    return server;
  }

  /** Sends a request; resolves when its response has ended. */
  send(requestId: string, isRepeatable: boolean): Promise<CallerResult> {
    return new Promise((resolve) => {
      const result = new CallerResult(
        requestId,
        isRepeatable,
        () => this.timers.now(),
        () => resolve(result),
      );
      this.#relay.handle({
        id: requestId,
        method: "POST",
        hostName: "album.example",
        target: `${isRepeatable ? "/look/" : "/order/"}${requestId}`,
        headers: ["Oleanderarch-Attempt-Id", requestId],
        body: Buffer.from("end of body"),
        apiKey: "bindery-key",
        deadlineMs: 8_000,
        heldMs: 0,
        lastEventId: undefined,
        model: undefined,
        promptTokens: 0,
        maxTokens: 0,
        promptParts: [],
        expectedTokens: undefined,
      }, result);
    });
  }
}

/** Announces an open group with `host` as its head. */
function announceGroup(registry: HostRegistry, host: RawHost, now: number) {
  for (let rank = 0; rank < GROUP_SIZE; rank++) {
    registry.announce({
      id: `${host.id}-${rank}`,
      address: host.address,
      service: "pool",
      zone: "zone-0",
      slots: 6,
      draining: false,
      coldLeftMs: 0,
      born: 1,
      domain: `domain-${host.id}`,
      staged: [],
      models: [GROUP_MODEL],
      membership: {
        group: `g-${host.id}`,
        epoch: 1,
        rank,
        state: rank === 0 ? "open" : "ready",
      },
    }, now);
  }
}

/** The example catalog with goals that failing hosts still meet. */
function createCatalog(): Catalog {
  const catalog = exampleCatalog(1);
  const routes = catalog.routes.map((route) => ({
    ...route,
    goalMs: GOAL_MS,
    attempts: route.kind === "streaming" ? STREAM_ATTEMPTS : route.attempts,
  }));
  return { ...catalog, routes };
}
