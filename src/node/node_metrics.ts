/**
 * Counters, histograms and gauges of the node.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { DatagramTraffic } from "./metered_datagrams.ts";
import type { RelayRun, RunEvent } from "../core/relay/relay_run.ts";

const LATENCY_BUCKETS_S = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 5];
const LOOP_LAG_BUCKETS_S = [0.02, 0.05, 0.1, 0.25, 0.5, 1, 2];

/** Sources of the gauges, read at each scrape. */
export interface NodeGauges {
  readonly inFlight: () => number;
  readonly waiting: () => number;
  readonly peers: () => number;
  readonly catalogVersion: () => number;
  readonly confirmationAgeMs: () => number;
  readonly hostListAgeMs: () => number;
  readonly isLeader: () => boolean;
}

/** Prometheus metrics of the node. */
export class NodeMetrics {
  readonly registry = new Registry();
  readonly #requests: Counter;
  readonly #attempts: Counter;
  readonly #duration: Histogram;
  readonly #firstByte: Histogram;
  readonly #abandonedResponses: Counter;
  readonly #crashes: Counter;
  readonly #quarantinedParts: Counter;
  readonly #unexpectedErrors: Counter;
  readonly #loopLag: Histogram;
  readonly #statusBytes: Counter;
  readonly #rateLimitChanges: Counter;
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

  /** Records an attempt or a request that ended; ignores all other events. */
  recordEvent(run: RelayRun, event: RunEvent, elapsedMs: number): void {
    const route = run.contract.route.name;
    const outcome = event.outcome ?? "";
    if (event.event === "attempt_ended") this.#attempts.inc({ outcome });
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
