/**
 * One round in which queued requests for one destination are tried in turn.
 *
 * @module
 */
import type { Placement, PlacementQuery } from "./placer.ts";

/** Maximum number of requests for which a round looks for room in vain. */
const MAX_FAILURES = 16;
/** Failures from which a request must be easier to place than all of them. */
const MANY_FAILURES = 4;
/** Covers every request. */
const NOTHING_FITS = { promptTokens: 0, firstByteLimitMs: Infinity };

/**
 * Share of its time in the queue after which a request that has no room may not
 * be overtaken by smaller ones, which would take the room that becomes free.
 */
const AGED_SHARE = 0.5;

/** A request as a round tries it. */
interface TriedEntry extends PlacementQuery {
  readonly arrivedAt: number;
  readonly queueDeadline: number;
  readonly priority: number;
  readonly isRetry: boolean;
}

/**
 * A request for which no replica had room in this round. A later one that is as
 * large and as urgent has none either.
 */
interface Rejected {
  readonly promptTokens: number;
  readonly firstByteLimitMs: number;
}

/** Looks for room, but not for requests that can't have any. */
export class DispatchRound {
  readonly #place: (query: PlacementQuery) => Placement;
  readonly #now: number;
  readonly #rejected: Rejected[] = [];
  #failures = 0;
  /** Longest wait before the first event that had no room. */
  #mostSlackMs = -Infinity;
  #lastFailure: Placement | undefined;
  /** A request that smaller ones of its priority, or of lower ones, may not overtake. */
  #aged: { readonly priority: number; readonly leastMs: number } | undefined;

  constructor(place: (query: PlacementQuery) => Placement, now: number) {
    this.#place = place;
    this.#now = now;
  }

  /**
   * Places a request whose first event takes `leastMs` on an idle upstream.
   * Returns undefined if it was not tried. One that is overdue is tried even if
   * it overtakes others, as this is its last chance.
   */
  place(
    entry: TriedEntry,
    leastMs: number,
    isOverdue: boolean,
  ): Placement | undefined {
    if (!isOverdue && this.#overtakes(entry, leastMs)) return undefined;
    const slackMs = entry.firstByteLimitMs - leastMs;
    // Other replicas may be excluded for a retry.
    const isTried = entry.isRetry
      ? isOverdue || this.#failures < MAX_FAILURES
      : !this.#isHopeless(entry, slackMs);
    if (!isTried) return isOverdue ? this.#lastFailure : undefined;
    const placement = this.#place(entry);
    if (placement.kind === "send") return placement;
    this.#failures += 1;
    if (!entry.isRetry) {
      this.#recordRejected(entry, slackMs, placement);
      if (!isOverdue && slackMs >= 0 && this.#isAged(entry)) {
        this.#aged ??= { priority: entry.priority, leastMs };
      }
    }
    return placement;
  }

  #overtakes({ priority }: TriedEntry, leastMs: number): boolean {
    return this.#aged !== undefined && priority >= this.#aged.priority &&
      leastMs < this.#aged.leastMs;
  }

  #isAged({ arrivedAt, queueDeadline }: TriedEntry): boolean {
    return this.#now - arrivedAt >= (queueDeadline - arrivedAt) * AGED_SHARE;
  }

  #isHopeless(entry: TriedEntry, slackMs: number): boolean {
    if (this.#lastFailure === undefined) return false;
    if (this.#failures >= MAX_FAILURES) return true;
    if (this.#failures >= MANY_FAILURES && slackMs <= this.#mostSlackMs) {
      return true;
    }
    return this.#rejected.some((rejected) =>
      entry.promptTokens >= rejected.promptTokens &&
      entry.firstByteLimitMs <= rejected.firstByteLimitMs
    );
  }

  #recordRejected(
    { promptTokens, firstByteLimitMs }: TriedEntry,
    slackMs: number,
    placement: Placement,
  ): void {
    this.#lastFailure = placement;
    this.#mostSlackMs = Math.max(this.#mostSlackMs, slackMs);
    this.#rejected.push(
      placement.kind === "none"
        ? NOTHING_FITS
        : { promptTokens, firstByteLimitMs },
    );
  }
}
