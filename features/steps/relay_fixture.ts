import { Buffer } from "node:buffer";
import type { LoopLag } from "../../src/base/loop_monitor.ts";
import { Random } from "../../src/base/random.ts";
import type { Timers } from "../../src/base/timers.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { CatalogHolder } from "../../src/core/catalog/catalog_holder.ts";
import type { FleetPosition } from "../../src/core/fleet/fleet_share.ts";
import { SuspicionTracker } from "../../src/core/fleet/suspicion_tracker.ts";
import { HostRegistry } from "../../src/core/fleet/host_registry.ts";
import { ReplicaView } from "../../src/core/fleet/replica_view.ts";
import type {
  Refusal,
  RelayRequest,
  RelayResponse,
} from "../../src/core/relay/relay_request.ts";
import { Relay } from "../../src/core/relay/relay.ts";
import type { RawHeaders } from "../../src/ports/relay_client.ts";
import { NodeMetrics } from "../../src/node/node_metrics.ts";
import { RequestLog } from "../../src/node/request_log.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import { ScriptedUpstreams } from "../../src/standins/fleet/scripted_upstreams.ts";
import { RecordedLog } from "./simulated_fleet.ts";
import type {
  MembershipState,
  ServingHost,
} from "../../src/world/serving_host.ts";

/** Records the response to one request. */
export class RecordedResponse implements RelayResponse {
  readonly #now: () => number;
  readonly startedAt: number;
  status: number | undefined;
  headers: RawHeaders = [];
  body = "";
  isComplete = false;
  isAborted = false;
  refusal: Refusal | undefined;
  firstByteMs: number | undefined;
  /** Time from the request to the end of the response. */
  endedMs: number | undefined;
  /** Called with the number of events received so far. */
  onEvent: (count: number) => void = () => {};

  constructor(now: () => number) {
    this.#now = now;
    this.startedAt = now();
  }

  get eventIds(): number[] {
    return [...this.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  }

  writeHead(status: number, headers: RawHeaders): void {
    this.status = status;
    this.headers = headers;
  }

  write(chunk: Uint8Array): boolean {
    this.firstByteMs ??= this.#now() - this.startedAt;
    this.body += Buffer.from(chunk).toString();
    this.onEvent(this.eventIds.length);
    return true;
  }

  end(): void {
    this.isComplete = true;
    this.#recordEnd();
  }

  refuse(refusal: Refusal): void {
    this.refusal = refusal;
    this.#recordEnd();
  }

  abort(): void {
    this.isAborted = true;
    this.#recordEnd();
  }

  onDrain(callback: () => void): void {
    callback();
  }

  #recordEnd(): void {
    this.endedMs = this.#now() - this.startedAt;
  }
}

interface SentRequest {
  readonly path: string;
  readonly target: string;
  readonly body: string;
  readonly apiKey: string;
  readonly model: string;
  readonly promptParts: readonly string[];
}

/** A relay with scripted upstreams, by default in virtual time. */
export class RelayFixture<T extends Timers = VirtualTimers> {
  readonly timers: T;
  readonly upstreams: ScriptedUpstreams;
  readonly catalog: CatalogHolder;
  readonly relay: Relay;
  readonly log = new RecordedLog();
  readonly metrics = new NodeMetrics({
    inFlight: () => this.relay.inFlight,
    waiting: () => this.relay.queuedCount,
    waitingByPriority: () => this.relay.queuedByPriority,
    peers: () => 0,
    catalogVersion: () => this.catalog.version,
    confirmationAgeMs: () => this.catalog.confirmationAgeMs,
    hostListAgeMs: () => 0,
    isLeader: () => false,
    entry: () => [],
  });
  /** This node among the nodes of the fleet. */
  position: FleetPosition = { size: 1, rank: 0 };
  /** How far the relay's event loop was behind. */
  lagMs = 0;
  loopLag: LoopLag = { worstSince: () => this.lagMs };
  readonly #hosts = new HostRegistry();
  readonly #sent: SentRequest[] = [];
  #nextId = 0;

