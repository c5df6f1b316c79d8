/**
 * The brief's measures over one run.
 *
 * @module
 */
import { answerLength } from "../standins/sim/engine_sim.ts";
import type { Callers, Sending } from "./callers.ts";
import { isWhole } from "./callers.ts";
import type { Cluster } from "./cluster.ts";

const SAMPLE_MS = 500;
const SERIES_STEP_MS = 2_000;
const MS_PER_HOUR = 3_600_000;
/** Service counts as "during the zone change" until this long after its return. */
const AFTER_RETURN_MS = 60_000;

/** Result of one run, as the JSON holds it. */
export interface RunMeasures {
  readonly breaches: Readonly<Record<string, number>>;
  /** Group-seconds lost per hour. */
  readonly groupDowntimeS: number;
  /** Mean accelerators idle while work waits. */
  readonly strandedAccelerators: number;
  /** The same for the best possible grouping of the live hosts. */
  readonly strandedOptimum: number;
  readonly service: number;
  readonly serviceByClass: Readonly<Record<string, number>>;
  readonly zoneChangeService?: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly ordersPlaced: number;
  readonly ordersRecorded: number;
  readonly ordersDuplicated: number;
  readonly upstreamCrashes: number;
  readonly storeCalls: { readonly reads: number; readonly writes: number };
  /** Service over the run. */
  readonly series: readonly ServicePoint[];
}

/** Service of the requests that arrived in one interval. */
export interface ServicePoint {
  /** Start of the interval, in seconds since the load was full. */
  readonly t: number;
  readonly service: number;
}

/** Samples a cluster while it runs. */
export class Meter {
  readonly #cluster: Cluster;
  readonly #startedAt: number;
  #downGroupMs = 0;
  #strandedMs = 0;
  #optimumMs = 0;
  #stoppedAt: number | undefined;

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
    this.#startedAt = cluster.timers.now();
    const timer = cluster.timers.subscribe(SAMPLE_MS, () => {
      if (this.#stoppedAt !== undefined) timer.cancel();
      else this.#sample();
    });
  }

  /** Ends sampling. */
  stop(): void {
    this.#stoppedAt = this.#cluster.timers.now();
  }

  /** Computes the measures once the last answers are in. */
  finish(
    callers: Callers,
    breaches: Readonly<Record<string, number>>,
  ): RunMeasures {
    const cluster = this.#cluster;
    const until = this.#stoppedAt ?? cluster.timers.now();
    const durationMs = until - this.#startedAt;
    const judged = callers.sendings.filter((s) =>
      !s.poisonous && s.sentAt >= this.#startedAt
    );
    const orderRuns = countOrderRuns(cluster);
    const placed = [...callers.orders];
    return {
      breaches,
      groupDowntimeS: this.#downGroupMs / 1000 * MS_PER_HOUR / durationMs,
      strandedAccelerators: this.#strandedMs / durationMs,
      strandedOptimum: this.#optimumMs / durationMs,
      service: share(judged, cluster),
      serviceByClass: shareByClass(judged, cluster),
      zoneChangeService: zoneChangeShare(judged, cluster),
      notRun: judged.filter((s) => s.problem?.notRun).length,
      unknown:
        judged.filter((s) => s.problem?.kind === "outcome_unknown").length,
      ordersPlaced: placed.length,
      ordersRecorded: placed.filter((key) => orderRuns.has(key)).length,
      ordersDuplicated:
        placed.filter((key) => (orderRuns.get(key) ?? 0) > 1).length,
      upstreamCrashes:
        cluster.journal.filter((e) => e.kind === "crashed").length,
      storeCalls: {
        reads: cluster.store.peakReads,
        writes: cluster.store.peakWrites,
      },
      series: serviceSeries(judged, this.#startedAt, cluster),
    };
  }

  #sample(): void {
    const { deployment, gateways } = this.#cluster;
    for (const { name, minReplicas } of deployment.models) {
      const whole = this.#cluster.wholeGroups(name).length;
      this.#downGroupMs += Math.max(0, minReplicas - whole) * SAMPLE_MS;
    }
    const waits = gateways.some((slot) =>
      slot.node.state === "up" && slot.gateway.waiting > 0
    );
    if (!waits) return;
    this.#strandedMs += this.#idleAccelerators() * SAMPLE_MS;
    this.#optimumMs += this.#unusableAccelerators() * SAMPLE_MS;
  }

