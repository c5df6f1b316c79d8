/**
 * Simulated callers, which resolve and cache gateways' addresses, connect, and
 * retry.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { sha256 } from "../base/hash.ts";
import { Random } from "../base/random.ts";
import type {
  CallerRequest,
  CallerResponse,
  Problem,
} from "../core/gateway/caller_request.ts";
import {
  END_EVENT,
  responseEvent,
  responseTokenCount,
} from "../standins/sim/engine_sim.ts";
import type { Cluster, GatewayInstance } from "./cluster.ts";
import type { WorkloadPart } from "./deployment.ts";
import { POISON_MARKER } from "./fakes.ts";

/** Number of callers, spread evenly over the zones. */
const CALLER_COUNT = 30;
/** Time after which a caller stops waiting for a response and disconnects. */
const CALLER_TIMEOUT_MS = 60_000;
/** Delay before a failed order or poisonous request is retried. */
const RETRY_DELAY_MS = 300;
/** Maximum number of retries of an order or a poisonous request. */
const MAX_RETRIES = 3;
/** Number of customers, the first ones listed, that send most of the load. */
const LARGE_CUSTOMER_COUNT = 2;

/**
 * One request as a caller sent it, and everything that the caller observed. Each
 * retry has its own record. Times are in virtual milliseconds.
 */
export interface SentRequest {
  readonly requestId: string;
  readonly gatewayId: string;
  /** The gateway's incarnation. */
  readonly incarnation: string;
  readonly part: WorkloadPart;
  readonly fingerprint: string;
  readonly idempotencyKey: string | undefined;
  /** Whether the request crashes each engine that runs it. */
  readonly poisonous: boolean;
  readonly sentAt: number;
  firstByteAt: number | undefined;
  endedAt: number | undefined;
  /** The part of the response body that has arrived. */
  text: string;
  problem: Problem | undefined;
  /** Whether the gateway was killed or the caller disconnected. */
  disconnected: boolean;
}

/** Whether the response is complete and belongs to this request. */
export function hasCorrectResponse(
  request: SentRequest,
  cluster: Cluster,
): boolean {
  if (
    request.endedAt === undefined || request.problem || request.disconnected
  ) {
    return false;
  }
  return request.text === expectedResponse(request, cluster);
}

/** Returns the only correct response to a request. */
export function expectedResponse(
  request: SentRequest,
  cluster: Cluster,
): string {
  const { part, fingerprint, idempotencyKey } = request;
  if (part.kind === "service") {
    const body = {
      service: part.target,
      key: idempotencyKey,
      state: "recorded",
    };
    return JSON.stringify(body);
  }
  const count = responseTokenCount(fingerprint, cluster.deployment.profile);
  let text = "";
  for (let i = 1; i <= count; i++) text += responseEvent(fingerprint, i);
  return text + END_EVENT;
}

/** Options of a single request. */
export interface SendOptions {
  readonly poisonous?: boolean;
  /** Ids of the parts of the prompt that other requests may share. */
  readonly promptParts?: readonly string[];
  /** Idempotency key of an order; a new one by default. */
  readonly key?: string;
  /** Id of the gateway; chosen by the caller by default. */
  readonly gatewayId?: string;
  /**
   * Time after which the caller disconnects. If the request is an order, another
   * caller then retries it.
   */
  readonly disconnectAfterMs?: number;
}

interface CachedAddresses {
  addresses: readonly string[];
  expiresAt: number;
}

/** Sends the deployment's load and records the responses. */
export class SimulatedCallers {
  readonly requests: SentRequest[] = [];
  /** Idempotency keys of all orders that were placed. */
  readonly orderKeys = new Set<string>();
  readonly #cluster: Cluster;
  readonly #random: Random;
  readonly #cachedAddresses = new Map<number, CachedAddresses>();
  #requestCount = 0;
  #isSending = false;
  #loadFactor = 1;
  #rampMs = 0;
  #startedAt = 0;

  constructor(cluster: Cluster, seed: number) {
    this.#cluster = cluster;
    this.#random = new Random(seed);
  }

