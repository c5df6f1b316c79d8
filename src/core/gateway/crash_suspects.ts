/**
 * Requests and prompt parts that may crash the upstreams that run them.
 *
 * @module
 */
import type { PartStatuses } from "../gossip/part_statuses.ts";
import {
  mergePartStatuses,
  takePartStatuses,
} from "../gossip/part_statuses.ts";
import { PromptPartTracker } from "../retries/prompt_part_tracker.ts";
import type { Suspect } from "../retries/suspect_request_tracker.ts";
import { SuspectRequestTracker } from "../retries/suspect_request_tracker.ts";
import type { CallerRequest } from "./caller_request.ts";

/** Largest number of suspect requests in one message. */
const MAX_SHARED_SUSPECTS = 200;

/** What a message to a peer says of suspects. */
export interface SuspectStatuses extends PartStatuses {
  readonly suspects: readonly Suspect[];
}

/** Decides which requests are refused, as upstreams crashed on them. */
export class CrashSuspects {
  readonly #requests = new SuspectRequestTracker();
  readonly #promptParts = new PromptPartTracker();
  readonly #mayProbe: () => boolean;

  /**
   * Creates an empty record. `mayProbe` is true for the one gateway that may send
   * a refused prompt part again, to find out whether it is sound by now.
   */
  constructor(mayProbe: () => boolean) {
    this.#mayProbe = mayProbe;
  }

  /** Records the requests in flight on a group that crashed. */
  recordCrash(
    upstreamId: string,
    requests: readonly CallerRequest[],
    now: number,
  ): void {
    const fingerprints = requests.map(({ fingerprint }) => fingerprint);
    this.#requests.recordCrash(upstreamId, fingerprints, now);
    const suspects = requests.map(({ target, promptParts }) => ({
      model: target.name,
      parts: promptParts,
    }));
    this.#promptParts.recordCrash(upstreamId, suspects, now);
  }

  /** Records that a request that was sent at `startedAt` completed. */
  recordCompleted(
    request: CallerRequest,
    startedAt: number,
    now: number,
  ): void {
    this.#requests.clear(request.fingerprint);
    const { target, promptParts } = request;
    this.#promptParts.recordBegun(target.name, promptParts, startedAt, now);
  }

  /** Whether a refused request may run once, to probe its prompt parts. */
  takeProbe({ fingerprint, promptParts }: CallerRequest, now: number): boolean {
    return !this.#requests.isRefused(fingerprint) && this.#mayProbe() &&
      this.#promptParts.takeProbe(promptParts, now);
  }

  /** Whether a request must not run, or not again. */
  isRefused({ fingerprint, promptParts }: CallerRequest): boolean {
    return this.#requests.isRefused(fingerprint) ||
      this.#promptParts.isRefused(promptParts);
  }

  /** Whether a group crashed while it ran the request. */
  isSuspected({ fingerprint }: CallerRequest): boolean {
    return this.#requests.strikes(fingerprint) > 0;
  }

  /** Takes what the next message to peers says. */
  takeStatuses(now: number): SuspectStatuses {
    return {
      suspects: this.#requests.shared(now, MAX_SHARED_SUSPECTS),
      ...takePartStatuses(this.#promptParts, now),
    };
  }

  /** Merges a peer's message. */
  merge(statuses: SuspectStatuses, now: number): void {
    for (const suspect of statuses.suspects) this.#requests.merge(suspect, now);
    mergePartStatuses(this.#promptParts, statuses, now);
  }

  /** Drops outdated records. */
  expire(now: number): void {
    this.#requests.expire(now);
    this.#promptParts.expire(now);
  }
}
