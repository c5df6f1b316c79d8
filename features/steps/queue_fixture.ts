/**
 * One node's queue with room that a test sets.
 *
 * @module
 */
import type { Placement, PlacementQuery } from "../../src/core/relay/placer.ts";
import type { QueueEntry } from "../../src/core/relay/request_queue.ts";
import { RequestQueue } from "../../src/core/relay/request_queue.ts";
import { exampleCatalog } from "../../src/standins/fleet/example_catalog.ts";

/** A request for {@linkcode QueueFixture.add}. */
export interface QueuedRequest {
  readonly name: string;
  readonly customer?: string;
  readonly model?: string;
  readonly promptTokens?: number;
  readonly goalMs?: number;
  readonly waitMs?: number;
  readonly priority?: number;
  readonly firstByteMs?: number;
  readonly fingerprint?: string;
}

const [SERVICE] = exampleCatalog(1).services;
/** Time that a request of one token takes on an idle group. */
const TOKEN_MS = 0.1;
const TIMEOUT_MS = 6_000;

/** Queues requests, and notes which are sent and refused. */
export class QueueFixture {
  now = 1_000;
  /** Engine time of each request. */
  readonly engineMs = 60;
  readonly sent: string[] = [];
  readonly refused: { name: string; retryAfterMs: number }[] = [];
  readonly returned = { placed: 0, refused: 0 };
  /** Number of looks for room. */
  looks = 0;
  /** Whether a replica has room for a request. */
  hasRoom: (query: PlacementQuery) => boolean = () => false;
  readonly queue = new RequestQueue({
    place: (query) => this.#place(query),
    costOf: ({ promptTokens }) => ({
      engineMs: this.engineMs,
      leastMs: promptTokens * TOKEN_MS,
    }),
    rateOf: () => 2,
    position: () => ({ size: 1, rank: 0 }),
    onReturned: (result) => this.returned[result] += 1,
  });

  /** Hands a request to the queue. */
  add(request: QueuedRequest): void {
    const { name, goalMs = 200, waitMs = 50, customer = "customer" } = request;
    const arrivedAt = this.now;
    const now = () => this.now;
    const entry: QueueEntry = {
      service: SERVICE,
      model: request.model ?? "small",
      promptTokens: request.promptTokens ?? 100,
      get firstByteLimitMs() {
        return goalMs * 0.8 - (now() - arrivedAt);
      },
      gapLimitMs: Infinity,
      excludes: () => false,
      arrivedAt,
      queueDeadline: arrivedAt + waitMs,
      priority: request.priority ?? 1,
      isRetry: false,
      customer: { name: customer },
      fingerprint: request.fingerprint ?? name,
      contract: { route: { goalMs }, deadline: arrivedAt + TIMEOUT_MS },
      firstByteMs: request.firstByteMs,
      onPlaced: () => this.sent.push(name),
      onNotPlaced: (_, retryAfterMs) =>
        this.refused.push({ name, retryAfterMs }),
    };
    this.queue.placeOrEnqueue(entry, this.now);
  }

  /** Lets time pass, and dispatches the queue. */
  advance(ms: number): void {
    this.now += ms;
    this.queue.dispatch(this.now);
  }

  #place(query: PlacementQuery): Placement {
    this.looks += 1;
    if (!this.hasRoom(query)) return { kind: "full", expectedMs: 300 };
    const key = query.model ?? "";
    return {
      kind: "send",
      expectedMs: 50,
      forecast: undefined,
      load: { inFlight: 0, pendingPromptTokens: 0 },
      considered: 1,
      replica: {
        key,
        service: SERVICE.name,
        model: query.model,
        host: {
          id: key,
          service: SERVICE.name,
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
}
