/**
 * Client of the relay benchmark, which reads many streams concurrently.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import type { Dispatcher } from "undici";
import { Agent } from "undici";
import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import type { LatencySummary, RelayLoad, RelayResult } from "./messages.ts";
import { BENCH_KEY, BENCH_MODEL } from "./messages.ts";
import { monotonicMs } from "./monotonic.ts";

const LINE_FEED = 0x0a;
const MICROSECONDS_PER_MS = 1_000;
/** Share of a load's duration, at its start, that is not measured. */
const WARM_UP_RATIO = 0.3;
const timers = new SystemTimers();

/** Runs each load that the parent process sends and sends the result back. */
export function startClient(): Promise<void> {
  process.on("message", async (load: RelayLoad) => {
    process.send?.(await runLoad(load));
  });
  return Promise.resolve();
}

/** Results of all streams of a load; the histograms are in microseconds. */
class StreamStatistics {
  readonly delays: Histogram = build();
  readonly firstEventTimes: Histogram = build();
  events = 0;
  failed = 0;
  isMeasuring = false;
  isStopped = false;
}

async function runLoad(load: RelayLoad): Promise<RelayResult> {
  const agent = new Agent({ connections: load.streams, bodyTimeout: 0 });
  const statistics = new StreamStatistics();
  for (let i = 0; i < load.streams; i++) startStream(agent, load, statistics);
  await sleep(timers, load.durationMs * WARM_UP_RATIO);
  statistics.isMeasuring = true;
  const measuredFrom = timers.now();
  const eventsBefore = statistics.events;
  await sleep(timers, load.durationMs * (1 - WARM_UP_RATIO));
  const seconds = (timers.now() - measuredFrom) / 1000;
  const events = statistics.events - eventsBefore;
  statistics.isStopped = true;
  await agent.destroy();
  return {
    eventsPerS: events / seconds,
    delayMs: summarize(statistics.delays),
    firstEventMs: summarize(statistics.firstEventTimes),
    failed: statistics.failed,
  };
}

/** Runs one request after another until the load is stopped. */
function startStream(
  agent: Agent,
  load: RelayLoad,
  statistics: StreamStatistics,
): void {
  if (statistics.isStopped) return;
  agent.dispatch({
    origin: `http://127.0.0.1:${load.port}`,
    path: "/v1/chat/completions",
    method: "POST",
    headers: { authorization: `Bearer ${BENCH_KEY}` },
    body: JSON.stringify({
      model: BENCH_MODEL,
      stream: true,
      events_per_s: load.eventsPerStreamPerS,
      events: load.eventsPerResponse,
      batch: load.batch,
      user: Math.random(),
    }),
  }, new StreamReader(statistics, () => startStream(agent, load, statistics)));
}

/**
 * Counts events by their line feeds, two for each event, and measures the delay
 * of the first event in each chunk.
 */
class StreamReader implements Dispatcher.DispatchHandler {
  readonly #statistics: StreamStatistics;
  readonly #restart: () => void;
  readonly #sentAt = monotonicMs();
  #isFirstChunk = true;

  constructor(statistics: StreamStatistics, restart: () => void) {
    this.#statistics = statistics;
    this.#restart = restart;
  }

  onRequestStart(): void {}

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const now = monotonicMs();
    let lineEnd = chunk.indexOf(LINE_FEED);
    let lines = 0;
    while (lineEnd >= 0) {
      lines += 1;
      lineEnd = chunk.indexOf(LINE_FEED, lineEnd + 1);
    }
    this.#statistics.events += lines / 2;
    if (this.#isFirstChunk) this.#recordFirstEvent(now);
    if (this.#statistics.isMeasuring) this.#recordDelay(chunk, now);
  }

  onResponseEnd(): void {
    this.#restart();
  }

  onResponseError(): void {
    if (this.#statistics.isStopped) return;
    this.#statistics.failed += 1;
    timers.after(50, this.#restart);
  }

  #recordFirstEvent(now: number): void {
    this.#isFirstChunk = false;
    this.#statistics.firstEventTimes.recordValue(
      (now - this.#sentAt) * MICROSECONDS_PER_MS,
    );
  }

  /** Reads `t`, the time at which the engine wrote the chunk's first event. */
  #recordDelay(chunk: Buffer, now: number): void {
    const start = chunk.indexOf('"t":');
    if (start < 0) return;
    const end = chunk.indexOf(",", start);
    const writtenAt = Number(chunk.toString("latin1", start + 4, end));
    const delay = Math.max(0, now - writtenAt);
    if (Number.isFinite(delay)) {
      this.#statistics.delays.recordValue(delay * MICROSECONDS_PER_MS);
    }
  }
}

function summarize(histogram: Histogram): LatencySummary {
  const percentileMs = (p: number) =>
    histogram.getValueAtPercentile(p) / MICROSECONDS_PER_MS;
  return {
    p50: percentileMs(50),
    p95: percentileMs(95),
    p99: percentileMs(99),
  };
}
