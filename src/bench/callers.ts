/**
 * Callers: they ask for addresses, keep them a while, connect, and send again.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { sha256 } from "../base/hash.ts";
import { Random } from "../base/random.ts";
import type { Call, CallReply, Problem } from "../core/gateway/call.ts";
import {
  answerEvent,
  answerLength,
  END_EVENT,
} from "../standins/sim/engine_sim.ts";
import type { Cluster, GatewayInstance } from "./cluster.ts";
import type { WorkloadPart } from "./deployment.ts";
import { POISON } from "./fakes.ts";

/** Callers at all counters and ladders together. */
const CALLER_COUNT = 30;
/** Longest time that a caller waits for an answer. */
const CALLER_TIMEOUT_MS = 60_000;
/** Pause before a caller sends an order again. */
const RETRY_DELAY_MS = 300;
/** Times that a caller sends an order, or a crashing request, again. */
const MAX_RETRIES = 3;
/** Customers of which the first have most of the load. */
const LARGE_CUSTOMER_COUNT = 2;

/** One sending of a request, and everything its caller saw. */
export interface Sending {
  readonly requestId: string;
  readonly gatewayId: string;
  readonly incarnation: string;
  readonly part: WorkloadPart;
  readonly fingerprint: string;
  readonly idempotencyKey: string | undefined;
  readonly poisonous: boolean;
  readonly sentAt: number;
  firstByteAt: number | undefined;
  endedAt: number | undefined;
  text: string;
  problem: Problem | undefined;
  /** The connection broke with the gateway's process. */
  disconnected: boolean;
}

/** Whether the answer came whole and is the one to this request. */
export function isWhole(request: Sending, cluster: Cluster): boolean {
  if (
    request.endedAt === undefined || request.problem || request.disconnected
  ) {
    return false;
  }
  return request.text === expectedResponse(request, cluster);
}

/** The one right answer to a request. */
export function expectedResponse(request: Sending, cluster: Cluster): string {
  const { part, fingerprint, idempotencyKey } = request;
  if (part.kind === "service") {
    const body = {
      service: part.target,
      key: idempotencyKey,
      state: "recorded",
    };
    return JSON.stringify(body);
  }
  const count = answerLength(fingerprint, cluster.deployment.profile);
  let text = "";
  for (let i = 1; i <= count; i++) text += answerEvent(fingerprint, i);
  return text + END_EVENT;
}

/** What is special about one sending. */
export interface SendOptions {
  readonly poisonous?: boolean;
  readonly key?: string;
  readonly gateway?: string;
  /** The caller vanishes after this time, and sends again elsewhere. */
  readonly leavesAfterMs?: number;
}

interface CachedAddresses {
  addresses: readonly string[];
  expiresAt: number;
}

/** Sends the deployment's load and notes what comes back. */
export class Callers {
  readonly sendings: Sending[] = [];
  /** Idempotency keys of all orders that were placed. */
  readonly orders = new Set<string>();
  readonly #cluster: Cluster;
  readonly #random: Random;
  readonly #cachedAddresses = new Map<number, CachedAddresses>();
  #count = 0;
  #active = false;
  #loadFactor = 1;
  #rampMs = 0;
  #startedAt = 0;

  constructor(cluster: Cluster, seed: number) {
    this.#cluster = cluster;
    this.#random = new Random(seed);
  }

  /** Begins to send; the load grows to its full size over `rampMs`. */
  start(loadFactor: number, rampMs: number): void {
    this.#loadFactor = loadFactor;
    this.#rampMs = rampMs;
    this.#startedAt = this.#cluster.timers.now();
    this.#active = true;
    for (const part of this.#cluster.deployment.workload) {
      this.#scheduleNext(part);
    }
  }

  /** Sends nothing new. */
  stop(): void {
    this.#active = false;
  }