  /** Starts sending; the load increases to its full rate over `rampMs`. */
  start(loadFactor: number, rampMs: number): void {
    this.#loadFactor = loadFactor;
    this.#rampMs = rampMs;
    this.#startedAt = this.#cluster.timers.now();
    this.#isSending = true;
    for (const part of this.#cluster.deployment.workload) {
      this.#scheduleNext(part);
    }
  }

  /** Stops sending new requests. */
  stop(): void {
    this.#isSending = false;
  }

  /**
   * Sends one request from a random caller. Returns undefined if no gateway
   * accepts connections.
   */
  send(
    part: WorkloadPart,
    options: SendOptions = {},
  ): SentRequest | undefined {
    const caller = this.#random.int(CALLER_COUNT);
    const body = this.#makeBody(options);
    const key = part.kind === "service"
      ? options.key ?? `order-${this.#requestCount}`
      : undefined;
    if (key !== undefined) this.orderKeys.add(key);
    return this.#sendFrom(caller, part, {
      body,
      key,
      retriesLeft: MAX_RETRIES,
      ...options,
    });
  }

  #scheduleNext(part: WorkloadPart): void {
    const elapsedMs = this.#cluster.timers.now() - this.#startedAt;
    // Starts above 0: at a rate of 0, the first request would never be sent.
    const rampFactor = Math.min(
      1,
      (elapsedMs + 1_000) / (this.#rampMs + 1_000),
    );
    const meanIntervalMs = 1000 /
      (part.requestsPerS * this.#loadFactor * rampFactor);
    this.#cluster.timers.after(this.#random.exponential(meanIntervalMs), () => {
      if (!this.#isSending) return;
      this.send(part);
      this.#scheduleNext(part);
    });
  }

  #makeBody({ poisonous, promptParts }: SendOptions): string {
    this.#requestCount += 1;
    if (poisonous === true && promptParts !== undefined) {
      return `${POISON_MARKER} request ${this.#requestCount}`;
    }
    // Requests for the same album have the same `prefixKey`.
    const prefix = `album ${this.#random.int(40)}`;
    return poisonous === true
      ? POISON_MARKER
      : `${prefix} request ${this.#requestCount}`;
  }

  #sendFrom(
    caller: number,
    part: WorkloadPart,
    options: {
      body: string;
      key: string | undefined;
      retriesLeft: number;
    } & SendOptions,
  ): SentRequest | undefined {
    const instance = options.gatewayId === undefined
      ? this.#connect(caller)
      : this.#cluster.gateway(options.gatewayId);
    if (instance === undefined) return undefined;
    const callerRequest = this.#createCallerRequest(
      part,
      options.body,
      options.key,
      options.promptParts,
    );
    const request: SentRequest = {
      requestId: callerRequest.id,
      gatewayId: instance.member.id,
      incarnation: instance.member.incarnation,
      part,
      fingerprint: callerRequest.fingerprint,
      idempotencyKey: options.key,
      poisonous: options.poisonous === true,
      sentAt: this.#cluster.timers.now(),
      firstByteAt: undefined,
      endedAt: undefined,
      text: "",
      problem: undefined,
      disconnected: false,
    };
    this.requests.push(request);
    const retryIfNeeded = () => {
      const isRetryable = request.poisonous || options.key !== undefined;
      const failed = request.problem !== undefined || request.disconnected;
      if (!isRetryable || !failed || options.retriesLeft === 0) return;
      this.#cluster.timers.after(RETRY_DELAY_MS, () => {
        const otherCaller = (caller + 1) % CALLER_COUNT;
        const { body, key, poisonous, promptParts, retriesLeft } = options;
        this.#sendFrom(otherCaller, part, {
          body,
          key,
          poisonous,
          promptParts,
          retriesLeft: retriesLeft - 1,
        });
      });
    };
    const recorder = this.#sendRequest(
      instance,
      callerRequest,
      request,
      retryIfNeeded,
    );
    if (options.disconnectAfterMs !== undefined) {
      this.#cluster.timers.after(
        options.disconnectAfterMs,
        () => recorder.disconnectCaller(),
      );
    }
    return request;
  }

  #sendRequest(
    instance: GatewayInstance,
    callerRequest: CallerRequest,
    request: SentRequest,
    onEnd: () => void,
  ): ResponseRecorder {
    const { network, timers } = this.#cluster;
    const recorder = new ResponseRecorder(this.#cluster, request, onEnd);
    network.send(`caller`, instance.member.id, () => {
      if (instance.process.state === "dead") return recorder.onConnectionLost();
      instance.process.runOrDefer(() => {
        recorder.acceptedRequest = instance.gateway.handle(
          callerRequest,
          recorder,
        );
      });
    });
    const connectionCheck = timers.subscribe(250, () => {
      if (request.endedAt !== undefined) return connectionCheck.cancel();
      if (instance.process.state === "dead") recorder.onConnectionLost();
      if (timers.now() - request.sentAt > CALLER_TIMEOUT_MS) {
        connectionCheck.cancel();
        // Does not set `endedAt`; the checker reports requests that never end.
        recorder.acceptedRequest?.onCallerDisconnected();
      }
    });
    return recorder;
  }

  /**
   * Returns the first gateway of the cached addresses that accepts connections,
   * or else any gateway that does.
   */
  #connect(caller: number): GatewayInstance | undefined {
    const { timers, gateways } = this.#cluster;
    const cached = this.#cachedAddresses.get(caller);
    if (cached === undefined || cached.expiresAt <= timers.now()) {
      this.#refreshAddresses(caller);
    }
    for (const address of this.#cachedAddresses.get(caller)?.addresses ?? []) {
      const instance = gateways.find((g) => g.member.callerAddress === address);
      if (instance !== undefined && this.#canConnect(instance)) return instance;
    }
    this.#refreshAddresses(caller);
    return gateways.find((instance) => this.#canConnect(instance));
  }

  /**
   * Whether the gateway accepts connections. It does until its process is
   * killed, also during a graceful shutdown.
   */
  #canConnect(instance: GatewayInstance): boolean {
    return instance.process.state !== "dead";
  }

  #refreshAddresses(caller: number): void {
    const { timers, gateways, deployment } = this.#cluster;
    const readyGateways = gateways.filter((instance) =>
      instance.process.state === "up" &&
      instance.gateway.notReadyReason === undefined
    );
    if (readyGateways.length === 0) return;
    const { zones } = deployment.fleet;
    const zone = zones[caller % zones.length];
    const addressList = this.#random.pick(readyGateways).gateway
      .addresses(`caller-${caller}`, zone);
    this.#cachedAddresses.set(caller, {
      addresses: addressList.addresses,
      expiresAt: timers.now() + addressList.ttlMs,
    });
  }

  #createCallerRequest(
    part: WorkloadPart,
    body: string,
    idempotencyKey: string | undefined,
    promptParts: readonly string[] | undefined,
  ): CallerRequest {
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
      id: `call-${this.requests.length}`,
      // Each retry of an order has to come from the same customer.
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
      // The album's name; its number has at most two digits.
      prefixKey: body.slice(0, 9),
      promptParts: promptParts ?? [],
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

/** Records what a caller receives as the response to one request. */
class ResponseRecorder implements CallerResponse {
  acceptedRequest: { onCallerDisconnected(): void } | undefined;
  readonly #cluster: Cluster;
  readonly #request: SentRequest;
  readonly #onEnd: () => void;

  constructor(cluster: Cluster, request: SentRequest, onEnd: () => void) {
    this.#cluster = cluster;
    this.#request = request;
    this.#onEnd = onEnd;
  }

  writeHead(): void {
    this.#request.firstByteAt ??= this.#cluster.timers.now();
  }

  write(chunk: Uint8Array): boolean {
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

  /** Records that the connection was lost, which ends the response. */
  onConnectionLost(): void {
    if (this.#request.endedAt !== undefined) return;
    this.#request.disconnected = true;
    this.#finish();
  }

  /** Disconnects the caller and notifies the gateway. */
  disconnectCaller(): void {
    if (this.#request.endedAt !== undefined) return;
    this.onConnectionLost();
    this.acceptedRequest?.onCallerDisconnected();
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
