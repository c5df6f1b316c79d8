/**
 * The node process: relay, directory and group orchestrator in one event loop.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { UdpDatagrams } from "../adapters/udp_datagrams.ts";
import { hash32 } from "../base/hash.ts";
import { Random } from "../base/random.ts";
import { SystemTimers } from "../base/system_timers.ts";
import { sleep } from "../base/timers.ts";
import { BodyBudget } from "../core/limits/body_budget.ts";
import type { EventLog } from "../base/event_log.ts";
import type {
  RelayRequest,
  RelayResponse,
} from "../core/relay/relay_request.ts";
import { createEventLog } from "../logging/event_log.ts";
import { LineBuffer } from "../logging/line_buffer.ts";
import { RelayServer } from "../platform/relay_server.ts";
import { StartGate } from "../platform/start_gate.ts";
import type { Endpoint } from "../platform/endpoint_server.ts";
import { EndpointServer } from "../platform/endpoint_server.ts";
import {
  directoryEndpoint,
  readinessEndpoint,
} from "../platform/platform_endpoints.ts";
import { PlatformStore } from "../platform/platform_store.ts";
import { HttpRelayClient } from "../platform/http_relay_client.ts";
import { HttpHostControl } from "../platform/http_host_control.ts";
import { StoreSchema } from "../platform/store_schema.ts";
import type { NodeSettings } from "../settings/node_settings.ts";
import { NodeSettingsSchema } from "../settings/node_settings.ts";
import { SettingsWatcher } from "../settings/settings_watcher.ts";
import { isCodeCacheRejected } from "./code_cache.ts";
import { ErrorPolicy } from "./error_policy.ts";
import { Node } from "./node.ts";
import type { StartTimeline } from "./start_timeline.ts";

/** Callers cache an address this long, and some of them three times as long. */
const BYTES_PER_MEGABYTE = 1_048_576;
/**
 * Share of the process's memory that the bodies of requests may take. Its heap and
 * what it holds for responses need the rest.
 */
const BODY_MEMORY_SHARE = 0.25;
const ADDRESS_TTL_MS = 1_000;
/** The process exits this long before the platform would kill it. */
const KILL_MARGIN_MS = 900;
/** How long new requests are accepted after a shutdown has begun. */
const ACCEPT_WHILE_STOPPING_MS = 2_900;

/** Runs a {@linkcode Node} with its sockets. */
export class NodeProcess {
  readonly #settings: NodeSettings;
  readonly #timeline: StartTimeline;
  readonly #timers = new SystemTimers();
  readonly #errorPolicy = new ErrorPolicy(() => this.#timers.now());
  readonly #lineBuffer: LineBuffer;
  readonly #log: EventLog;
  readonly #relayServer: RelayServer;
  readonly #settingsWatcher: SettingsWatcher<typeof NodeSettingsSchema>;
  #node: Node | undefined;
  #shutdown: Promise<void> | undefined;