  /** Sends one request from a caller. */
  send(
    part: WorkloadPart,
    options: SendOptions = {},
  ): Sending | undefined {
    const caller = this.#random.int(CALLER_COUNT);
    const body = this.#makeBody(options.poisonous === true);
    const key = part.kind === "service"
      ? options.key ?? `order-${this.#count}`
      : undefined;
    if (key !== undefined) this.orders.add(key);
    return this.#sendFrom(caller, part, {
      body,
      key,
      retriesLeft: MAX_RETRIES,
      ...options,
    });
  }

  #scheduleNext(part: WorkloadPart): void {
    const sinceMs = this.#cluster.timers.now() - this.#startedAt;
    const ramp = Math.min(1, (sinceMs + 1_000) / (this.#rampMs + 1_000));
    const mean = 1000 / (part.requestsPerS * this.#loadFactor * ramp);
    this.#cluster.timers.after(this.#random.exponential(mean), () => {
      if (!this.#active) return;
      this.send(part);
      this.#scheduleNext(part);
    });
  }

  #makeBody(poisonous: boolean): string {
    this.#count += 1;
    const prefix = `album ${this.#random.int(40)}`;
    return poisonous ? POISON : `${prefix} request ${this.#count}`;
  }

  #sendFrom(
    caller: number,
    part: WorkloadPart,
    options: {
      body: string;
      key: string | undefined;
      retriesLeft: number;
    } & SendOptions,
  ): Sending | undefined {
    const instance = options.gateway === undefined
      ? this.#connect(caller)
      : this.#cluster.gateway(options.gateway);
    if (instance === undefined) return undefined;
    const call = this.#makeCall(part, options.body, options.key);
    const request: Sending = {
      requestId: call.id,
      gatewayId: instance.member.id,
      incarnation: instance.member.incarnation,
      part,
      fingerprint: call.fingerprint,
      idempotencyKey: options.key,
      poisonous: options.poisonous === true,
      sentAt: this.#cluster.timers.now(),
      firstByteAt: undefined,
      endedAt: undefined,
      text: "",
      problem: undefined,
      disconnected: false,
    };
    this.sendings.push(request);
    const retryIfNeeded = () => {
      const isRetryable = request.poisonous || options.key !== undefined;
      const failed = request.problem !== undefined || request.disconnected;
      if (!isRetryable || !failed || options.retriesLeft === 0) return;
      this.#cluster.timers.after(RETRY_DELAY_MS, () => {
        const other = (caller + 1) % CALLER_COUNT;
        const { body, key, poisonous, retriesLeft } = options;
        this.#sendFrom(other, part, {
          body,
          key,
          poisonous,
          retriesLeft: retriesLeft - 1,
        });
      });
    };
    const recorder = this.#deliver(instance, call, request, retryIfNeeded);
    if (options.leavesAfterMs !== undefined) {
      this.#cluster.timers.after(options.leavesAfterMs, () => recorder.abort());
    }
    return request;
  }

  #deliver(
    instance: GatewayInstance,
    call: Call,
    request: Sending,
    onEnd: () => void,
  ): ResponseRecorder {
    const { network, timers } = this.#cluster;
    const recorder = new ResponseRecorder(this.#cluster, request, onEnd);
    network.send(`caller`, instance.member.id, () => {
      if (instance.node.state === "dead") return recorder.disconnect();
      instance.node.deliver(() => {
        recorder.running = instance.gateway.handle(call, recorder);
      });
    });
    const watch = timers.subscribe(250, () => {
      if (request.endedAt !== undefined) return watch.cancel();
      if (instance.node.state === "dead") recorder.disconnect();
      if (timers.now() - request.sentAt > CALLER_TIMEOUT_MS) {
        watch.cancel();
        recorder.running?.callerGone();
      }
    });
    return recorder;
  }

  /** The gateway at the first address that takes the connection. */
  #connect(caller: number): GatewayInstance | undefined {
    const { timers, gateways } = this.#cluster;
    const cached = this.#cachedAddresses.get(caller);
    if (cached === undefined || cached.expiresAt <= timers.now()) {
      this.#refresh(caller);
    }
    for (const address of this.#cachedAddresses.get(caller)?.addresses ?? []) {
      const instance = gateways.find((g) => g.member.callerAddress === address);
      if (instance !== undefined && this.#accepts(instance)) return instance;
    }
    this.#refresh(caller);
    return gateways.find((instance) => this.#accepts(instance));
  }

  /** A gateway that shuts down still takes the connection and answers. */
  #accepts(instance: GatewayInstance): boolean {
    return instance.node.state !== "dead";
  }

  #refresh(caller: number): void {
    const { timers, gateways, deployment } = this.#cluster;
    const up = gateways.filter((instance) =>
      instance.node.state === "up" &&
      instance.gateway.notReadyReason === undefined
    );
    if (up.length === 0) return;
    const { zones } = deployment.fleet;
    const zone = zones[caller % zones.length];
    const addressList = this.#random.pick(up).gateway
      .addresses(`caller-${caller}`, zone);
    this.#cachedAddresses.set(caller, {
      addresses: addressList.addresses,
      expiresAt: timers.now() + addressList.ttlMs,
    });
  }

  #makeCall(
    part: WorkloadPart,
    body: string,
    idempotencyKey: string | undefined,
  ): Call {
    const { deployment } = this.#cluster;
    const customer = this.#pickCustomer();
    const [serviceClass] = deployment.classes
      .filter((c) => c.name === part.serviceClass);
    const hashInput = idempotencyKey ?? body;
    const fingerprint = sha256(`${part.target}\n${hashInput}`);
    const headers: Record<string, string> = { "x-request-seed": fingerprint };
    if (idempotencyKey !== undefined) {
      headers["idempotency-key"] = idempotencyKey;
    }
    return {
      id: `call-${this.sendings.length}`,
      customer: idempotencyKey === undefined
        ? customer
        : deployment.customers[0],
      serviceClass,
      target: { kind: part.kind, name: part.target },
      method: "POST",
      path: "/v1/chat/completions",
      headers,
      body: Buffer.from(body),
      streaming: part.kind === "model",
      fingerprint,
      prefixKey: body.slice(0, 9),
      idempotencyKey,
      resumeAfter: 0,
    };
  }

  #pickCustomer() {
    const { customers } = this.#cluster.deployment;
    const pickLarge = this.#random.float() < 0.6;
    const candidateCount = pickLarge ? LARGE_CUSTOMER_COUNT : customers.length;
    return customers[this.#random.int(candidateCount)];
  }
}

