/**
 * Exchange of what nodes observe of upstreams, requests and prompt parts.
 *
 * @module
 */
import type { SuspicionTracker } from "../fleet/suspicion_tracker.ts";
import type { PromptPartTracker } from "../retries/prompt_part_tracker.ts";
import type { HostNotices } from "../relay/host_notices.ts";
import type { SuspectRequestTracker } from "../retries/suspect_request_tracker.ts";
import type { StatusMessage } from "./messages.ts";
import { mergePartStatuses, takePartStatuses } from "./part_statuses.ts";

/** Maximum number of suspect requests in a status. */
const MAX_SHARED_STRIKES = 16;
/** Suspicions that were raised or cleared longer ago are not sent to peers. */
const SUSPICION_MAX_AGE_MS = 400;

/** What a status says of a node's observations. */
export type ObservationStatuses = Pick<
  StatusMessage,
  | "suspicions"
  | "cleared"
  | "strikes"
  | "suspectParts"
  | "soundParts"
  | "hostLimits"
>;

/** Dependencies of an {@linkcode ObservationExchange}. */
export interface ObservationExchangeDependencies {
  readonly suspicions: SuspicionTracker;
  readonly suspectRequests: SuspectRequestTracker;
  readonly promptParts: PromptPartTracker;
  readonly hostNotices: HostNotices;
  /**
   * Returns false while received messages may have been queued during a pause of
   * the process.
   */
  readonly isFresh: () => boolean;
}

/** Adds a node's observations to its statuses, and applies those of peers. */
export class ObservationExchange {
  readonly #deps: ObservationExchangeDependencies;

  constructor(deps: ObservationExchangeDependencies) {
    this.#deps = deps;
  }

  /** Takes what the next status says of observations. */
  take(now: number): ObservationStatuses {
    const { suspicions, suspectRequests, promptParts } = this.#deps;
    const since = now - SUSPICION_MAX_AGE_MS;
    return {
      suspicions: suspicions.suspectedSince(since).map((suspicion) => ({
        key: suspicion.key,
        kind: suspicion.kind,
        ageMs: now - suspicion.at,
      })),
      cleared: suspicions.clearedSince(since).map(([key, at]) => [
        key,
        now - at,
      ]),
      strikes: suspectRequests.shared(now, MAX_SHARED_STRIKES),
      ...takePartStatuses(promptParts, now),
      hostLimits: this.#deps.hostNotices.shared(now).map(({ at, ...rest }) => ({
        ...rest,
        ageMs: now - at,
      })),
    };
  }

  /** Applies what a peer's status says of its observations. */
  apply(status: ObservationStatuses, now: number): void {
    const { suspicions, suspectRequests, promptParts, hostNotices } =
      this.#deps;
    for (const { key, kind, ageMs } of status.suspicions) {
      suspicions.record({ key, kind, at: now - ageMs }, "peer");
    }
    for (const [key, ageMs] of status.cleared) {
      suspicions.clear(key, now - ageMs, "peer");
    }
    for (const strike of status.strikes) suspectRequests.merge(strike, now);
    // Ages in messages that were queued during a pause are too small.
    if (!this.#deps.isFresh()) return;
    mergePartStatuses(promptParts, status, now);
    for (const { ageMs, ...rest } of status.hostLimits) {
      hostNotices.record({ ...rest, at: now - ageMs }, "peer");
    }
  }
}
