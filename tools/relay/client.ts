/**
 * A client that reads many streams at once.
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
const US_PER_MS = 1_000;
/** Part of a load that is not counted. */
const SETTLE_SHARE = 0.3;
const timers = new SystemTimers();

/** Waits for loads and answers each with what was seen. */
export function startClient(): Promise<void> {
  process.on("message", async (load: RelayLoad) => {
    process.send?.(await runLoad(load));
  });
  return Promise.resolve();
}

class Counter {
  readonly delay: Histogram = build();
  readonly firstEvent: Histogram = build();
  events = 0;
  failed = 0;
  counting = false;
  stopped = false;
}

async function runLoad(load: RelayLoad): Promise<RelayResult> {
  const agent = new Agent({ connections: load.streams, bodyTimeout: 0 });
  const counter = new Counter();
  for (let i = 0; i < load.streams; i++) startStream(agent, load, counter);
  await sleep(timers, load.durationMs * SETTLE_SHARE);
  counter.counting = true;
  const from = timers.now();
  const before = counter.events;
  await sleep(timers, load.durationMs * (1 - SETTLE_SHARE));
  const seconds = (timers.now() - from) / 1000;
  const events = counter.events - before;
  counter.stopped = true;
  await agent.destroy();
  return {
    eventsPerS: events / seconds,
    delayMs: summary(counter.delay),
    firstEventMs: summary(counter.firstEvent),
    failed: counter.failed,
  };
}

function startStream(agent: Agent, load: RelayLoad, counter: Counter): void {
  if (counter.stopped) return;
  agent.dispatch({
    origin: `http://127.0.0.1:${load.port}`,
    path: "/v1/chat/completions",
    method: "POST",
    headers: { authorization: `Bearer ${BENCH_KEY}` },
    body: JSON.stringify({
      model: BENCH_MODEL,
      stream: true,
      events_per_s: load.eventsPerStreamPerS,
      events: load.eventsPerAnswer,
      batch: load.batch,
      user: Math.random(),
    }),
  }, new StreamReader(counter, () => startStream(agent, load, counter)));
}

/** Counts events by their line ends; times one event of each chunk. */
class StreamReader implements Dispatcher.DispatchHandler {
  readonly #counter: Counter;
  readonly #again: () => void;
  readonly #sentAt = monotonicMs();
  #first = true;

  constructor(counter: Counter, again: () => void) {
    this.#counter = counter;
    this.#again = again;
  }

  onRequestStart(): void {}

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const now = monotonicMs();
    let at = chunk.indexOf(LINE_FEED);
    let lines = 0;
    while (at >= 0) {
      lines += 1;
      at = chunk.indexOf(LINE_FEED, at + 1);
    }
    this.#counter.events += lines / 2;
    if (this.#first) this.#timeFirst(now);
    if (this.#counter.counting) this.#timeDelay(chunk, now);
  }

  onResponseEnd(): void {
    this.#again();
  }

  onResponseError(): void {
    if (this.#counter.stopped) return;
    this.#counter.failed += 1;
    timers.after(50, this.#again);
  }

  #timeFirst(now: number): void {
    this.#first = false;
    this.#counter.firstEvent.recordValue((now - this.#sentAt) * US_PER_MS);
  }

  #timeDelay(chunk: Buffer, now: number): void {
    const at = chunk.indexOf('"t":');
    if (at < 0) return;
    const end = chunk.indexOf(",", at);
    const writtenAt = Number(chunk.toString("latin1", at + 4, end));
    const delay = Math.max(0, now - writtenAt);
    if (Number.isFinite(delay)) {
      this.#counter.delay.recordValue(delay * US_PER_MS);
    }
  }
}

function summary(histogram: Histogram): LatencySummary {
  const at = (p: number) => histogram.getValueAtPercentile(p) / US_PER_MS;
  return { p50: at(50), p95: at(95), p99: at(99) };
}
