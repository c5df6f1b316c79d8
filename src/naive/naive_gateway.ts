/**
 * Baseline gateway: what a sensible engineer would write first.
 *
 * Round robin, a limit for each gateway, retry at once, configuration and groups
 * by polling, orders remembered in memory.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timers } from "../base/timers.ts";
import { sleep } from "../base/timers.ts";
import type { ShareReply } from "../core/limits/slot_owner.ts";
import type { SyncMessage } from "../core/membership/messages.ts";
import { parseConfiguration } from "../core/configuration/parse.ts";
import { CONFIG_KEY } from "../core/configuration/store_keys.ts";
import type { Call, CallResponse, Problem } from "../core/gateway/call.ts";
import type {
  AddressList,
  EntryGateway,
  RunningCall,
} from "../core/gateway/entry_gateway.ts";
import { EventFramer } from "../core/gateway/event_framer.ts";
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

const POLL_MS = 2_000;
/** Requests that one gateway sends to one upstream at once. */
const LIMIT_PER_GATEWAY = 8;
const MAX_ATTEMPTS = 3;
const QUEUE_LIMIT_MS = 10_000;
const ANSWER_LIMIT_MS = 30_000;
const SHUTDOWN_LIMIT_MS = 10_000;
const QUEUE_LOOK_MS = 20;

/** What the baseline gateway works with. */
export interface NaiveGatewayParts {
  readonly timers: Timers;
  readonly store: KeyValueStore;
  readonly hostList: HostList;
  readonly client: UpstreamClient;
  /** All gateways, from the settings. */
  readonly members: readonly GatewayMember[];
}

/** An order's answer as remembered. */
interface RememberedOrder {
  readonly fingerprint: string;
  body: Uint8Array | undefined;
}

/** {@linkcode EntryGateway} without coordination. */
export class NaiveGateway implements EntryGateway {
  readonly #parts: NaiveGatewayParts;
  readonly #inFlight = new Map<string, number>();
  readonly #orders = new Map<string, RememberedOrder>();
  #cfg: Configuration = EMPTY_CONFIGURATION;
  #upstreams: Upstream[] = [];
  #groups: Upstream[] = [];
  #next = 0;
  #running = 0;
  #waiting = 0;
  #stopping = false;

  constructor(parts: NaiveGatewayParts) {
    this.#parts = parts;
  }

  get cfg(): Configuration {
    return this.#cfg;
  }

  get notReadyReason(): string | undefined {
    return this.#stopping ? "The gateway is shutting down" : undefined;
  }

  get waiting(): number {
    return this.#waiting;
  }

  start(): void {
    this.#parts.timers.subscribe(POLL_MS, () => this.#poll());
    this.#poll();
  }

  handle(call: Call, reply: CallResponse): RunningCall | undefined {
    if (this.#stopping) {
      this.#fail(reply, "not_run", "The gateway is shutting down");
      return undefined;
    }
    const state = { gone: false };
    this.#run(call, reply, state);
    return {
      onCallerDisconnected: () => {
        state.gone = true;
      },
    };
  }

  addresses(_callerKey: string, _zone: string | undefined): AddressList {
    const addresses = this.#parts.members.map((m) => m.callerAddress);
    return { addresses, ttlMs: 5_000 };
  }

  async shutdown(): Promise<void> {
    this.#stopping = true;
    const { timers } = this.#parts;
    const until = timers.now() + SHUTDOWN_LIMIT_MS;
    while (this.#running > 0 && timers.now() < until) {
      await sleep(timers, QUEUE_LOOK_MS);
    }
  }

  handleSync(msg: SyncMessage): SyncMessage {
    return msg;
  }

  handleShare(): ShareReply {
    return { share: 0, warm: false };
  }

  async #poll(): Promise<void> {
    const [cfg, groups, hosts] = await Promise.all([
      this.#parts.store.read(CONFIG_KEY),
      this.#parts.store.read(NAIVE_GROUPS_KEY),
      this.#parts.hostList.list(),
    ]);
    if (cfg.ok) this.#cfg = parseConfiguration(cfg.value.value) ?? this.#cfg;
    if (groups.ok && groups.value.value !== "") {
      const list = JSON.parse(groups.value.value) as NaiveGroup[];
      this.#groups = list.filter((g) => g.state === "open").map(toUpstream);
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
    this.#upstreams = [...this.#groups, ...services];
  }

