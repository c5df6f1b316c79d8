/**
 * One attempt at a request, and how it can end.
 *
 * @module
 */
import type { RelayHandle, RelayHead } from "../../ports/relay_client.ts";
import type { Replica } from "../fleet/replica.ts";
import type { EngineForecast } from "../outlook/mod.ts";
import type { TotalLoad } from "./load_tracker.ts";
import type { StreamFaultKind } from "../streams/mod.ts";

/** How an attempt ended, for logs and metrics. */
export type AttemptOutcome =
  /** The upstream sent a complete response with a 2xx status. */
  | "answered"
  /** The upstream guarantees that the request has not run. */
  | "refused"
  /** The address belongs to another host. */
  | "wrong_host"
  /** No byte of the request was sent. */
  | "not_sent"
  /** The upstream left, or its group closed, while a connection was opened. */
  | "withheld"
  /** The upstream responded with a status other than 2xx. */
  | "failed_status"
  /** The connection was reset or closed. */
  | "reset"
  /** The response violates the protocol or is incomplete. */
  | "malformed"
  /** The upstream was suspected to be lost, and the attempt was cancelled. */
  | "stalled"
  /** The caller disconnected or the deadline passed. */
  | "cancelled";

/** An attempt in flight. */
export interface RunningAttempt {
  readonly replica: Replica;
  /** Monotonic time at which the request was sent. */
  readonly startedAt: number;
  /** Expected time to the first byte. */
  readonly expectedMs: number;
  /** Forecast of the engine; undefined for a host without one. */
  readonly forecast: EngineForecast | undefined;
  /** Load of all nodes on the replica when it was chosen. */
  readonly load: TotalLoad;
  handle: RelayHandle | undefined;
  head: RelayHead | undefined;
  /** What was wrong with its stream. */
  fault: StreamFaultKind | undefined;
  /** Monotonic time of the first progress. */
  firstProgressAt: number | undefined;
  /** Whether there was progress after the first, or the end of the response. */
  hasContinued: boolean;
  /**
   * Monotonic time of the last progress, or of the end of a pause after it;
   * undefined before the first. A stream makes progress with each new event, any
   * other response with each byte.
   */
  lastProgressAt: number | undefined;
  /** Whether reading is paused until the caller is ready for more bytes. */
  paused: boolean;
}
