/**
 * Counters, histograms and gauges of the node.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { StoreCall } from "../core/fleet/era_checked_store.ts";
import type { DatagramTraffic } from "./metered_datagrams.ts";
import type { EntryAnswer } from "../core/entry/mod.ts";
import type { RelayRun, RunEvent } from "../core/relay/relay_run.ts";

const LATENCY_BUCKETS_S = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 5];
const ERROR_BUCKETS_S = [
  -0.2,
  -0.1,
  -0.05,
  -0.02,
  0.02,
  0.05,
  0.1,
  0.2,
  0.5,
  1,
];
const LOOP_LAG_BUCKETS_S = [0.02, 0.05, 0.1, 0.25, 0.5, 1, 2];

/** Sources of the gauges, read at each scrape. */
export interface NodeGauges {
  readonly inFlight: () => number;
  readonly waiting: () => number;
  /** Number of queued requests of each priority. */
  readonly waitingByPriority: () => ReadonlyMap<number, number>;
  readonly peers: () => number;
  readonly catalogVersion: () => number;
  readonly confirmationAgeMs: () => number;
  readonly hostListAgeMs: () => number;
  readonly isLeader: () => boolean;
  /** Answers for the zones that callers named of late. */
  readonly entry: () => readonly EntryAnswer[];
}

/** Prometheus metrics of the node. */
export class NodeMetrics {
  readonly registry = new Registry();
  readonly #requests: Counter;
  readonly #attempts: Counter;
  readonly #duration: Histogram;
  readonly #firstByte: Histogram;
  readonly #forecastError: Histogram;
  readonly #gapError: Histogram;
  readonly #late: Counter;
  readonly #streamFaults: Counter;
  readonly #storeCalls: Counter;
  readonly #abandonedResponses: Counter;
  readonly #crashes: Counter;
  readonly #quarantinedParts: Counter;
  readonly #unexpectedErrors: Counter;
  readonly #loopLag: Histogram;
  readonly #statusBytes: Counter;
  readonly #rateLimitChanges: Counter;
  readonly #returnedCallers: Counter;
  readonly #startSteps: Gauge;

