/**
 * Metrics of one run, as the requirements define them.
 *
 * @module
 */
import { responseTokenCount } from "../standins/sim/engine_sim.ts";
import type { SentRequest, SimulatedCallers } from "./callers.ts";
import { hasCorrectResponse } from "./callers.ts";
import type { Cluster } from "./cluster.ts";

const SAMPLE_INTERVAL_MS = 500;
const SERIES_INTERVAL_MS = 2_000;
const MS_PER_HOUR = 3_600_000;
/**
 * `zoneChangeService` covers requests until this long after the last change of a
 * zone, which usually returns the zone to service.
 */
const ZONE_RETURN_WINDOW_MS = 60_000;

/** Metrics of one run, as written to the JSON report. */
export interface RunMetrics {
  readonly breaches: Readonly<Record<string, number>>;
  /**
   * Number of ready groups that models lacked to reach their minimum, summed over
   * time; in group-seconds per hour of the run.
   */
  readonly groupDowntimeS: number;
  /**
   * Number of accelerators of live hosts that are in no ready group while
   * requests are queued; mean over the run, with 0 while none is queued.
   */
  readonly strandedAccelerators: number;
  /** `strandedAccelerators` if the live hosts were grouped in the best way. */
  readonly strandedOptimum: number;
  /** Share of requests served in time, see {@linkcode isServed}. */
  readonly service: number;
  readonly serviceByClass: Readonly<Record<string, number>>;
  /** Share of requests served in time around changes of zones. */
  readonly zoneChangeService?: number;
  /** Number of requests refused with the guarantee that they did not run. */
  readonly notRun: number;
  /** Number of requests whose outcome the gateway doesn't know. */
  readonly unknown: number;
  readonly ordersPlaced: number;
  /** Number of orders that ran at least once. */
  readonly ordersRecorded: number;
  /** Number of orders that ran more than once. */
  readonly ordersDuplicated: number;
  readonly upstreamCrashes: number;
  /** Highest numbers of store calls in one second. */
  readonly storeCalls: { readonly reads: number; readonly writes: number };
  /** Share of requests served in time, by interval. */
  readonly series: readonly ServicePoint[];
}

/** Share of one interval's requests that were served in time. */
export interface ServicePoint {
  /** Start of the interval, in seconds since the end of the warm-up. */
  readonly t: number;
  readonly service: number;
}

/** Samples a cluster during a run and computes the run's metrics. */
export class MetricsSampler {
  readonly #cluster: Cluster;
  readonly #startedAt: number;
  #groupDowntimeMs = 0;
  #strandedAcceleratorMs = 0;
  #strandedOptimumMs = 0;
  #stoppedAt: number | undefined;

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
    this.#startedAt = cluster.timers.now();
    const timer = cluster.timers.subscribe(SAMPLE_INTERVAL_MS, () => {
      if (this.#stoppedAt !== undefined) timer.cancel();
      else this.#sample();
    });
  }

  /** Stops sampling; the metrics cover the run up to now. */
  stop(): void {
    this.#stoppedAt = this.#cluster.timers.now();
  }

  /** Computes the metrics; call it after the last responses have arrived. */
  finish(
    callers: SimulatedCallers,
    breaches: Readonly<Record<string, number>>,
  ): RunMetrics {
    const cluster = this.#cluster;
    const endedAt = this.#stoppedAt ?? cluster.timers.now();
    const durationMs = endedAt - this.#startedAt;
    const measuredRequests = callers.requests.filter((r) =>
      !r.poisonous && r.sentAt >= this.#startedAt
    );
    const orderRunCounts = countOrderRuns(cluster);
    const orderKeys = [...callers.orderKeys];
    return {
      breaches,
      groupDowntimeS: this.#groupDowntimeMs / 1000 * MS_PER_HOUR / durationMs,
      strandedAccelerators: this.#strandedAcceleratorMs / durationMs,
      strandedOptimum: this.#strandedOptimumMs / durationMs,
      service: servedShare(measuredRequests, cluster),
      serviceByClass: servedShareByClass(measuredRequests, cluster),
      zoneChangeService: servedShareInZoneChange(measuredRequests, cluster),
      notRun: measuredRequests.filter((r) => r.problem?.notRun).length,
      unknown:
        measuredRequests.filter((r) => r.problem?.kind === "outcome_unknown")
          .length,
      ordersPlaced: orderKeys.length,
      ordersRecorded: orderKeys.filter((key) => orderRunCounts.has(key)).length,
      ordersDuplicated:
        orderKeys.filter((key) => (orderRunCounts.get(key) ?? 0) > 1).length,
      upstreamCrashes:
        cluster.journal.filter((e) => e.kind === "crashed").length,
      storeCalls: {
        reads: cluster.store.peakReads,
        writes: cluster.store.peakWrites,
      },
      series: serviceSeries(measuredRequests, this.#startedAt, cluster),
    };
  }

  #sample(): void {
    const { deployment, gateways } = this.#cluster;
    for (const { name, minReplicas } of deployment.models) {
      const readyGroupCount = this.#cluster.readyGroupHeads(name).length;
      this.#groupDowntimeMs += Math.max(0, minReplicas - readyGroupCount) *
        SAMPLE_INTERVAL_MS;
    }
    const hasWaitingRequests = gateways.some((instance) =>
      instance.process.state === "up" && instance.gateway.waiting > 0
    );
    if (!hasWaitingRequests) return;
    this.#strandedAcceleratorMs += this.#ungroupedAccelerators() *
      SAMPLE_INTERVAL_MS;
    this.#strandedOptimumMs += this.#unusableAccelerators() *
      SAMPLE_INTERVAL_MS;
  }

