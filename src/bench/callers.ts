/**
 * Callers: they ask for addresses, keep them a while, connect, and send again.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { sha256 } from "../base/hash.ts";
import { Random } from "../base/random.ts";
import type { Call, CallResponse, Problem } from "../core/gateway/call.ts";
import {
  answerEvent,
  answerLength,
  END_EVENT,
} from "../standins/sim/engine_sim.ts";
import type { Cluster, GatewaySlot } from "./cluster.ts";
import type { WorkloadPart } from "./deployment.ts";
import { POISON } from "./fakes.ts";

/** Callers at all counters and ladders together. */
const CALLERS = 30;
/** Longest time that a caller waits for an answer. */
const PATIENCE_MS = 60_000;
/** Pause before a caller sends an order again. */
const RESEND_MS = 300;
/** Times that a caller sends an order, or a crashing request, again. */
const MAX_RESENDS = 3;
/** Customers of which the first have most of the load. */
const LARGE_CUSTOMERS = 2;

/** One sending of a request, and everything its caller saw. */
export interface Sending {
  readonly callId: string;
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
  cut: boolean;
}

/** Whether the answer came whole and is the one to this request. */
export function isWhole(sending: Sending, cluster: Cluster): boolean {
  if (sending.endedAt === undefined || sending.problem || sending.cut) {
    return false;
  }
  return sending.text === expectedText(sending, cluster);
}

/** The one right answer to a request. */
export function expectedText(sending: Sending, cluster: Cluster): string {
  const { part, fingerprint, idempotencyKey } = sending;
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

interface CallerAddresses {
  addresses: readonly string[];
  until: number;
}

/** Sends the deployment's load and notes what comes back. */
export class Callers {
  readonly sendings: Sending[] = [];
  /** Idempotency keys of all orders that were placed. */
  readonly orders = new Set<string>();
  readonly #cluster: Cluster;
  readonly #random: Random;
  readonly #addresses = new Map<number, CallerAddresses>();
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
    const caller = this.#random.int(CALLERS);
    const body = this.#makeBody(options.poisonous === true);
    const key = part.kind === "service"
      ? options.key ?? `order-${this.#count}`
      : undefined;
    if (key !== undefined) this.orders.add(key);
    return this.#sendFrom(caller, part, {
      body,
      key,
      left: MAX_RESENDS,
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
    request: {
      body: string;
      key: string | undefined;
      left: number;
    } & SendOptions,
  ): Sending | undefined {
    const slot = request.gateway === undefined
      ? this.#connect(caller)
      : this.#cluster.gateway(request.gateway);
    if (slot === undefined) return undefined;
    const call = this.#makeCall(part, request.body, request.key);
    const sending: Sending = {
      callId: call.id,
      gatewayId: slot.member.id,
      incarnation: slot.member.incarnation,
      part,
      fingerprint: call.fingerprint,
      idempotencyKey: request.key,
      poisonous: request.poisonous === true,
      sentAt: this.#cluster.timers.now(),
      firstByteAt: undefined,
      endedAt: undefined,
      text: "",
      problem: undefined,
      cut: false,
    };
    this.sendings.push(sending);
    const again = () => {
      const resends = sending.poisonous || request.key !== undefined;
      const failed = sending.problem !== undefined || sending.cut;
      if (!resends || !failed || request.left === 0) return;
      this.#cluster.timers.after(RESEND_MS, () => {
        const other = (caller + 1) % CALLERS;
        const { body, key, poisonous, left } = request;
        this.#sendFrom(other, part, { body, key, poisonous, left: left - 1 });
      });
    };
    const reply = this.#deliver(slot, call, sending, again);
    if (request.leavesAfterMs !== undefined) {
      this.#cluster.timers.after(request.leavesAfterMs, () => reply.leave());
    }
    return sending;
  }

  #deliver(
    slot: GatewaySlot,
    call: Call,
    sending: Sending,
    ended: () => void,
  ): CallerReply {
    const { network, timers } = this.#cluster;
    const reply = new CallerReply(this.#cluster, sending, ended);
    network.send(`caller`, slot.member.id, () => {
      if (slot.node.state === "dead") return reply.cut();
      slot.node.deliver(() => {
        reply.running = slot.gateway.handle(call, reply);
      });
    });
    const watch = timers.subscribe(250, () => {
      if (sending.endedAt !== undefined) return watch.cancel();
      if (slot.node.state === "dead") reply.cut();
      if (timers.now() - sending.sentAt > PATIENCE_MS) {
        watch.cancel();
        reply.running?.onCallerDisconnected();
      }
    });
    return reply;
  }

  /** The gateway at the first address that takes the connection. */
  #connect(caller: number): GatewaySlot | undefined {
    const { timers, gateways } = this.#cluster;
    const known = this.#addresses.get(caller);
    if (known === undefined || known.until <= timers.now()) {
      this.#refresh(caller);
    }
    for (const address of this.#addresses.get(caller)?.addresses ?? []) {
      const slot = gateways.find((g) => g.member.callerAddress === address);
      if (slot !== undefined && this.#accepts(slot)) return slot;
    }
    this.#refresh(caller);
    return gateways.find((slot) => this.#accepts(slot));
  }

  /** A gateway that shuts down still takes the connection and answers. */
  #accepts(slot: GatewaySlot): boolean {
    return slot.node.state !== "dead";
  }

  #refresh(caller: number): void {
    const { timers, gateways, deployment } = this.#cluster;
    const up = gateways.filter((slot) =>
      slot.node.state === "up" && slot.gateway.notReadyReason === undefined
    );
    if (up.length === 0) return;
    const { zones } = deployment.fleet;
    const zone = zones[caller % zones.length];
    const answer = this.#random.pick(up).gateway
      .addresses(`caller-${caller}`, zone);
    this.#addresses.set(caller, {
      addresses: answer.addresses,
      until: timers.now() + answer.ttlMs,
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
    const print = idempotencyKey ?? body;
    const fingerprint = sha256(`${part.target}\n${print}`);
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
    const large = this.#random.float() < 0.6;
    const limit = large ? LARGE_CUSTOMERS : customers.length;
    return customers[this.#random.int(limit)];
  }
}

