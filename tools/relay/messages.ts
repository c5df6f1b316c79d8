/**
 * What the processes of the relay benchmark tell each other.
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
  firstEngine: 7600,
} as const;

/** Key of the benchmark's customer. */
export const BENCH_KEY = "relay-bench-key";
/** Model that the engines serve. */
export const BENCH_MODEL = "stream";

/** One load of one client. */
export interface RelayLoad {
  readonly port: number;
  readonly streams: number;
  readonly durationMs: number;
  /** Pace of each stream; 0 sends as fast as it is read. */
  readonly eventsPerStreamPerS: number;
  /** Events of each answer; 0 sends until the client leaves. */
  readonly eventsPerAnswer: number;
  /** Events that the engine writes together. */
  readonly batch: number;
}

/** Percentiles in milliseconds. */
export interface LatencySummary {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** What one client saw. */
export interface RelayResult {
  readonly eventsPerS: number;
  /** From an event's writing at the engine to its reading at the client. */
  readonly delayMs: LatencySummary;
  /** From sending a request to its first event. */
  readonly firstEventMs: LatencySummary;
  readonly failed: number;
}