  /** Accelerators of live hosts that are in no whole group. */
  #idleAccelerators(): number {
    const used = new Set<string>();
    for (const { name } of this.#cluster.deployment.models) {
      for (const leader of this.#cluster.wholeGroups(name)) {
        for (const address of leader.membership?.members ?? []) {
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

  /** Accelerators that no grouping of the live hosts could use. */
  #unusableAccelerators(): number {
    const sizes = this.#cluster.deployment.models.map((m) => m.hostsPerReplica);
    const live = new Map<string, number>();
    for (const host of this.#cluster.hosts) {
      if (this.#cluster.engines.get(host.id)?.alive !== true) continue;
      live.set(host.fabricDomain, (live.get(host.fabricDomain) ?? 0) + 1);
    }
    let hosts = 0;
    for (const count of live.values()) {
      hosts += count - mostUsable(count, sizes);
    }
    return hosts * this.#cluster.deployment.fleet.acceleratorsPerHost;
  }
}

/** Most hosts out of `count` that groups of the given sizes can use. */
function mostUsable(count: number, sizes: readonly number[]): number {
  const reachable = [true];
  for (let n = 1; n <= count; n++) {
    reachable[n] = sizes.some((size) => n >= size && reachable[n - size]);
  }
  return reachable.lastIndexOf(true);
}

function countOrderRuns(cluster: Cluster): Map<string, number> {
  const runs = new Map<string, number>();
  for (const event of cluster.journal) {
    if (event.kind !== "order_run") continue;
    runs.set(event.idempotencyKey, (runs.get(event.idempotencyKey) ?? 0) + 1);
  }
  return runs;
}

/** Whether a request was answered whole and within its class target. */
export function isServed(sending: Sending, cluster: Cluster): boolean {
  if (!isWhole(sending, cluster)) return false;
  const { part, sentAt, firstByteAt = Infinity, endedAt = Infinity } = sending;
  const serviceClass = cluster.deployment.classes
    .find((c) => c.name === part.serviceClass);
  if (serviceClass === undefined) return false;
  if (firstByteAt - sentAt > serviceClass.firstTokenMs) return false;
  if (part.kind === "service") return true;
  const tokens = answerLength(sending.fingerprint, cluster.deployment.profile);
  const perToken = (endedAt - firstByteAt) / tokens;
  return perToken <= serviceClass.betweenTokensMs;
}

function share(sendings: readonly Sending[], cluster: Cluster): number {
  if (sendings.length === 0) return 1;
  const served = sendings.filter((s) => isServed(s, cluster)).length;
  return served / sendings.length;
}

function serviceSeries(
  sendings: readonly Sending[],
  startedAt: number,
  cluster: Cluster,
): ServicePoint[] {
  const buckets = new Map<number, Sending[]>();
  for (const sending of sendings) {
    const bucket = Math.floor((sending.sentAt - startedAt) / SERIES_STEP_MS);
    const list = buckets.get(bucket) ?? [];
    list.push(sending);
    buckets.set(bucket, list);
  }
  return [...buckets].sort(([a], [b]) => a - b).map(([bucket, list]) => ({
    t: bucket * SERIES_STEP_MS / 1000,
    service: share(list, cluster),
  }));
}

function shareByClass(
  sendings: readonly Sending[],
  cluster: Cluster,
): Record<string, number> {
  const result: Record<string, number> = {};
  for (const { name } of cluster.deployment.classes) {
    const own = sendings.filter((s) => s.part.serviceClass === name);
    result[name] = share(own, cluster);
  }
  return result;
}

function zoneChangeShare(
  sendings: readonly Sending[],
  cluster: Cluster,
): number | undefined {
  const times = cluster.changes
    .filter((change) => change.action.kind === "set_zone")
    .map((change) => change.submittedAt);
  if (times.length === 0) return undefined;
  const from = Math.min(...times);
  const to = Math.max(...times) + AFTER_RETURN_MS;
  const during = sendings.filter((s) => s.sentAt >= from && s.sentAt <= to);
  return share(during, cluster);
}