  constructor(
    settings: NodeSettings,
    settingsPath: string,
    timeline: StartTimeline,
  ) {
    this.#settings = settings;
    this.#timeline = timeline;
    this.#relayServer = this.#createRelayServer();
    this.#lineBuffer = new LineBuffer(this.#timers);
    this.#log = createEventLog(
      settings.log.level,
      settings.node.id,
      this.#lineBuffer,
    );
    this.#settingsWatcher = new SettingsWatcher(
      settingsPath,
      NodeSettingsSchema,
      settings,
      this.#log,
      (changed) => this.#node?.reload(changed),
    );
  }

  /** Reloads the settings; requests in flight are not affected. */
  reload(): void {
    this.#settingsWatcher.reload("SIGHUP");
  }

  /** Opens all sockets and starts serving. */
  async start(): Promise<void> {
    if (isCodeCacheRejected()) this.#log.warn("code_cache_rejected", {});
    const { node, platform } = this.#settings;
    // First, as callers lose an attempt by each connection that is refused; the
    // server holds requests until they can be placed.
    const listening = this.#relayServer.listen(
      ...splitAddress(node.caller_address),
    );
    const datagrams = await UdpDatagrams.bind(node.ip, node.internal_port);
    this.#node = new Node({
      settings: this.#settings,
      timers: this.#timers,
      wallClock: () => Date.now(),
      random: new Random(hash32(`${node.id}${process.pid}${Date.now()}`)),
      incarnation: randomUUID(),
      store: new PlatformStore(this.#timers, platform.store),
      schema: new StoreSchema(),
      control: new HttpHostControl(this.#timers),
      client: new HttpRelayClient(
        this.#timers,
        (host, reason) => this.#onResponseAbandoned(host, reason),
      ),
      datagrams,
      log: this.#log,
      loopBusyMs: () => performance.eventLoopUtilization().active,
      addressTtlMs: ADDRESS_TTL_MS,
      onLimits: (limits) => this.#relayServer.limits = limits,
      timeline: this.#timeline,
    });
    this.#node.start();
    await Promise.all([listening, this.#openEndpoints(this.#node)]);
    this.#timeline.mark("socketsListening");
    this.#settingsWatcher.start(this.#timers);
  }

  #createRelayServer(): RelayServer {
    const gate = new StartGate(this.#timers);
    this.#timeline.whenReached(
      ["catalogConfirmed", "hostsListed"],
      () => gate.open(),
    );
    return new RelayServer(
      (request, response) => this.#handle(request, response),
      undefined,
      gate,
      this.#createBodyBudget(),
    );
  }

  /** Undefined while the settings name no memory. */
  #createBodyBudget(): BodyBudget | undefined {
    const { memory } = this.#settings.node;
    if (memory === undefined) return undefined;
    return new BodyBudget(
      memory * BYTES_PER_MEGABYTE * BODY_MEMORY_SHARE,
      () => this.#timers.now(),
      (bytes, heldBytes) =>
        this.#log.info("body_refused", { bytes, heldBytes }),
    );
  }

  #handle(request: RelayRequest, response: RelayResponse) {
    if (this.#node !== undefined) {
      return this.#node.relay.handle(request, response);
    }
    response.refuse({
      kind: "no_catalog",
      detail: "The node is starting",
      retryAfterMs: 500,
    });
  }

  async #openEndpoints(node: Node): Promise<void> {
    const { ready_address, directory_address, ip, metrics_port } =
      this.#settings.node;
    const metrics = async () => ({
      status: 200,
      contentType: "text/plain; charset=UTF-8",
      body: await node.metrics.registry.metrics(),
    });
    await Promise.all([
      serve(
        "/resolve",
        directoryEndpoint(node),
        ...splitAddress(directory_address),
      ),
      serve("/ready", readinessEndpoint(node), ...splitAddress(ready_address)),
      serve("/metrics", metrics, ip, metrics_port),
    ]);
  }

  #onResponseAbandoned(host: string, reason: string): void {
    this.#node?.metrics.recordAbandonedResponse();
    this.#log.warn("response_abandoned", { host, reason });
  }

  /** Logs an error that nothing caught, and returns whether the process ends. */
  handleUnexpectedError(err: Error): "exit" | "continue" {
    const isFatal = this.#node === undefined || this.#errorPolicy.isFatal(err);
    this.#node?.metrics.recordUnexpectedError();
    this.#log.warn(isFatal ? "crashed" : "unexpected_error", {
      message: err.message,
      stack: err.stack,
    });
    this.#lineBuffer.flush();
    return isFatal ? "exit" : "continue";
  }

  /**
   * Stops without aborting requests: withdraws from the directory, keeps accepting
   * requests for {@linkcode ACCEPT_WHILE_STOPPING_MS}, then waits for those in flight.
   * Resolves when the process can exit. A further call waits for the same shutdown.
   */
  shutdown(reason: string): Promise<void> {
    this.#shutdown ??= this.#stop(reason);
    return this.#shutdown;
  }

  async #stop(reason: string): Promise<void> {
    if (this.#node === undefined) return;
    const startedAt = this.#timers.now();
    const timeoutMs = this.#settings.bounds.shutdown_within - KILL_MARGIN_MS;
    this.#log.info("stop_begun", {
      reason,
      inFlight: this.#node.relay.inFlight,
    });
    this.#node.withdraw();
    await sleep(this.#timers, ACCEPT_WHILE_STOPPING_MS);
    this.#node.relay.refuseNewRequests();
    this.#relayServer.drainConnections();
    // Refuses late requests for 1.2 s even when none is in flight, unless the
    // timeout passes first.
    while (this.#timers.now() - startedAt < timeoutMs) {
      if (
        this.#node.relay.inFlight === 0 &&
        this.#timers.now() - startedAt > ACCEPT_WHILE_STOPPING_MS + 1_200
      ) break;
      await sleep(this.#timers, 50);
    }
    this.#log.info("stopped", { inFlight: this.#node.relay.inFlight });
    this.#lineBuffer.flush();
  }
}

function serve(
  path: string,
  endpoint: Endpoint,
  ip: string,
  port: number,
): Promise<void> {
  return new EndpointServer({ [path]: endpoint }).listen(ip, port);
}

function splitAddress(address: string): [string, number] {
  const at = address.lastIndexOf(":");
  return [address.slice(0, at), Number(address.slice(at + 1))];
}
