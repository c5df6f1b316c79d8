/**
 * A caller that sends one request, repeats it and judges the response.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timers } from "../../src/base/timers.ts";
import type { RelayRun } from "../../src/core/relay/relay_run.ts";
import type {
  Refusal,
  RelayRequest,
  RelayResponse,
} from "../../src/core/relay/relay_request.ts";
import { guaranteesNotRun } from "../../src/core/relay/relay_request.ts";
import { countEvents } from "./engine_client.ts";
import type { LoadNode, Prediction } from "./load_node.ts";
import type { LoadOutcome, LoadResult } from "./load_result.ts";
import { judgeComplete } from "./load_result.ts";
import type { OfferedRequest } from "./load_scenarios.ts";

/** Time until a caller tries again when no node takes its connection. */
const RECONNECT_MS = 200;
const MIN_PATIENCE_MS = 2_000;

/** Dependencies of a {@linkcode LoadCaller}. */
export interface LoadCallerDependencies {
  readonly timers: Timers;
  /** A node that takes connections; undefined if there is none. */
  pickNode(offered: OfferedRequest): LoadNode | undefined;
  /** Requests in flight at a host's group. */
  inFlightOf(hostId: string): number;
  onDone(result: LoadResult): void;
}

/** Keeps to the route's contract, apart from what its request says. */
export class LoadCaller {
  readonly offered: OfferedRequest;
  readonly #deps: LoadCallerDependencies;
  readonly #startedAt: number;
  #node: LoadNode | undefined;
  #run: RelayRun | undefined;
  /** Number of attempts, or of the caller's end. */
  #attempt = 0;
  #retriesLeft: number;
  #eventCount = 0;
  #firstEventMs: number | undefined;
  #lastEventAt: number;
  /** Time of the last event, or of the last attempt if that is later. */
  #patientFrom = 0;
  #longestGapMs = 0;
  #refusedAfterMs: number | undefined;
  #prediction: (Prediction & { readonly inFlight: number }) | undefined;
  #predictedMs: number | undefined;
  #isDone = false;

  constructor(deps: LoadCallerDependencies, offered: OfferedRequest) {
    this.#deps = deps;
    this.offered = offered;
    this.#retriesLeft = offered.retries;
    this.#startedAt = this.#lastEventAt = deps.timers.now();
  }

  /** Sends the request. */
  start(): void {
    const { leavesAfterMs } = this.offered;
    if (leavesAfterMs !== undefined) {
      this.#deps.timers.after(leavesAfterMs, () => this.#giveUp("left"));
    }
    this.#watchPatience();
    this.#send();
  }

  /** The node that has the caller's request. */
  get node(): LoadNode | undefined {
    return this.#node;
  }

  /** Notes what a node expected when it sent the request to a group. */
  onPrediction(prediction: Prediction): void {
    if (this.#firstEventMs !== undefined) return;
    const inFlight = this.#deps.inFlightOf(prediction.hostId);
    this.#prediction = { ...prediction, inFlight };
  }

  /** Called when the caller's node has ended. */
  onNodeEnded(): void {
    this.#retry(0, "failed");
  }

  #send(): void {
    if (this.#isDone) return;
    // A caller that was told when to return is patient until then.
    this.#patientFrom = this.#deps.timers.now();
    this.#attempt += 1;
    this.#node = this.#deps.pickNode(this.offered);
    if (this.#node === undefined) {
      this.#deps.timers.after(RECONNECT_MS, () => this.#send());
      return;
    }
    this.#run = undefined;
    const attempt = this.#attempt;
    const response = this.#createResponse(attempt);
    const run = this.#node.relay.handle(this.#createRequest(), response);
    // It may have been refused, and sent again, while `handle` ran.
    if (this.#attempt === attempt && !this.#isDone) this.#run = run;
  }

  #createRequest(): RelayRequest {
    const { index, kind, customer, part, promptTokens } = this.offered;
    const elapsedMs = this.#deps.timers.now() - this.#startedAt;
    return {
      id: `${index}/${this.#attempt}`,
      method: "POST",
      hostName: "load.example",
      target: `/${kind.name}/${part}`,
      headers: [],
      body: Buffer.from(`request ${index}`),
      apiKey: `key of ${customer}`,
      deadlineMs: kind.timeoutMs - elapsedMs,
      heldMs: 0,
      lastEventId: this.#eventCount > 0 ? String(this.#eventCount) : undefined,
      model: kind.model,
      promptTokens,
      maxTokens: 500,
      promptParts: [part, `own-${index}`],
      expectedTokens: undefined,
    };
  }

  #createResponse(attempt: number): RelayResponse {
    const isCurrent = () => this.#attempt === attempt && !this.#isDone;
    return {
      writeHead() {},
      write: (chunk) => {
        if (isCurrent()) this.#onEvents(countEvents(chunk));
        return this.offered.drainMs === 0;
      },
      end: () => {
        if (isCurrent()) this.#onComplete();
      },
      refuse: (refusal) => {
        if (isCurrent()) this.#onRefused(refusal);
      },
      abort: () => {
        if (isCurrent()) this.#retry(0, "failed");
      },
      onDrain: (callback) => {
        this.#deps.timers.after(this.offered.drainMs, callback);
      },
    };
  }

