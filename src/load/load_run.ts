/**
 * Load over real sockets, from callers that look up addresses and check responses.
 *
 * @module
 */
import { build } from "hdr-histogram-js";
import type { Timers } from "../base/timers.ts";
import { sleep } from "../base/timers.ts";
import type { CallerResponse } from "./caller_client.ts";
import { CallerClient } from "./caller_client.ts";

/** Rate, duration and kind of the requests to send. */
export interface LoadOptions {
  /** Caller addresses of some gateways. */
  readonly seeds: readonly string[];
  readonly key: string;
  readonly model: string;
  /** Plain service that receives orders; no orders are sent if absent. */
  readonly service?: string;
  readonly requestsPerS: number;
  readonly durationMs: number;
  readonly callerCount: number;
}

/** Percentiles in milliseconds. */
export interface LoadLatency {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Results of a load run. */
export interface LoadSummary {
  readonly sent: number;
  /** Number of complete responses. */
  readonly whole: number;
  /** Number of responses by HTTP status; 0 stands for failed requests. */
  readonly byStatus: Readonly<Record<string, number>>;
  /** Number of events in complete responses. */
  readonly events: number;
  readonly firstByteMs: LoadLatency;
  readonly totalMs: LoadLatency;
}

/** Share of requests that are orders, if a service is set. */
const ORDER_SHARE = 0.1;
const US_PER_MS = 1_000;

/**
 * Sends requests at a constant rate, regardless of the responses (open loop).
 */
export class LoadRun {
  readonly #timers: Timers;
  readonly #options: LoadOptions;
  readonly #callers: readonly CallerClient[];
  readonly #firstByteUs = build();
  readonly #totalUs = build();
  readonly #byStatus = new Map<number, number>();
  readonly #runId: string;
  #sentCount = 0;
  #completeCount = 0;
  #eventCount = 0;

  constructor(timers: Timers, options: LoadOptions, runId: string) {
    this.#timers = timers;
    this.#options = options;
    this.#runId = runId;
    this.#callers = Array.from(
      { length: options.callerCount },
      () => new CallerClient(options, () => timers.now()),
    );
  }

  /** Sends all requests and waits for the last responses. */
  async run(): Promise<LoadSummary> {
    const { durationMs, requestsPerS } = this.#options;
    const startedAt = this.#timers.now();
    const running: Promise<void>[] = [];
    const total = Math.round(requestsPerS * durationMs / 1000);
    for (let i = 0; i < total; i++) {
      const dueAt = startedAt + i * 1000 / requestsPerS;
      const waitMs = dueAt - this.#timers.now();
      if (waitMs > 0) await sleep(this.#timers, waitMs);
      running.push(this.#sendOne(i));
    }
    await Promise.all(running);
    return this.#summary();
  }

  async #sendOne(index: number): Promise<void> {
    const client = this.#callers[index % this.#callers.length];
    const { model, service } = this.#options;
    this.#sentCount += 1;
    const orderInterval = Math.round(1 / ORDER_SHARE);
    const isOrder = service !== undefined && index % orderInterval === 0;
    const response = isOrder
      ? await client.order(service, `${this.#runId}-${index}`, { index })
      : await client.chat(model, `${this.#runId} ${index}`);
    this.#record(response);
  }

  #record(response: CallerResponse): void {
    const { status, isComplete, events, firstByteMs, totalMs } = response;
    this.#byStatus.set(status, (this.#byStatus.get(status) ?? 0) + 1);
    if (!isComplete) return;
    this.#completeCount += 1;
    this.#eventCount += events;
    this.#firstByteUs.recordValue(Math.round(firstByteMs * US_PER_MS));
    this.#totalUs.recordValue(Math.round(totalMs * US_PER_MS));
  }

  #summary(): LoadSummary {
    const percentiles = (histogram: ReturnType<typeof build>) => ({
      p50: histogram.getValueAtPercentile(50) / US_PER_MS,
      p95: histogram.getValueAtPercentile(95) / US_PER_MS,
      p99: histogram.getValueAtPercentile(99) / US_PER_MS,
    });
    return {
      sent: this.#sentCount,
      whole: this.#completeCount,
      byStatus: Object.fromEntries(this.#byStatus),
      events: this.#eventCount,
      firstByteMs: percentiles(this.#firstByteUs),
      totalMs: percentiles(this.#totalUs),
    };
  }
}