/** What one caller sees of one answer. */
class ResponseRecorder implements CallReply {
  running: { callerGone(): void } | undefined;
  readonly #cluster: Cluster;
  readonly #request: Sending;
  readonly #onEnd: () => void;

  constructor(cluster: Cluster, request: Sending, onEnd: () => void) {
    this.#cluster = cluster;
    this.#request = request;
    this.#onEnd = onEnd;
  }

  head(): void {
    this.#request.firstByteAt ??= this.#cluster.timers.now();
  }

  data(chunk: Uint8Array): boolean {
    if (this.#request.endedAt === undefined) {
      this.#request.text += Buffer.from(chunk).toString("utf8");
    }
    return true;
  }

  end(): void {
    this.#finish();
  }

  fail(problem: Problem): void {
    if (this.#request.endedAt !== undefined) return;
    this.#request.problem = problem;
    this.#finish();
  }

  /** The gateway's process is gone. */
  disconnect(): void {
    if (this.#request.endedAt !== undefined) return;
    this.#request.disconnected = true;
    this.#finish();
  }

  /** The caller vanishes; the gateway sees its connection close. */
  abort(): void {
    if (this.#request.endedAt !== undefined) return;
    this.disconnect();
    this.running?.callerGone();
  }

  onDrain(callback: () => void): void {
    this.#cluster.timers.after(1, callback);
  }

  #finish(): void {
    if (this.#request.endedAt !== undefined) return;
    this.#request.endedAt = this.#cluster.timers.now();
    this.#onEnd();
  }
}
