/**
 * A plain service instance that runs calls and orders.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type { EngineStatus } from "../../ports/engine_control.ts";
import type { Journal } from "./journal.ts";

/** Receives the answer to a call. */
export interface ServiceSink {
  answer(status: number, body: string): void;
  broken(): void;
}

/** A call as a service gets it. */
export interface ServiceCall {
  readonly attemptId: string;
  readonly service: string;
  readonly idempotencyKey: string;
  readonly fingerprint: string;
}

/** One instance of a plain service. */
export class ServiceSim {
  readonly hostId: string;
  readonly address: string;
  readonly availabilityZone: string;
  alive = true;
  paused = false;
  leavingSince = Infinity;
  /** Time that a call takes, in milliseconds. */
  callMs = 40;
  /** Runs the next calls but breaks the connection before it answers. */
  losesAnswers = 0;
  readonly #timers: Timers;
  readonly #journal: Journal;
  readonly #open = new Map<ServiceSink, Timer | undefined>();
  #boots = 1;
  #completed = 0;

  constructor(
    timers: Timers,
    journal: Journal,
    host: { hostId: string; address: string; availabilityZone: string },
  ) {
    this.#timers = timers;
    this.#journal = journal;
    this.hostId = host.hostId;
    this.address = host.address;
    this.availabilityZone = host.availabilityZone;
  }

  /** Changes with each start. */
  get bootId(): string {
    return `${this.hostId}-b${this.#boots}`;
  }

  /** Answers a status call. */
  status(): EngineStatus {
    return {
      hostId: this.hostId,
      bootId: this.bootId,
      phase: "ready",
      groupId: "",
      epoch: 0,
      running: this.#open.size,
      completed: this.#completed,
      capacity: 64,
      weights: [],
    };
  }

  /** Runs a call: its effect comes first, its answer later. */
  call(call: ServiceCall, sink: ServiceSink): { cancel(): void } {
    const at = this.#timers.now();
    this.#journal.record({
      kind: "order_run",
      at,
      hostId: this.hostId,
      availabilityZone: this.availabilityZone,
      service: call.service,
      attemptId: call.attemptId,
      idempotencyKey: call.idempotencyKey,
      leavingForMs: Math.max(0, at - this.leavingSince),
    });
    this.#open.set(sink, undefined);
    this.#answerLater(call, sink);
    return { cancel: () => this.#drop(sink) };
  }

  /** The instance goes away; open calls break. */
  die(): void {
    this.alive = false;
    for (const sink of [...this.#open.keys()]) {
      this.#drop(sink);
      sink.broken();
    }
  }

  /** The instance comes back with another boot. */
  restart(): void {
    if (this.alive) return;
    this.alive = true;
    this.#boots += 1;
  }

  #answerLater(call: ServiceCall, sink: ServiceSink): void {
    const timer = this.#timers.after(this.callMs, () => {
      if (this.paused) return this.#answerLater(call, sink);
      this.#drop(sink);
      if (this.losesAnswers > 0) {
        this.losesAnswers -= 1;
        return sink.broken();
      }
      this.#completed += 1;
      const { service, idempotencyKey } = call;
      const body = { service, key: idempotencyKey, state: "recorded" };
      sink.answer(200, JSON.stringify(body));
    });
    this.#open.set(sink, timer);
  }

  #drop(sink: ServiceSink): void {
    this.#open.get(sink)?.cancel();
    this.#open.delete(sink);
  }
}
