/**
 * Metrics of the gateway.
 *
 * @module
 */
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import type { CallerRequest } from "../core/gateway/caller_request.ts";
import type { Gateway } from "../core/gateway/gateway.ts";
import type { RequestResult } from "../core/gateway/request_run.ts";
import { isZoneInService } from "../world/configuration.ts";

const FIRST_BYTE_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.75, 1.5, 3, 6, 12];

/** Exposes request counters and gauges of a gateway to Prometheus. */
export class GatewayMetrics {
  readonly registry = new Registry();
  readonly #requests: Counter;
  readonly #requestsInTarget: Counter;
  readonly #firstByteSeconds: Histogram;
  readonly #attempts: Counter;

  constructor(gateway: () => Gateway) {
    const registers = [this.registry];
    collectDefaultMetrics({ register: this.registry });
    this.#requests = new Counter({
      name: "oleander_requests_total",
      help: "Requests that ended, by class and how they ended",
      labelNames: ["class", "result"],
      registers,
    });
    this.#requestsInTarget = new Counter({
      name: "oleander_requests_in_target_total",
      help:
        "Requests answered whole with the first byte within the class target",
      labelNames: ["class"],
      registers,
    });
    this.#firstByteSeconds = new Histogram({
      name: "oleander_first_byte_seconds",
      help: "Time from arrival to the first byte of the answer",
      labelNames: ["class"],
      buckets: FIRST_BYTE_BUCKETS_S,
      registers,
    });
    this.#attempts = new Counter({
      name: "oleander_attempts_total",
      help: "Attempts at upstreams",
      registers,
    });
    addGauges(registers, gateway);
  }

  /** Records the result of a request. */
  observe(request: CallerRequest, result: RequestResult): void {
    const { name, firstTokenMs } = request.serviceClass;
    this.#requests.inc({ class: name, result: result.kind });
    this.#attempts.inc(result.attempts);
    if (result.firstByteMs === undefined) return;
    this.#firstByteSeconds.observe({ class: name }, result.firstByteMs / 1000);
    const inTarget = result.kind === "whole" &&
      result.firstByteMs <= firstTokenMs;
    if (inTarget) this.#requestsInTarget.inc({ class: name });
  }
}

function addGauges(registers: Registry[], gateway: () => Gateway): void {
  new Gauge({
    name: "oleander_requests_in_flight",
    help: "Requests that have not ended",
    registers,
    collect() {
      this.set(gateway().inFlight);
    },
  });
  new Gauge({
    name: "oleander_requests_waiting",
    help: "Requests that wait for an upstream",
    registers,
    collect() {
      this.set(gateway().waiting);
    },
  });
  new Gauge({
    name: "oleander_configuration_revision",
    help: "Revision of the configuration in force",
    registers,
    collect() {
      this.set(gateway().cfg.revision);
    },
  });
  new Gauge({
    name: "oleander_upstreams_open",
    help: "Upstreams that take new work, by model or service and zone",
    labelNames: ["serves", "zone"],
    registers,
    collect() {
      this.reset();
      for (const { upstream } of openEntries(gateway())) {
        this.inc({ serves: upstream.serves, zone: upstream.availabilityZone });
      }
    },
  });
}

function openEntries(gateway: Gateway) {
  const { table, cfg } = gateway;
  return [...table.entries.values()].filter((entry) => {
    const isInService = isZoneInService(cfg, entry.upstream.availabilityZone);
    return entry.closedReason(isInService) === undefined;
  });
}
