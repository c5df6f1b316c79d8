/**
 * Callers that load nodes' queues in virtual time, in steps of a millisecond.
 *
 * @module
 */
import { Random } from "../../src/base/random.ts";
import { EngineLatencyModel } from "../../src/core/outlook/engine_latency_model.ts";
import type { Placement, PlacementQuery } from "../../src/core/relay/placer.ts";
import type {
  QueueEntry,
  RequestQueue,
  RequestQueueDependencies,
} from "../../src/core/relay/request_queue.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";
import type { ServiceSpec } from "../../src/world/catalog.ts";

/** A request of a caller, with all its attempts. */
export interface LoadRequest {
  readonly customer: string;
  readonly fingerprint: string;
  readonly promptTokens: number;
  readonly priority: number;
  readonly at: number;
  /** Attempts after the first; a caller that honours its delay makes one. */
  readonly maxRetries: number;
  /** Whether the caller repeats at once, whatever it is told. */
  readonly repeatsAtOnce: boolean;
  attempts: number;
  /** Times at which it was told to return. */
  readonly told: number[];
  firstEventAt: number | undefined;
}

/** What one caller does. */
export type RequestPlan =
  & Pick<LoadRequest, "customer" | "at">
  & Partial<LoadRequest>;

/** The queue, as far as the load uses it. */
export type LoadedQueue = Pick<
  RequestQueue,
  "placeOrEnqueue" | "dispatch"
>;

const GOAL_MS = 200;
const TIMEOUT_MS = 5_000;
const DISPATCH_INTERVAL_MS = 20;

/** Time between reports of the nodes' loads to each other. */
const REPORT_INTERVAL_MS = 100;

interface GroupLoad {
  inFlight: number;
  pendingPromptTokens: number;
}

/** A group's load from each node. */
interface Group {
  readonly byNode: readonly GroupLoad[];
  /** Loads as the nodes last reported them. */
  reported: readonly GroupLoad[];
}

/** Plays callers against a queue and groups that do what their model says. */
export class QueueLoad {
  readonly requests: LoadRequest[] = [];
  /** Number of callers that returned when they were told, by what became of it. */
  readonly returned = { placed: 0, refused: 0 };
  readonly #service: ServiceSpec;
  readonly #latencyModel: EngineLatencyModel;
  readonly #groups: Group[];
  readonly #queues: LoadedQueue[];
  /** Chooses the node of each attempt. */
  readonly #random = new Random(99);
  readonly #events = new Map<number, (() => void)[]>();
  #now = 0;

  constructor(
    groups: number,
    createQueue: (deps: RequestQueueDependencies) => LoadedQueue,
    nodes = 1,
  ) {
    const [service] = exampleCatalog(1).services;
    const { engine } = service;
    const model = engine?.models.find(({ name }) => name === "small");
    if (engine === undefined || model === undefined) {
      throw new Error("No model");
    }
    this.#service = service;
    this.#latencyModel = new EngineLatencyModel(engine, model);
    this.#groups = Array.from({ length: groups }, () => createGroup(nodes));
    this.#queues = Array.from(
      { length: nodes },
      (_, node) => createQueue(this.#dependenciesOf(node)),
    );
  }

