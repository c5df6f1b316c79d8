/**
 * Baseline gateway, a reasonable first implementation: round robin, a concurrency
 * limit for each upstream, immediate retries, polling for configuration and
 * groups, orders in memory.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timers } from "../base/timers.ts";
import { sleep } from "../base/timers.ts";
import type { ShareResponse } from "../core/limits/share_allocator.ts";
import type { SyncMessage } from "../core/membership/messages.ts";
import { parseConfiguration } from "../core/configuration/parse.ts";
import { CONFIG_KEY } from "../core/configuration/store_keys.ts";
import type {
  CallerRequest,
  CallerResponse,
  Problem,
} from "../core/gateway/caller_request.ts";
import type {
  AcceptedRequest,
  AddressList,
  EntryGateway,
} from "../core/gateway/entry_gateway.ts";
import { EventFramer } from "./event_framer.ts";
import type { HostList } from "../ports/host_list.ts";
import type { KeyValueStore } from "../ports/key_value_store.ts";
import type {
  Attempt,
  AttemptEnd,
  UpstreamClient,
} from "../ports/upstream_client.ts";
import type { Configuration, GatewayMember } from "../world/configuration.ts";
import { EMPTY_CONFIGURATION } from "../world/configuration.ts";
import type { Upstream } from "../world/upstream.ts";
import type { NaiveGroup } from "./naive_controller.ts";
import { NAIVE_GROUPS_KEY } from "./naive_controller.ts";

const POLL_PERIOD_MS = 2_000;
/** Maximum number of concurrent requests from one gateway to one upstream. */
const MAX_IN_FLIGHT_PER_UPSTREAM = 8;
const MAX_ATTEMPTS = 3;
const QUEUE_TIMEOUT_MS = 10_000;
const RESPONSE_TIMEOUT_MS = 30_000;
const SHUTDOWN_TIMEOUT_MS = 10_000;
const QUEUE_POLL_PERIOD_MS = 20;

/** Dependencies of {@linkcode NaiveGateway}. */
export interface NaiveGatewayDependencies {
  readonly timers: Timers;
  readonly store: KeyValueStore;
  readonly hostList: HostList;
  readonly client: UpstreamClient;
  /** All gateways, from the settings. */
  readonly members: readonly GatewayMember[];
}

/** An order that this gateway has received. */
interface CachedOrder {
  readonly fingerprint: string;
  /** Body of the response; undefined until the order has completed. */
  body: Uint8Array | undefined;
}

/** An {@linkcode EntryGateway} that doesn't coordinate with other gateways. */
export class NaiveGateway implements EntryGateway {
  readonly #deps: NaiveGatewayDependencies;
  readonly #inFlight = new Map<string, number>();
  readonly #orders = new Map<string, CachedOrder>();
  #cfg: Configuration = EMPTY_CONFIGURATION;
  #upstreams: Upstream[] = [];
  #groupUpstreams: Upstream[] = [];
  #nextIndex = 0;
  #runningCount = 0;
  #queuedCount = 0;
  #isShuttingDown = false;

  constructor(deps: NaiveGatewayDependencies) {
    this.#deps = deps;
  }

  get cfg(): Configuration {
    return this.#cfg;
  }

  get notReadyReason(): string | undefined {
    return this.#isShuttingDown ? "The gateway is shutting down" : undefined;
  }

  get waiting(): number {
    return this.#queuedCount;
  }

  start(): void {
    this.#deps.timers.subscribe(POLL_PERIOD_MS, () => this.#poll());
    this.#poll();
  }

  handle(
    request: CallerRequest,
    response: CallerResponse,
  ): AcceptedRequest | undefined {
    if (this.#isShuttingDown) {
      this.#fail(response, "not_run", "The gateway is shutting down");
      return undefined;
    }
    const caller = { isDisconnected: false };
    this.#run(request, response, caller);
    return {
      onCallerDisconnected: () => {
        caller.isDisconnected = true;
      },
    };
  }

