/**
 * One replica group in virtual time.
 *
 * @module
 */
import type { Timers } from "../../src/base/timers.ts";
import type { EngineBehaviour } from "./load_kinds.ts";

/** A request as an engine sees it. */
export interface EngineRequest {
  readonly promptTokens: number;
  /** 0 is admitted first. */
  readonly priority: number;
  /**
   * When the next event must be sent for a response in time; infinite if that is
   * not known or too late.
   */
  readonly neededAt: number;
  /** Events that are left to write. */
  events: number;
  onEvent(): void;
  onEnd(): void;
  /** Called when the group was lost and its connections are reset. */
  onLost(): void;
}

interface RunningRequest {
  readonly request: EngineRequest;
  unreadTokens: number;
  contextTokens: number;
}

/** Dependencies of an {@linkcode EngineGroup}. */
export interface EngineGroupDependencies {
  readonly timers: Timers;
  readonly engine: EngineBehaviour;
  readonly index: number;
  readonly model: string;
  /** Chooses the next request to admit; by default from the group's queue. */
  readonly take?: (group: EngineGroup) => EngineRequest | undefined;
}

/**
 * Runs passes: reads admitted prompts in pieces between the steps of responses,
 * and sends one event of each response at the end of a pass.
 */
export class EngineGroup {
  readonly index: number;
  readonly model: string;
  /** Multiplier of all times, beside the model's pace. */
  slowdown = 1;
  /** Whether half of the requests fail. */
  failsHalf = false;
  /** Requests that were sent to the group and have not ended. */
  inFlight = 0;
  readonly #deps: EngineGroupDependencies;
  readonly #pace: number;
  readonly #queue: EngineRequest[] = [];
  readonly #cancelled = new Set<EngineRequest>();
  #running: RunningRequest[] = [];
  #passEndsAt: number | undefined;
  #isLost = false;

  constructor(deps: EngineGroupDependencies) {
    this.#deps = deps;
    this.index = deps.index;
    this.model = deps.model;
    const { models } = deps.engine.spec;
    this.#pace = models.find((m) => m.name === deps.model)?.pace ?? 1;
  }

  get isLost(): boolean {
    return this.#isLost;
  }

  /** Whether no pass runs. */
  get isIdle(): boolean {
    return this.#passEndsAt === undefined;
  }

  /** When the next pass can begin. */
  get nextPassAt(): number {
    return this.#passEndsAt ?? this.#deps.timers.now();
  }

  get runningCount(): number {
    return this.#running.length;
  }

  /** When the next event of a running request is needed. */
  get neededAt(): number {
    return this.#running.reduce(
      (min, { request }) => Math.min(min, request.neededAt),
      Infinity,
    );
  }

  /** Queues a request by its priority and arrival. */
  submit(request: EngineRequest): void {
    const at = this.#queue.findIndex((r) => r.priority > request.priority);
    this.#queue.splice(at < 0 ? this.#queue.length : at, 0, request);
    this.wake();
  }

  /** Stops a request; its slot is free from the next pass. */
  cancel(request: EngineRequest): void {
    const at = this.#queue.indexOf(request);
    if (at >= 0) this.#queue.splice(at, 1);
    else this.#cancelled.add(request);
  }

  /** Falls silent, and resets all connections after a time. */
  lose(): void {
    this.#isLost = true;
    this.#deps.timers.after(this.#deps.engine.stallMs, () => {
      const requests = this.#running.map(({ request }) => request);
      for (const request of [...requests, ...this.#queue]) request.onLost();
    });
  }

  /** Begins a pass unless one is running. */
  wake(): void {
    if (this.isIdle && !this.#isLost) this.#startPass();
  }

  /** Time until so many more tokens are read and their first event is sent. */
  firstEventMs(moreTokens: number): number {
    let unread = moreTokens;
    for (const { unreadTokens } of this.#running) unread += unreadTokens;
    const steps = Math.max(
      this.#stepCount(),
      Math.ceil(unread / this.#deps.engine.chunk),
    );
    return steps * this.#stepMs() + this.#readMs(unread, moreTokens / 2);
  }

  #startPass(): void {
    const { timers, engine } = this.#deps;
    this.#dropCancelled();
    while (this.#running.length < engine.spec.slots) {
      const request = this.#deps.take === undefined
        ? this.#queue.shift()
        : this.#deps.take(this);
      if (request === undefined) break;
      this.#running.push({
        request,
        unreadTokens: request.promptTokens,
        contextTokens: 0,
      });
    }
    if (this.#running.length === 0) return;
    let passMs = 0;
    const steps = this.#stepCount();
    const stepMs = this.#stepMs();
    for (let step = 0; step < steps; step++) passMs += stepMs + this.#read();
    this.#passEndsAt = timers.now() + passMs;
    timers.after(passMs, () => this.#endPass());
  }

  #endPass(): void {
    if (this.#isLost) return;
    this.#dropCancelled();
    const ended: EngineRequest[] = [];
    for (const entry of this.#running) {
      if (entry.unreadTokens > 0) continue;
      entry.contextTokens += this.#deps.engine.spec.stride;
      entry.request.events -= 1;
      entry.request.onEvent();
      if (entry.request.events <= 0) ended.push(entry.request);
    }
    this.#running = this.#running.filter(({ request }) => request.events > 0);
    for (const request of ended) request.onEnd();
    this.#passEndsAt = undefined;
    this.#startPass();
  }

  #dropCancelled(): void {
    if (this.#cancelled.size === 0) return;
    this.#running = this.#running.filter(({ request }) =>
      !this.#cancelled.has(request)
    );
    this.#cancelled.clear();
  }

  /** Reads at most a chunk in order of admission; returns the time it takes. */
  #read(): number {
    let left = this.#deps.engine.chunk;
    let ms = 0;
    for (const entry of this.#running) {
      const tokens = Math.min(left, entry.unreadTokens);
      if (tokens === 0) continue;
      left -= tokens;
      ms += this.#readMs(tokens, entry.contextTokens + tokens / 2);
      entry.unreadTokens -= tokens;
      entry.contextTokens += tokens;
    }
    return ms;
  }

  #readMs(tokens: number, meanContext: number): number {
    const { spec, pairsMsPerMillion } = this.#deps.engine;
    const pairsMs = tokens * meanContext / 1_000_000 * pairsMsPerMillion;
    const readMs = tokens / spec.prefillTokensPerSecond * 1_000;
    return (readMs + pairsMs) * this.#pace * this.slowdown;
  }

  /** A pass without responses to write reads for one step only. */
  #stepCount(): number {
    const hasWriter = this.#running.some(({ unreadTokens }) =>
      unreadTokens === 0
    );
    return hasWriter ? this.#deps.engine.spec.stride : 1;
  }

  #stepMs(): number {
    const { spec } = this.#deps.engine;
    let ms = spec.stepMs;
    for (const { unreadTokens, contextTokens } of this.#running) {
      if (unreadTokens > 0) continue;
      ms += spec.perSequenceMs +
        contextTokens / 1_000 * spec.contextMsPerThousand;
    }
    return ms * this.#pace * this.slowdown;
  }
}
