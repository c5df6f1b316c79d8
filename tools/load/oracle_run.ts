/**
 * Runs a load against an oracle: one central queue that knows the state of all
 * groups at every moment.
 *
 * @module
 */
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { HOP_MS } from "./engine_client.ts";
import { EngineCluster } from "./engine_cluster.ts";
import type { EngineGroup } from "./engine_group.ts";
import type { LoadResult } from "./load_result.ts";
import type { OfferedRequest } from "./load_scenarios.ts";
import { NODES_GONE_MS } from "./load_scenarios.ts";
import { OracleRequest } from "./oracle_request.ts";
import type { RunSettings } from "./product_run.ts";
import { RUN_OUT_MS } from "./product_run.ts";

/** Share of a group's slots up to which it serves late requests. */
const ROOM_FOR_LATE = 0.6;

/** Which of the requests that can be in time a group admits first. */
export type OracleOrder = "urgent" | "shortest" | "earliest";

const ORDERS: readonly OracleOrder[] = ["urgent", "shortest", "earliest"];

/**
 * Plays a load with each order, and returns the results with the most requests in
 * time.
 *
 * @example
 * ```ts
 * const { inTime } = computeFigures(await runOracle(settings));
 * ```
 */
export async function runOracle(settings: RunSettings): Promise<LoadResult[]> {
  let best: LoadResult[] = [];
  for (const order of ORDERS) {
    const results = await new OracleRun(settings, order).run();
    if (countInTime(results) > countInTime(best)) best = results;
  }
  return best;
}

/** Admits requests at the last moment, where they are served soonest. */
class OracleRun {
  readonly #settings: RunSettings;
  readonly #order: OracleOrder;
  readonly #timers = new VirtualTimers();
  readonly #cluster: EngineCluster;
  readonly #results: LoadResult[] = [];
  /** Requests that a group may admit now. */
  readonly #waiting = new Set<OracleRequest>();
  readonly #groupOf = new Map<OracleRequest, EngineGroup>();
  #othersWokenAt = -1;
  #isClosed = false;