  constructor(gauges: NodeGauges) {
    const registers = [this.registry];
    this.#requests = new Counter({
      name: "oleander_requests_total",
      help: "Requests that ended, by route and outcome",
      labelNames: ["route", "outcome"],
      registers,
    });
    this.#attempts = new Counter({
      name: "oleander_attempts_total",
      help: "Attempts at upstreams that ended, by outcome",
      labelNames: ["outcome"],
      registers,
    });
    this.#duration = new Histogram({
      name: "oleander_request_seconds",
      help: "Time from arrival to the end",
      labelNames: ["route"],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.#firstByte = new Histogram({
      name: "oleander_first_byte_seconds",
      help: "Time from arrival to the first byte of the answer",
      labelNames: ["route"],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.#forecastError = new Histogram({
      name: "oleander_first_event_forecast_error_seconds",
      help: "Measured minus forecast time to the first event, by model",
      labelNames: ["model"],
      buckets: ERROR_BUCKETS_S,
      registers,
    });
    this.#gapError = new Histogram({
      name: "oleander_gap_forecast_error_seconds",
      help: "Measured minus forecast longest gap of a stream, by model",
      labelNames: ["model"],
      buckets: ERROR_BUCKETS_S,
      registers,
    });
    this.#late = new Counter({
      name: "oleander_late_responses_total",
      help: "Responses that missed their goal, by what was late",
      labelNames: ["route", "cause"],
      registers,
    });
    this.#streamFaults = new Counter({
      name: "oleander_stream_faults_total",
      help: "Attempts that ended as their event stream could not be forwarded",
      labelNames: ["route", "fault"],
      registers,
    });
    this.#storeCalls = new Counter({
      name: "oleander_store_calls_total",
      help: "Calls to the store, by kind and by the prefix that they read",
      labelNames: ["call", "prefix"],
      registers,
    });
    this.#abandonedResponses = new Counter({
      name: "oleander_abandoned_responses_total",
      help: "Responses of hosts whose unneeded rest exceeded a limit",
      registers,
    });
    this.#crashes = new Counter({
      name: "oleander_upstream_crashes_total",
      help: "Resets before the first byte, by whether the upstream crashed",
      labelNames: ["verdict"],
      registers,
    });
    this.#quarantinedParts = new Counter({
      name: "oleander_quarantined_prompt_parts_total",
      help: "Prompt parts refused because upstreams crashed on them",
      registers,
    });
    this.#unexpectedErrors = new Counter({
      name: "oleander_unexpected_errors_total",
      help: "Errors that nothing caught",
      registers,
    });
    this.#loopLag = new Histogram({
      name: "oleander_loop_lag_seconds",
      help: "Lags of the event loop of 10 ms or more",
      buckets: LOOP_LAG_BUCKETS_S,
      registers,
    });
    this.#statusBytes = new Counter({
      name: "oleander_status_bytes_total",
      help: "Bytes of statuses, by direction",
      labelNames: ["direction"],
      registers,
    });
    this.#rateLimitChanges = new Counter({
      name: "oleander_host_limit_changes_total",
      help: "Changes of the rate limits that hosts name in responses",
      registers,
    });
    this.#returnedCallers = new Counter({
      name: "oleander_returned_callers_total",
      help: "Refused callers that returned when they were told, by result",
      labelNames: ["result"],
      registers,
    });
    new Gauge({
      name: "oleander_requests_waiting_by_priority",
      help: "Requests that wait for an upstream, by priority",
      labelNames: ["priority"],
      registers,
      collect() {
        this.reset();
        for (const [priority, count] of gauges.waitingByPriority()) {
          this.set({ priority: String(priority) }, count);
        }
      },
    });
    this.#registerEntryGauges(gauges);
    this.#startSteps = new Gauge({
      name: "oleander_start_step_ms",
      help: "Time from the start of the process to each step of the start",
      labelNames: ["step"],
      registers,
    });
    const gaugeReaders: Record<string, () => number> = {
      oleander_requests_in_flight: gauges.inFlight,
      oleander_requests_waiting: gauges.waiting,
      oleander_peers: gauges.peers,
      oleander_catalog_version: gauges.catalogVersion,
      oleander_catalog_confirmation_age_ms: gauges.confirmationAgeMs,
      oleander_host_list_age_ms: gauges.hostListAgeMs,
      oleander_acting: () => gauges.isLeader() ? 1 : 0,
    };
    for (const [name, read] of Object.entries(gaugeReaders)) {
      new Gauge({
        name,
        help: name.replaceAll("_", " "),
        registers,
        collect() {
          this.set(read());
        },
      });
    }
  }

  #registerEntryGauges({ entry }: NodeGauges): void {
    const registers = [this.registry];
    new Gauge({
      name: "oleander_entry_addresses",
      help: "Addresses in the answer for callers of a zone",
      labelNames: ["caller_zone"],
      registers,
      collect() {
        this.reset();
        for (const { zone, addresses } of entry()) {
          this.set({ caller_zone: zone }, addresses);
        }
      },
    });
    new Gauge({
      name: "oleander_entry_left_out",
      help: "Serving nodes that the answer for a zone lacks, by reason",
      labelNames: ["caller_zone", "reason"],
      registers,
      collect() {
        this.reset();
        for (const { zone, leftOut } of entry()) {
          for (const [reason, count] of Object.entries(leftOut)) {
            this.set({ caller_zone: zone, reason }, count);
          }
        }
      },
    });
  }

  /** Records an attempt or a request that ended; ignores all other events. */
  recordEvent(run: RelayRun, event: RunEvent, elapsedMs: number): void {
    const route = run.contract.route.name;
    const outcome = event.outcome ?? "";
    if (event.event === "attempt_ended") this.#attempts.inc({ outcome });
    const { fault } = event;
    if (fault !== undefined) this.#streamFaults.inc({ route, fault });
    if (event.event !== "ended") return;
    this.#requests.inc({ route, outcome });
    this.#duration.observe({ route }, elapsedMs / 1_000);
  }

  /** Records the time from a request's arrival to the first response byte. */
  recordFirstByte(run: RelayRun, elapsedMs: number): void {
    this.#firstByte.observe(
      { route: run.contract.route.name },
      elapsedMs / 1_000,
    );
  }

  /** Counts a call to the store. */
  recordStoreCall(call: StoreCall, prefix: string): void {
    this.#storeCalls.inc({ call, prefix });
  }

  /** Counts a response that missed its route's goal. */
  recordLate(run: RelayRun, cause: "first_byte" | "gap"): void {
    this.#late.inc({ route: run.contract.route.name, cause });
  }

  /** Records by how much a first event was later than forecast. */
  recordForecastError(model: string, errorMs: number): void {
    this.#forecastError.observe({ model }, errorMs / 1_000);
  }

  /** Records by how much the longest gap of a stream was over the forecast. */
  recordGapError(model: string, errorMs: number): void {
    this.#gapError.observe({ model }, errorMs / 1_000);
  }

  /** Counts a connection that was closed because its response did not end. */
  recordAbandonedResponse(): void {
    this.#abandonedResponses.inc();
  }

  /** Counts resets of an upstream's connections, by whether it crashed. */
  recordCrashVerdict(isCrash: boolean): void {
    this.#crashes.inc({ verdict: isCrash ? "crash" : "single_reset" });
  }

  /** Counts a prompt part whose requests are refused from now on. */
  recordQuarantinedPart(): void {
    this.#quarantinedParts.inc();
  }

  /** Counts an error that nothing caught. */
  recordUnexpectedError(): void {
    this.#unexpectedErrors.inc();
  }

  /** Records a lag of the event loop. */
  recordLoopLag(lagMs: number): void {
    this.#loopLag.observe(lagMs / 1_000);
  }

  /** Counts a change of the rate limit that a host names. */
  recordRateLimitChange(): void {
    this.#rateLimitChanges.inc();
  }

  /** Counts a caller that returned when it was told, by what became of it. */
  recordReturnedCaller(result: "placed" | "refused"): void {
    this.#returnedCallers.inc({ result });
  }

  /** Records the statuses that were exchanged with peers. */
  recordStatusTraffic({ sentBytes, receivedBytes }: DatagramTraffic): void {
    this.#statusBytes.inc({ direction: "sent" }, sentBytes);
    this.#statusBytes.inc({ direction: "received" }, receivedBytes);
  }

  /** Records when a starting process reached a step. */
  recordStartStep(step: string, sinceStartMs: number): void {
    this.#startSteps.set({ step }, sinceStartMs);
  }

  /** Counts a request that was refused on arrival. */
  recordRefusal(outcome: string): void {
    this.#requests.inc({ route: "none", outcome });
  }
}