  async #run(
    call: Call,
    reply: CallResponse,
    state: { gone: boolean },
  ): Promise<void> {
    this.#running += 1;
    await this.#serve(call, reply, state);
    this.#running -= 1;
  }

  async #serve(
    call: Call,
    reply: CallResponse,
    state: { gone: boolean },
  ): Promise<void> {
    const { idempotencyKey } = call;
    const key = `${call.customer.name} ${idempotencyKey}`;
    if (idempotencyKey !== undefined) {
      const known = this.#orders.get(key);
      if (known?.body !== undefined) return answerAgain(reply, known.body);
      this.#orders.set(key, { fingerprint: call.fingerprint, body: undefined });
    }
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const upstream = await this.#choose(call);
      if (upstream === undefined) {
        return this.#fail(reply, "not_run", "No upstream in time");
      }
      const res = await this.#send(call, upstream, reply, state, attempt);
      if (res.kind === "answered") {
        const order = this.#orders.get(key);
        if (order !== undefined) order.body = res.body;
        return;
      }
      if (res.kind === "cut") {
        return this.#fail(reply, "stream_interrupted", "The stream broke");
      }
    }
    this.#fail(reply, "upstream_failed", "Every attempt failed");
  }

  /** The next upstream in turn that has room. */
  async #choose(call: Call): Promise<Upstream | undefined> {
    const { timers } = this.#parts;
    const until = timers.now() + QUEUE_LIMIT_MS;
    this.#waiting += 1;
    let found: Upstream | undefined;
    while (found === undefined && timers.now() < until) {
      found = this.#roundRobin(call.target.name);
      if (found === undefined) await sleep(timers, QUEUE_LOOK_MS);
    }
    this.#waiting -= 1;
    return found;
  }

  #roundRobin(name: string): Upstream | undefined {
    const usable = this.#upstreams.filter((u) =>
      u.serves === name && this.#cfg.zones[u.availabilityZone] !== "out" &&
      (this.#inFlight.get(u.id) ?? 0) < LIMIT_PER_GATEWAY
    );
    if (usable.length === 0) return undefined;
    return usable[this.#next++ % usable.length];
  }

  #send(
    call: Call,
    upstream: Upstream,
    reply: CallResponse,
    state: { gone: boolean },
    attempt: number,
  ): Promise<
    | { kind: "answered"; body: Uint8Array }
    | { kind: "failed" }
    | { kind: "cut" }
  > {
    this.#count(upstream, 1);
    return new Promise((resolve) => {
      const framer = new EventFramer();
      const held: Uint8Array[] = [];
      let sent = false;
      let done = false;
      let status = 200;
      const settle = (result: Parameters<typeof resolve>[0]) => {
        if (done) return;
        done = true;
        timer.cancel();
        handle?.cancel();
        this.#count(upstream, -1);
        resolve(result);
      };
      const onEnd = (end: AttemptEnd) => {
        if (end.kind !== "ended" || status !== 200 || call.streaming) {
          return settle({ kind: sent ? "cut" : "failed" });
        }
        const body = Buffer.concat(held);
        reply.writeHead(200, {});
        reply.write(body);
        reply.end();
        settle({ kind: "answered", body });
      };
      const onData = (chunk: Uint8Array) => {
        if (done || state.gone) return;
        if (!call.streaming) {
          held.push(chunk);
          return;
        }
        const framed = framer.push(chunk);
        if (framed === undefined || framed.bytes.length === 0) return;
        if (!sent) {
          reply.writeHead(200, { "content-type": "text/event-stream" });
        }
        sent = true;
        reply.write(framed.bytes);
        if (!framed.ended) return;
        reply.end();
        settle({ kind: "answered", body: framed.bytes });
      };
      const onHead = (head: { status: number }) => {
        status = head.status;
      };
      const limit = () => settle({ kind: sent ? "cut" : "failed" });
      const timer = this.#parts.timers.after(ANSWER_LIMIT_MS, limit);
      let handle: Attempt | undefined = undefined;
      handle = this.#parts.client.send(upstream, {
        attemptId: `${call.id}-${attempt}`,
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        resumeAfter: 0,
        streaming: call.streaming,
      }, { onHead, onData, onEnd });
    });
  }

  #count(upstream: Upstream, by: number): void {
    const count = (this.#inFlight.get(upstream.id) ?? 0) + by;
    this.#inFlight.set(upstream.id, count);
  }

  #fail(reply: CallResponse, kind: Problem["kind"], detail: string): void {
    reply.fail({ kind, detail, notRun: kind === "not_run", log: [] });
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

function answerAgain(reply: CallResponse, body: Uint8Array): void {
  reply.writeHead(200, {});
  reply.write(body);
  reply.end();
}