  addresses(_callerKey: string, _zone: string | undefined): AddressList {
    const addresses = this.#deps.members.map((m) => m.callerAddress);
    return { addresses, ttlMs: 5_000 };
  }

  async shutdown(): Promise<void> {
    this.#isShuttingDown = true;
    const { timers } = this.#deps;
    const deadline = timers.now() + SHUTDOWN_TIMEOUT_MS;
    while (this.#runningCount > 0 && timers.now() < deadline) {
      await sleep(timers, QUEUE_POLL_PERIOD_MS);
    }
  }

  /** Baseline gateways share no state: returns the message unchanged. */
  handleSync(msg: SyncMessage): SyncMessage {
    return msg;
  }

  handleShare(): ShareResponse {
    return { share: 0, warm: false };
  }

  async #poll(): Promise<void> {
    const [cfg, groups, hosts] = await Promise.all([
      this.#deps.store.read(CONFIG_KEY),
      this.#deps.store.read(NAIVE_GROUPS_KEY),
      this.#deps.hostList.list(),
    ]);
    if (cfg.ok) this.#cfg = parseConfiguration(cfg.value.value) ?? this.#cfg;
    if (groups.ok && groups.value.value !== "") {
      const list = JSON.parse(groups.value.value) as NaiveGroup[];
      this.#groupUpstreams = list.filter((g) => g.state === "open").map(
        toUpstream,
      );
    }
    const services: Upstream[] = [];
    for (const host of hosts.ok ? hosts.value : []) {
      if (host.kind !== "service" || host.state !== "live") continue;
      services.push({
        id: host.id,
        kind: "service",
        serves: host.service ?? "",
        version: "",
        address: host.address,
        availabilityZone: host.availabilityZone,
        fabricDomain: "",
        hostIds: [host.id],
        epoch: 0,
      });
    }
    this.#upstreams = [...this.#groupUpstreams, ...services];
  }

  async #run(
    request: CallerRequest,
    response: CallerResponse,
    caller: { isDisconnected: boolean },
  ): Promise<void> {
    this.#runningCount += 1;
    await this.#serve(request, response, caller);
    this.#runningCount -= 1;
  }

  async #serve(
    request: CallerRequest,
    response: CallerResponse,
    caller: { isDisconnected: boolean },
  ): Promise<void> {
    const { idempotencyKey } = request;
    const orderKey = `${request.customer.name} ${idempotencyKey}`;
    if (idempotencyKey !== undefined) {
      const order = this.#orders.get(orderKey);
      if (order?.body !== undefined) return replay(response, order.body);
      this.#orders.set(orderKey, {
        fingerprint: request.fingerprint,
        body: undefined,
      });
    }
    for (
      let attemptNumber = 1;
      attemptNumber <= MAX_ATTEMPTS;
      attemptNumber++
    ) {
      const upstream = await this.#waitForUpstream(request);
      if (upstream === undefined) {
        return this.#fail(response, "not_run", "No upstream in time");
      }
      const res = await this.#send(
        request,
        upstream,
        response,
        caller,
        attemptNumber,
      );
      if (res.kind === "completed") {
        const order = this.#orders.get(orderKey);
        if (order !== undefined) order.body = res.body;
        return;
      }
      if (res.kind === "interrupted") {
        return this.#fail(response, "stream_interrupted", "The stream broke");
      }
    }
    this.#fail(response, "upstream_failed", "Every attempt failed");
  }

  /**
   * Waits for an upstream below its concurrency limit. Returns undefined after
   * {@linkcode QUEUE_TIMEOUT_MS}.
   */
  async #waitForUpstream(
    request: CallerRequest,
  ): Promise<Upstream | undefined> {
    const { timers } = this.#deps;
    const deadline = timers.now() + QUEUE_TIMEOUT_MS;
    this.#queuedCount += 1;
    let found: Upstream | undefined;
    while (found === undefined && timers.now() < deadline) {
      found = this.#roundRobin(request.target.name);
      if (found === undefined) await sleep(timers, QUEUE_POLL_PERIOD_MS);
    }
    this.#queuedCount -= 1;
    return found;
  }

  #roundRobin(name: string): Upstream | undefined {
    const usable = this.#upstreams.filter((u) =>
      u.serves === name && this.#cfg.zones[u.availabilityZone] !== "out" &&
      (this.#inFlight.get(u.id) ?? 0) < MAX_IN_FLIGHT_PER_UPSTREAM
    );
    if (usable.length === 0) return undefined;
    return usable[this.#nextIndex++ % usable.length];
  }

  #send(
    request: CallerRequest,
    upstream: Upstream,
    response: CallerResponse,
    caller: { isDisconnected: boolean },
    attemptNumber: number,
  ): Promise<
    | { kind: "completed"; body: Uint8Array }
    | { kind: "failed" }
    | { kind: "interrupted" }
  > {
    this.#addInFlight(upstream, 1);
    return new Promise((resolve) => {
      const framer = new EventFramer();
      const chunks: Uint8Array[] = [];
      let hasForwardedData = false;
      let isSettled = false;
      let status = 200;
      const settle = (result: Parameters<typeof resolve>[0]) => {
        if (isSettled) return;
        isSettled = true;
        timer.cancel();
        attempt?.cancel();
        this.#addInFlight(upstream, -1);
        resolve(result);
      };
      const onEnd = (end: AttemptEnd) => {
        // A stream completes in `onData`, when its end marker arrives.
        if (end.kind !== "ended" || status !== 200 || request.streaming) {
          return settle({ kind: hasForwardedData ? "interrupted" : "failed" });
        }
        const body = Buffer.concat(chunks);
        response.writeHead(200, {});
        response.write(body);
        response.end();
        settle({ kind: "completed", body });
      };
      const onData = (chunk: Uint8Array) => {
        if (isSettled || caller.isDisconnected) return;
        if (!request.streaming) {
          chunks.push(chunk);
          return;
        }
        const framed = framer.push(chunk);
        if (framed === undefined || framed.bytes.length === 0) return;
        if (!hasForwardedData) {
          response.writeHead(200, { "content-type": "text/event-stream" });
        }
        hasForwardedData = true;
        response.write(framed.bytes);
        if (!framed.ended) return;
        response.end();
        settle({ kind: "completed", body: framed.bytes });
      };
      const onHead = (head: { status: number }) => {
        status = head.status;
      };
      const onTimeout = () =>
        settle({ kind: hasForwardedData ? "interrupted" : "failed" });
      const timer = this.#deps.timers.after(RESPONSE_TIMEOUT_MS, onTimeout);
      let attempt: Attempt | undefined = undefined;
      attempt = this.#deps.client.send(upstream, {
        attemptId: `${request.id}-${attemptNumber}`,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        resumeAfter: 0,
        streaming: request.streaming,
      }, { onHead, onData, onEnd });
    });
  }

  #addInFlight(upstream: Upstream, delta: number): void {
    const count = (this.#inFlight.get(upstream.id) ?? 0) + delta;
    this.#inFlight.set(upstream.id, count);
  }

  #fail(response: CallerResponse, kind: Problem["kind"], detail: string): void {
    response.fail({ kind, detail, notRun: kind === "not_run", log: [] });
  }
}

function toUpstream(group: NaiveGroup): Upstream {
  return {
    id: `${group.id}@${group.epoch}`,
    kind: "group",
    serves: group.model,
    version: group.version,
    address: group.members[0].address,
    availabilityZone: group.availabilityZone,
    fabricDomain: group.fabricDomain,
    hostIds: group.members.map((m) => m.hostId),
    epoch: group.epoch,
  };
}

function replay(response: CallerResponse, body: Uint8Array): void {
  response.writeHead(200, {});
  response.write(body);
  response.end();
}