  #onEvents(count: number): void {
    if (count === 0) return;
    const now = this.#deps.timers.now();
    this.#eventCount += count;
    if (this.#firstEventMs === undefined) {
      this.#firstEventMs = now - this.#startedAt;
      const sentAt = this.#prediction?.sentAt;
      if (sentAt !== undefined) this.#predictedMs = now - sentAt;
    } else {
      const gapMs = now - this.#lastEventAt;
      this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    }
    this.#lastEventAt = now;
    this.#patientFrom = now;
  }

  #onComplete(): void {
    const firstEventMs = this.#firstEventMs ?? Infinity;
    this.#finish(
      judgeComplete(this.offered, firstEventMs, this.#longestGapMs),
    );
  }

  #onRefused({ kind, retryAfterMs }: Refusal): void {
    const isNotRun = guaranteesNotRun(kind);
    if (isNotRun) {
      this.#refusedAfterMs ??= this.#deps.timers.now() - this.#startedAt;
    }
    const outcome = isNotRun && this.#eventCount === 0 ? "refused" : "failed";
    if (kind === "timed_out") return this.#finish(outcome);
    this.#retry(retryAfterMs ?? 0, outcome);
  }

  /** Repeats the request if it may, and ends with the outcome otherwise. */
  #retry(afterMs: number, outcome: LoadOutcome): void {
    if (this.#isDone) return;
    this.#attempt += 1;
    this.#node = undefined;
    if (this.#retriesLeft === 0) return this.#finish(outcome);
    this.#retriesLeft -= 1;
    const { kind, repeatsAtOnce } = this.offered;
    const elapsedMs = this.#deps.timers.now() - this.#startedAt;
    const waitMs = Math.min(afterMs, (kind.timeoutMs - elapsedMs) / 3);
    this.#deps.timers.after(repeatsAtOnce ? 1 : waitMs, () => this.#send());
  }

  /** Gives up after the time limit, or after a pause that is far too long. */
  #watchPatience(): void {
    const { kind } = this.offered;
    const { timers } = this.#deps;
    const patienceMs = Math.max(
      MIN_PATIENCE_MS,
      kind.goalMs * 4,
      kind.gapMs * 8,
    );
    const until = Math.min(
      this.#patientFrom + patienceMs,
      this.#startedAt + kind.timeoutMs,
    );
    timers.after(until - timers.now(), () => {
      if (this.#isDone) return;
      const isOver = timers.now() >= this.#startedAt + kind.timeoutMs ||
        timers.now() >= this.#patientFrom + patienceMs;
      if (isOver) this.#giveUp("failed");
      else this.#watchPatience();
    });
  }

  #giveUp(outcome: LoadOutcome): void {
    if (this.#isDone) return;
    const run = this.#run;
    this.#finish(outcome);
    run?.onCallerDisconnected();
  }

  #finish(outcome: LoadOutcome): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#node = undefined;
    const prediction = this.#prediction;
    this.#deps.onDone({
      offered: this.offered,
      outcome,
      firstEventMs: this.#firstEventMs,
      longestGapMs: this.#longestGapMs,
      refusedAfterMs: this.#refusedAfterMs,
      prediction: prediction === undefined || this.#predictedMs === undefined
        ? undefined
        : {
          expectedMs: prediction.expectedMs,
          actualMs: this.#predictedMs,
          expectedGapMs: prediction.expectedGapMs,
          inFlight: prediction.inFlight,
        },
    });
  }
}