  constructor(settings: RunSettings, order: OracleOrder) {
    this.#settings = settings;
    this.#order = order;
    const { engine, scenario } = settings;
    this.#cluster = new EngineCluster(
      this.#timers,
      engine,
      scenario.faults,
      (group) => this.#take(group),
    );
    this.#cluster.onGroupChanged = (group) => {
      if (group.isLost) this.#moveFrom(group);
      this.#wakeIdle();
    };
  }

  /** Returns one result for each offered request. */
  async run(): Promise<LoadResult[]> {
    const { offered, durationMs, scenario } = this.#settings;
    for (const request of offered) {
      this.#timers.after(request.at, () => this.#offer(request));
    }
    if (scenario.nodesEndAt !== undefined) {
      this.#timers.after(scenario.nodesEndAt, () => this.#close());
    }
    await this.#timers.runUntil(durationMs + RUN_OUT_MS);
    return this.#results;
  }

  #offer(offered: OfferedRequest): void {
    const request = new OracleRequest(
      this.#timers,
      offered,
      (result) => this.#results.push(result),
      () => {},
    );
    const { leavesAfterMs } = offered;
    if (leavesAfterMs !== undefined) {
      this.#timers.after(leavesAfterMs, () => {
        request.finish("left");
        this.#waiting.delete(request);
        this.#groupOf.get(request)?.cancel(request);
      });
    }
    this.#timers.after(offered.kind.timeoutMs, () => {
      if (!request.isDone) this.#groupOf.get(request)?.cancel(request);
      this.#waiting.delete(request);
      request.finish("failed");
    });
    this.#admit(request);
  }

  /** Lets a request wait once the time has passed that each needs to begin. */
  #admit(request: OracleRequest): void {
    const delayMs = HOP_MS.near + this.#settings.engine.startMs;
    this.#timers.after(delayMs, () => {
      if (request.isDone) return;
      this.#waiting.add(request);
      this.#wakeIdle();
      this.#watch(request);
    });
  }

  /** Refuses a request that can't be in time, unless there is room for it. */
  #watch(request: OracleRequest): void {
    const now = this.#timers.now();
    const waitMs = request.neededAt === Infinity ? 0 : request.neededAt - now;
    this.#timers.after(waitMs, () => {
      if (!this.#waiting.has(request)) return;
      const refuse = () => {
        if (this.#waiting.delete(request)) request.finish("refused");
      };
      // A response that has begun waits for room until its caller gives up.
      if (request.hasBegun) return;
      if (this.#isClosed || this.#hasRoom(request)) {
        this.#timers.after(NODES_GONE_MS, refuse);
      } else refuse();
    });
  }

  #hasRoom({ offered }: OracleRequest): boolean {
    return this.#usable(offered.kind.model).some((group) =>
      this.#hasRoomForLate(group)
    );
  }

  #hasRoomForLate(group: EngineGroup): boolean {
    const { slots } = this.#settings.engine.spec;
    return group.runningCount < slots * ROOM_FOR_LATE;
  }

  #usable(model: string): EngineGroup[] {
    return this.#cluster.groups.filter((group) =>
      group.model === model && !group.isLost && !group.failsHalf
    );
  }

  /** The most valuable request that the group should admit to its next pass. */
  #take(group: EngineGroup): OracleRequest | undefined {
    if (this.#isClosed || group.failsHalf) return undefined;
    let best: OracleRequest | undefined;
    let isSkipped = false;
    for (const request of this.#waiting) {
      if (request.offered.kind.model !== group.model) continue;
      if (!this.#fits(request, group)) continue;
      if (!this.#isSoonest(request, group)) {
        isSkipped = true;
        continue;
      }
      if (best === undefined || this.#compare(request, best) < 0) {
        best = request;
      }
    }
    // Another group may be free and no longer the later one.
    if (isSkipped) this.#wakeOthers();
    if (best === undefined) return undefined;
    this.#waiting.delete(best);
    this.#groupOf.set(best, group);
    return best;
  }

  /** Whether the pass would not make a response late that is in time. */
  #fits(request: OracleRequest, group: EngineGroup): boolean {
    const firstEventMs = group.firstEventMs(request.promptTokens);
    if (this.#timers.now() + firstEventMs > group.neededAt) return false;
    return this.#canBeInTime(request) || this.#hasRoomForLate(group);
  }

  #canBeInTime(request: OracleRequest): boolean {
    if (request.neededAt === Infinity) return false;
    return this.#usable(request.offered.kind.model).some((group) =>
      this.#finishAt(request, group) <= request.neededAt
    );
  }

  #finishAt({ promptTokens }: OracleRequest, group: EngineGroup): number {
    return group.nextPassAt + group.firstEventMs(promptTokens);
  }

  #isSoonest(request: OracleRequest, group: EngineGroup): boolean {
    const { slots } = this.#settings.engine.spec;
    const finishAt = this.#timers.now() +
      group.firstEventMs(request.promptTokens);
    return this.#usable(group.model).every((other) =>
      other === group || other.runningCount >= slots ||
      this.#finishAt(request, other) >= finishAt
    );
  }

  /** In time first, then by the order of this run, then shortest first. */
  #compare(a: OracleRequest, b: OracleRequest): number {
    const isLate = (request: OracleRequest) =>
      this.#canBeInTime(request) ? 0 : 1;
    const late = isLate(a) - isLate(b);
    if (late !== 0) return late;
    if (this.#order === "urgent" && a.priority !== b.priority) {
      return a.priority - b.priority;
    }
    if (this.#order === "earliest" && a.neededAt !== b.neededAt) {
      return a.neededAt - b.neededAt;
    }
    return this.#work(a) - this.#work(b);
  }

  /** Engine time that a request needs, beside that of the others. */
  #work({ promptTokens, events }: OracleRequest): number {
    const { spec } = this.#settings.engine;
    const readMs = promptTokens / spec.prefillTokensPerSecond * 1_000;
    return readMs + events * spec.stride * spec.stepMs / spec.slots;
  }

  /** Wakes idle groups once at each time. */
  #wakeOthers(): void {
    const now = this.#timers.now();
    if (this.#othersWokenAt === now) return;
    this.#othersWokenAt = now;
    this.#timers.after(0, () => this.#wakeIdle());
  }

  #wakeIdle(): void {
    if (this.#waiting.size === 0) return;
    for (const group of this.#cluster.groups) group.wake();
  }

  /** Moves the requests of a lost group to others. */
  #moveFrom(group: EngineGroup): void {
    for (const [request, current] of [...this.#groupOf]) {
      if (current !== group) continue;
      this.#groupOf.delete(request);
      group.cancel(request);
      if (!request.isDone) this.#admit(request);
    }
  }

  /** Ends all connections, as the nodes have ended. */
  #close(): void {
    this.#isClosed = true;
    for (const group of this.#cluster.groups) this.#moveFrom(group);
    this.#timers.after(NODES_GONE_MS, () => {
      this.#isClosed = false;
      this.#wakeIdle();
    });
  }
}

function countInTime(results: readonly LoadResult[]): number {
  return results.filter(({ outcome }) => outcome === "in_time").length;
}