  /** Counts the accelerators of live hosts that are in no ready group. */
  #ungroupedAccelerators(): number {
    const used = new Set<string>();
    for (const { name } of this.#cluster.deployment.models) {
      for (const head of this.#cluster.readyGroupHeads(name)) {
        for (const address of head.membership?.members ?? []) {
          used.add(address);
        }
      }
    }
    let sum = 0;
    for (const engine of this.#cluster.engines.values()) {
      if (engine.alive && !used.has(engine.address)) {
        sum += this.#cluster.deployment.fleet.acceleratorsPerHost;
      }
    }
    return sum;
  }

  /** Counts the accelerators that no grouping of the live hosts could use. */
  #unusableAccelerators(): number {
    const groupSizes = this.#cluster.deployment.models.map((m) =>
      m.hostsPerReplica
    );
    const liveHostsByDomain = new Map<string, number>();
    for (const host of this.#cluster.hosts) {
      if (this.#cluster.engines.get(host.id)?.alive !== true) continue;
      liveHostsByDomain.set(
        host.fabricDomain,
        (liveHostsByDomain.get(host.fabricDomain) ?? 0) + 1,
      );
    }
    let unusableHosts = 0;
    for (const count of liveHostsByDomain.values()) {
      unusableHosts += count - maxUsableHosts(count, groupSizes);
    }
    return unusableHosts * this.#cluster.deployment.fleet.acceleratorsPerHost;
  }
}

/**
 * Returns the maximum number of hosts, out of `count`, that groups of the given
 * sizes can use.
 */
function maxUsableHosts(count: number, groupSizes: readonly number[]): number {
  // Whether groups can use exactly `n` hosts, by `n`.
  const canFill = [true];
  for (let n = 1; n <= count; n++) {
    canFill[n] = groupSizes.some((size) => n >= size && canFill[n - size]);
  }
  return canFill.lastIndexOf(true);
}

function countOrderRuns(cluster: Cluster): Map<string, number> {
  const runs = new Map<string, number>();
  for (const event of cluster.journal) {
    if (event.kind !== "order_run") continue;
    runs.set(event.idempotencyKey, (runs.get(event.idempotencyKey) ?? 0) + 1);
  }
  return runs;
}

/**
 * Whether the response to a request was correct and met the latency targets of
 * the request's service class.
 */
export function isServed(request: SentRequest, cluster: Cluster): boolean {
  if (!hasCorrectResponse(request, cluster)) return false;
  const { part, sentAt, firstByteAt = Infinity, endedAt = Infinity } = request;
  const serviceClass = cluster.deployment.classes
    .find((c) => c.name === part.serviceClass);
  if (serviceClass === undefined) return false;
  if (firstByteAt - sentAt > serviceClass.firstTokenMs) return false;
  if (part.kind === "service") return true;
  const tokens = responseTokenCount(
    request.fingerprint,
    cluster.deployment.profile,
  );
  const msPerToken = (endedAt - firstByteAt) / tokens;
  return msPerToken <= serviceClass.betweenTokensMs;
}

function servedShare(
  requests: readonly SentRequest[],
  cluster: Cluster,
): number {
  if (requests.length === 0) return 1;
  const served = requests.filter((r) => isServed(r, cluster)).length;
  return served / requests.length;
}

function serviceSeries(
  requests: readonly SentRequest[],
  startedAt: number,
  cluster: Cluster,
): ServicePoint[] {
  const buckets = new Map<number, SentRequest[]>();
  for (const request of requests) {
    const bucket = Math.floor(
      (request.sentAt - startedAt) / SERIES_INTERVAL_MS,
    );
    const list = buckets.get(bucket) ?? [];
    list.push(request);
    buckets.set(bucket, list);
  }
  return [...buckets].sort(([a], [b]) => a - b).map(([bucket, list]) => ({
    t: bucket * SERIES_INTERVAL_MS / 1000,
    service: servedShare(list, cluster),
  }));
}

function servedShareByClass(
  requests: readonly SentRequest[],
  cluster: Cluster,
): Record<string, number> {
  const result: Record<string, number> = {};
  for (const { name } of cluster.deployment.classes) {
    const classRequests = requests.filter((r) => r.part.serviceClass === name);
    result[name] = servedShare(classRequests, cluster);
  }
  return result;
}

function servedShareInZoneChange(
  requests: readonly SentRequest[],
  cluster: Cluster,
): number | undefined {
  const times = cluster.changes
    .filter((change) => change.action.kind === "set_zone")
    .map((change) => change.submittedAt);
  if (times.length === 0) return undefined;
  const from = Math.min(...times);
  const to = Math.max(...times) + ZONE_RETURN_WINDOW_MS;
  const during = requests.filter((r) => r.sentAt >= from && r.sentAt <= to);
  return servedShare(during, cluster);
}