  #dependenciesOf(node: number): RequestQueueDependencies {
    return {
      place: (query) => this.#place(query, node),
      costOf: ({ promptTokens }) => ({
        engineMs: this.#engineMs(promptTokens),
        leastMs: this.#latencyModel.firstEventMs(0, 0, promptTokens),
      }),
      rateOf: () => this.#groups.length,
      position: () => ({ size: this.#queues.length, rank: node }),
      onReturned: (result) => this.returned[result] += 1,
    };
  }

  /** Requests of the usual size a second that keep all groups busy. */
  get usualRate(): number {
    return 1_000 * this.#groups.length /
      this.#engineMs(this.#service.engine?.usual.prompt ?? 0);
  }

  /** Adds one request to the load. */
  add(plan: RequestPlan): void {
    const request: LoadRequest = {
      fingerprint: `f${this.requests.length}`,
      promptTokens: 1_115,
      priority: 1,
      maxRetries: 1,
      repeatsAtOnce: false,
      attempts: 0,
      told: [],
      firstEventAt: undefined,
      ...plan,
    };
    this.requests.push(request);
    this.#schedule(request.at, () => this.#attempt(request));
  }

  /** Adds requests of one customer with random gaps. */
  addStream(
    random: Random,
    window: { readonly from: number; readonly to: number },
    perSecond: number,
    plan: (random: Random) => Omit<RequestPlan, "at">,
  ): void {
    let at = window.from;
    while (true) {
      at += -Math.log(1 - random.float()) * 1_000 / perSecond;
      if (at >= window.to) return;
      this.add({ at: Math.floor(at), ...plan(random) });
    }
  }

  /** Plays the load for this time. */
  run(ms: number): void {
    for (; this.#now < ms; this.#now++) {
      for (const event of this.#events.get(this.#now) ?? []) event();
      this.#events.delete(this.#now);
      if (this.#now % REPORT_INTERVAL_MS === 0) {
        for (const group of this.#groups) {
          group.reported = group.byNode.map((load) => ({ ...load }));
        }
      }
      if (this.#now % DISPATCH_INTERVAL_MS !== 0) continue;
      for (const queue of this.#queues) queue.dispatch(this.#now);
    }
  }

  #schedule(at: number, event: () => void): void {
    const time = Math.max(Math.ceil(at), this.#now);
    const events = this.#events.get(time);
    if (events === undefined) this.#events.set(time, [event]);
    else events.push(event);
  }

  #engineMs(promptTokens: number): number {
    const { engine } = this.#service;
    return this.#latencyModel.requestMs(
      promptTokens,
      engine?.usual.answer ?? 0,
    );
  }

  #attempt(request: LoadRequest): void {
    request.attempts += 1;
    const node = this.#random.int(this.#queues.length);
    const arrivedAt = this.#now;
    const now = () => this.#now;
    const entry: QueueEntry = {
      service: this.#service,
      model: "small",
      promptTokens: request.promptTokens,
      get firstByteLimitMs() {
        return GOAL_MS * 0.8 - (now() - arrivedAt);
      },
      gapLimitMs: Infinity,
      excludes: () => false,
      arrivedAt,
      queueDeadline: arrivedAt + GOAL_MS / 8,
      priority: request.priority,
      isRetry: false,
      customer: { name: request.customer },
      fingerprint: request.fingerprint,
      contract: {
        route: { goalMs: GOAL_MS },
        deadline: request.at + TIMEOUT_MS,
      },
      firstByteMs: undefined,
      onPlaced: (placement) =>
        this.#start(request, node, placement.replica.key),
      onNotPlaced: (_, retryAfterMs) => this.#onRefused(request, retryAfterMs),
    };
    this.#queues[node].placeOrEnqueue(entry, this.#now);
  }

  #onRefused(request: LoadRequest, retryAfterMs: number): void {
    request.told.push(this.#now + retryAfterMs);
    if (request.attempts > request.maxRetries) return;
    const remainingMs = request.at + TIMEOUT_MS - this.#now;
    const waitMs = request.repeatsAtOnce
      ? 5
      : Math.min(Math.round(retryAfterMs / 10) * 10, remainingMs / 3);
    this.#schedule(this.#now + waitMs, () => this.#attempt(request));
  }

  #place(
    { promptTokens, firstByteLimitMs }: PlacementQuery,
    node: number,
  ): Placement {
    let best = 0;
    let bestMs = Infinity;
    for (const [index, group] of this.#groups.entries()) {
      const load = sumOf(group.reported, group.byNode, node);
      const ms = this.#firstEventMs(load, promptTokens);
      if (ms >= bestMs) continue;
      best = index;
      bestMs = ms;
    }
    if (bestMs > firstByteLimitMs) return { kind: "full", expectedMs: bestMs };
    const key = String(best);
    return {
      kind: "send",
      expectedMs: bestMs,
      forecast: undefined,
      load: { inFlight: 0, pendingPromptTokens: 0 },
      considered: this.#groups.length,
      replica: {
        key,
        service: this.#service.name,
        model: "small",
        host: {
          id: key,
          service: this.#service.name,
          address: key,
          zone: "zone-0",
          slots: 18,
          draining: false,
          coldLeftMs: 0,
          born: 1,
          domain: "",
          staged: [],
          models: [],
          membership: undefined,
        },
        members: [key],
        isCrossDomain: false,
        hasUnlistedMember: false,
      },
    };
  }

  #firstEventMs(group: GroupLoad, promptTokens: number): number {
    return this.#latencyModel.firstEventMs(
      group.inFlight,
      group.pendingPromptTokens,
      promptTokens,
    );
  }

  #start(request: LoadRequest, node: number, key: string): void {
    const { byNode } = this.#groups[Number(key)];
    const load = byNode[node];
    const { promptTokens } = request;
    const firstAt = this.#now +
      this.#firstEventMs(sumOf(byNode, byNode, node), promptTokens);
    const { slots } = this.#latencyModel;
    const decodeMs = (this.#service.engine?.usual.answer ?? 0) *
      this.#latencyModel.decodeStepMs(slots);
    load.inFlight += 1;
    load.pendingPromptTokens += promptTokens;
    this.#schedule(firstAt, () => {
      load.pendingPromptTokens -= promptTokens;
      request.firstEventAt = this.#now;
    });
    this.#schedule(firstAt + decodeMs, () => {
      load.inFlight -= 1;
      this.#queues[node].dispatch(this.#now);
    });
  }
}

function createGroup(nodes: number): Group {
  const byNode = Array.from(
    { length: nodes },
    () => ({ inFlight: 0, pendingPromptTokens: 0 }),
  );
  return { byNode, reported: byNode };
}

/** Sum of the nodes' loads, that of `node` as it is in `own`. */
function sumOf(
  loads: readonly GroupLoad[],
  own: readonly GroupLoad[],
  node: number,
): GroupLoad {
  const sum = { ...own[node] };
  for (const [other, load] of loads.entries()) {
    if (other === node) continue;
    sum.inFlight += load.inFlight;
    sum.pendingPromptTokens += load.pendingPromptTokens;
  }
  return sum;
}

/** How a set of requests was served. */
export interface Service {
  readonly count: number;
  /** Share with its first event within the goal, from the first attempt. */
  readonly inTime: number;
  /** Share with a first event. */
  readonly served: number;
}

/**
 * Returns how requests were served.
 *
 * @example
 * ```ts
 * serviceOf(load.requests).served; // 0.93
 * ```
 */
export function serviceOf(requests: readonly LoadRequest[]): Service {
  const inTime = requests.filter(({ at, firstEventAt }) =>
    firstEventAt !== undefined && firstEventAt - at <= GOAL_MS
  );
  const served = requests.filter((r) => r.firstEventAt !== undefined);
  return {
    count: requests.length,
    inTime: inTime.length / requests.length,
    served: served.length / requests.length,
  };
}
