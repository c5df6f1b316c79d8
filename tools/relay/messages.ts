/**
 * Messages between the processes of the relay benchmark.
 *
 * @module
 */

/** Loopback ports of the benchmark. */
export const PORTS = {
  store: 7591,
  hostList: 7592,
  admin: 7593,
  gatewayPeer: 7594,
  gatewayCaller: 7595,
  pipe: 7596,
  /** Port of engine 0; the others have the ports that follow. */
  firstEngine: 7600,
} as const;

/** Key of the benchmark's customer. */
export const BENCH_KEY = "relay-bench-key";
/** Model that the engines serve. */
export const BENCH_MODEL = "stream";

/** Load that one client generates. */
export interface RelayLoad {
  readonly port: number;
  readonly streams: number;
  readonly durationMs: number;
  /** Event rate of each stream; 0 means as fast as the client reads. */
  readonly eventsPerStreamPerS: number;
  /** Events in each response; 0 means until the client disconnects. */
  readonly eventsPerResponse: number;
  /** Events that the engine sends in one write. */
  readonly batch: number;
}

/** Percentiles of a latency, in milliseconds. */
export interface LatencySummary {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Result of one load, as measured by one client. */
export interface RelayResult {
  readonly eventsPerS: number;
  /** From the engine's write of an event to the client's read of it. */
  readonly delayMs: LatencySummary;
  /** From sending a request to receiving its first event. */
  readonly firstEventMs: LatencySummary;
  readonly failed: number;
}