/** What one caller sees of one answer. */
class CallerReply implements CallResponse {
  running: { onCallerDisconnected(): void } | undefined;
  readonly #cluster: Cluster;
  readonly #sending: Sending;
  readonly #ended: () => void;

  constructor(cluster: Cluster, sending: Sending, ended: () => void) {
    this.#cluster = cluster;
    this.#sending = sending;
    this.#ended = ended;
  }

  writeHead(): void {
    this.#sending.firstByteAt ??= this.#cluster.timers.now();
  }

  write(chunk: Uint8Array): boolean {
    if (this.#sending.endedAt === undefined) {
      this.#sending.text += Buffer.from(chunk).toString("utf8");
    }
    return true;
  }

  end(): void {
    this.#finish();
  }

  fail(problem: Problem): void {
    if (this.#sending.endedAt !== undefined) return;
    this.#sending.problem = problem;
    this.#finish();
  }

  /** The gateway's process is gone. */
  cut(): void {
    if (this.#sending.endedAt !== undefined) return;
    this.#sending.cut = true;
    this.#finish();
  }

  /** The caller vanishes; the gateway sees its connection close. */
  leave(): void {
    if (this.#sending.endedAt !== undefined) return;
    this.cut();
    this.running?.onCallerDisconnected();
  }

  onDrain(callback: () => void): void {
    this.#cluster.timers.after(1, callback);
  }

  #finish(): void {
    if (this.#sending.endedAt !== undefined) return;
    this.#sending.endedAt = this.#cluster.timers.now();
    this.#ended();
  }
}