  constructor(
    timers: T = new VirtualTimers() as Timers as T,
    upstreams = new ScriptedUpstreams(timers),
  ) {
    this.timers = timers;
    this.upstreams = upstreams;
    const now = () => this.timers.now();
    this.catalog = new CatalogHolder(now, now);
    this.catalog.installIfNewer(exampleCatalog(1));
    this.catalog.recordConfirmation(1, this.catalog.readClocks());
    const suspicions = new SuspicionTracker();
    this.relay = new Relay({
      timers: this.timers,
      random: new Random(7),
      client: this.upstreams,
      catalog: this.catalog,
      hosts: this.#hosts,
      view: new ReplicaView(this.#hosts, this.catalog, new Set()),
      suspicions,
      observer: new RequestLog(this.timers, this.log, this.metrics),
      nodeId: "node-0",
      zone: "zone-0",
      loopLag: { worstSince: (since) => this.loopLag.worstSince(since) },
      retryBounds: () => ({ ratio: 0.2, windowMs: 10_000, slack: 136 }),
      maxConfirmationAgeMs: () => 4_250,
      fleetDemand: () => new Map(),
      fleetSize: () => this.position.size,
      fleetRank: () => this.position.rank,
    });
    this.relay.start();
  }

  addGroups(count: number, model: string): void {
    for (let g = 0; g < count; g++) this.announceGroup(g, model, "open");
  }

  /** Announces a group's state again, in the given epoch. */
  announceGroup(g: number, model: string, state: MembershipState, epoch = 1) {
    for (let rank = 0; rank < 3; rank++) {
      this.#announce({
        id: `i-${g}-${rank}`,
        service: "pool",
        domain: `domain-${g}`,
        models: [model],
        membership: {
          group: `g-${g}`,
          epoch,
          rank,
          state: rank === 0 ? state : "ready",
        },
      });
    }
  }

  /** Announces that a host of a group is leaving. */
  drain(id: string): void {
    const host = this.#hosts.get(id);
    if (host !== undefined) this.#announce({ ...host, draining: true });
  }

  /** Removes the announcement of a host, which continues to serve. */
  withdraw(id: string): void {
    this.#hosts.withdraw(id, this.timers.now(), false);
  }

  addCounterHosts(count: number): void {
    for (let i = 0; i < count; i++) {
      this.#announce({ id: `counter-${i}`, service: "counter" });
    }
  }

  /** Announces that a host of the plain service has started again under its id. */
  restartCounterHost(id: string): void {
    const born = (this.#hosts.get(id)?.born ?? 0) + 1;
    this.#announce({ id, service: "counter", born });
  }

  /** Sends a request to the relay, by default with a valid key. */
  sendRequest(
    path: string,
    apiKey = "bindery-key",
    crashesUpstreams = false,
    model = "small",
  ): RecordedResponse {
    return this.#send({
      path,
      target: crashesUpstreams ? `${path}poison` : `${path}${this.#nextId}`,
      body: crashesUpstreams ? "poison" : `body ${this.#nextId}`,
      apiKey,
      model,
      promptParts: [],
    });
  }

  /** Sends a request for a stream whose prompt has the given shared parts. */
  sendPrompt(promptParts: readonly string[], model: string): RecordedResponse {
    return this.#send({
      path: "/draft/",
      target: `/draft/${this.#nextId}`,
      body: `body ${this.#nextId} of ${promptParts.join(" ")}`,
      apiKey: "bindery-key",
      model,
      promptParts,
    });
  }

  /** Sends the request with this number again, under another id. */
  repeat(index: number): RecordedResponse {
    return this.#send(this.#sent[index]);
  }

  #send(options: SentRequest): RecordedResponse {
    this.#sent.push(options);
    const { path, target, body, apiKey, model, promptParts } = options;
    const response = new RecordedResponse(() => this.timers.now());
    const isStream = path.startsWith("/draft/") || path.startsWith("/once/");
    const request: RelayRequest = {
      id: `request-${this.#nextId++}`,
      method: "POST",
      hostName: "album.example",
      target,
      headers: [],
      body: Buffer.from(body),
      apiKey,
      deadlineMs: 8_000,
      heldMs: 0,
      lastEventId: undefined,
      model: isStream ? model : undefined,
      promptTokens: isStream ? 600 : 0,
      maxTokens: 0,
      promptParts,
      expectedTokens: undefined,
    };
    const run = this.relay.handle(request, response);
    if (this.disconnectAtOnce) run?.onCallerDisconnected();
    response.onEvent = (count) => {
      if (count === this.disconnectAfterEvents) run?.onCallerDisconnected();
    };
    return response;
  }

  /** Whether callers disconnect before the loop reads their requests. */
  disconnectAtOnce = false;

  /** Number of events after which callers disconnect; -1 for never. */
  disconnectAfterEvents = -1;

  #announce(host: Partial<ServingHost> & { id: string; service: string }) {
    this.#hosts.announce({
      address: `${host.id}:1`,
      zone: "zone-0",
      slots: 6,
      draining: false,
      coldLeftMs: 0,
      born: 1,
      domain: "",
      staged: [],
      models: [],
      membership: undefined,
      ...host,
    }, this.timers.now());
  }
}
