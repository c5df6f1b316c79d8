/**
 * Simulates an instance of a plain service.
 *
 * @module
 */
import type { Timer, Timers } from "../../base/timers.ts";
import type { EngineStatus } from "../../ports/engine_control.ts";
import type { Journal } from "./journal.ts";

/** Receives the response to a request. */
export interface ServiceSink {
  respond(status: number, body: string): void;
  abort(): void;
}

/** A request as a service receives it. */
export interface ServiceRequest {
  readonly attemptId: string;
  readonly service: string;
  readonly idempotencyKey: string;
  readonly fingerprint: string;
}

/** The simulated instance of a plain service on one host. */
export class ServiceSim {
  readonly hostId: string;
  readonly address: string;
  readonly availabilityZone: string;
  alive = true;
  paused = false;
  /** Time at which the host began to leave; `Infinity` if it is not leaving. */
  leavingSince = Infinity;
  /** Time that a request takes, in milliseconds. */
  responseMs = 40;
  /**
   * Number of responses still to be dropped: the request runs, but its connection
   * is aborted.
   */
  responsesToDrop = 0;
  readonly #timers: Timers;
  readonly #journal: Journal;
  readonly #running = new Map<ServiceSink, Timer | undefined>();
  #bootCount = 1;
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

  /** Identifies the current boot. */
  get bootId(): string {
    return `${this.hostId}-b${this.#bootCount}`;
  }

  /** Returns the response to a status request. */
  status(): EngineStatus {
    return {
      hostId: this.hostId,
      bootId: this.bootId,
      phase: "ready",
      groupId: "",
      epoch: 0,
      running: this.#running.size,
      completed: this.#completed,
      capacity: 64,
      weights: [],
    };
  }

  /** Runs a request at once and responds to it after `responseMs`. */
  run(request: ServiceRequest, sink: ServiceSink): { cancel(): void } {
    const at = this.#timers.now();
    this.#journal.record({
      kind: "order_run",
      at,
      hostId: this.hostId,
      availabilityZone: this.availabilityZone,
      service: request.service,
      attemptId: request.attemptId,
      idempotencyKey: request.idempotencyKey,
      leavingForMs: Math.max(0, at - this.leavingSince),
    });
    this.#running.set(sink, undefined);
    this.#scheduleResponse(request, sink);
    return { cancel: () => this.#remove(sink) };
  }

  /** Stops the instance without notice and aborts its running requests. */
  die(): void {
    this.alive = false;
    for (const sink of [...this.#running.keys()]) {
      this.#remove(sink);
      sink.abort();
    }
  }

  /** Starts the instance again, under a new boot id. */
  restart(): void {
    if (this.alive) return;
    this.alive = true;
    this.#bootCount += 1;
  }

  #scheduleResponse(request: ServiceRequest, sink: ServiceSink): void {
    const timer = this.#timers.after(this.responseMs, () => {
      if (this.paused) return this.#scheduleResponse(request, sink);
      this.#remove(sink);
      if (this.responsesToDrop > 0) {
        this.responsesToDrop -= 1;
        return sink.abort();
      }
      this.#completed += 1;
      const { service, idempotencyKey } = request;
      const body = { service, key: idempotencyKey, state: "recorded" };
      sink.respond(200, JSON.stringify(body));
    });
    this.#running.set(sink, timer);
  }

  #remove(sink: ServiceSink): void {
    this.#running.get(sink)?.cancel();
    this.#running.delete(sink);
  }
}
