/**
 * Differences between the clock of this process and those of its peers.
 *
 * @module
 */
import type { Random } from "../../base/random.ts";
import type { StatusMessage } from "./messages.ts";
import type { ClockTime } from "./node_clock.ts";

/** Differences are measured anew after this time, as clocks drift. */
const WINDOW_MS = 10_000;
/** Maximum number of differences in a status. */
const MAX_SENT_LAGS = 64;

/** Smallest lag of the statuses that arrived in two successive windows. */
interface LagWindow {
  startedAt: number;
  current: number;
  previous: number;
}

/** A lag as a peer measured it. */
interface ReportedLag {
  /** Clock of this process that it was measured by. */
  readonly clock: number;
  readonly lagMs: number;
  /** When the peer created the status that had it, on the peer's clock. */
  readonly createdAt: number;
  readonly receivedAt: number;
}

/** The parts of a status that date it. */
export type DatedStatus = Pick<StatusMessage, "createdAt" | "clockLags">;

/**
 * Dates statuses of peers on the clock of this process, so that no time that a
 * status spends on its way is missed, wherever it waits. A peer measures by how
 * much its clock is ahead of a status of this process as that arrives: the lag.
 * The status was created before it arrived, so a moment on the peer's clock, less
 * the lag, is not later than the same moment on the clock of this process. The
 * smallest lag gives the closest date.
 */
export class PeerClocks {
  /**
   * Lags of the statuses of peers on arrival here, by the peer's clock. If the
   * clock of this process stood still, later lags are smaller and replace them.
   */
  readonly #measured = new Map<number, LagWindow>();
  /** Lags of the statuses of this process on arrival at peers, by the peer's clock. */
  readonly #reported = new Map<number, ReportedLag>();

  /** Records a status of a peer that arrives `now`. */
  record({ createdAt, clockLags }: DatedStatus, now: ClockTime): void {
    if (createdAt === undefined) return;
    this.#measure(createdAt, now.at);
    const own = clockLags.find(([clock]) => clock === now.clock);
    const known = this.#reported.get(createdAt.clock);
    if (own === undefined) return;
    if (known !== undefined && known.createdAt > createdAt.at) return;
    this.#reported.set(createdAt.clock, {
      clock: now.clock,
      lagMs: own[1],
      createdAt: createdAt.at,
      receivedAt: now.at,
    });
  }

  /**
   * Returns the longest time that can have passed since a peer created a status,
   * in milliseconds; undefined if the peer's clock is not known well enough.
   *
   * @example
   * ```ts
   * const elapsedMs = peerClocks.elapsedSince(status, clock.read());
   * if (elapsedMs === undefined) return;
   * ```
   */
  elapsedSince({ createdAt }: DatedStatus, now: ClockTime): number | undefined {
    if (createdAt === undefined) return undefined;
    const lag = this.#reported.get(createdAt.clock);
    if (lag === undefined || lag.clock !== now.clock) return undefined;
    if (now.at - lag.receivedAt > WINDOW_MS) return undefined;
    return now.at - (createdAt.at - lag.lagMs);
  }

  /**
   * Returns measured lags by the peers' clocks, for a status; if there are many, a
   * random part of them.
   */
  lagsToSend(random: Random): StatusMessage["clockLags"] {
    const lags = [...this.#measured].map(([clock, { current, previous }]) =>
      [clock, Math.min(current, previous)] as const
    );
    if (lags.length <= MAX_SENT_LAGS) return lags;
    const start = random.int(lags.length);
    return [...lags.slice(start), ...lags.slice(0, start)]
      .slice(0, MAX_SENT_LAGS);
  }

  #measure(createdAt: ClockTime, now: number): void {
    const lagMs = now - createdAt.at;
    const window = this.#measured.get(createdAt.clock);
    if (window === undefined) {
      this.#expire(now);
      this.#measured.set(createdAt.clock, {
        startedAt: now,
        current: lagMs,
        previous: Infinity,
      });
      return;
    }
    const sinceStartMs = now - window.startedAt;
    if (sinceStartMs > WINDOW_MS) {
      const isOld = sinceStartMs > 2 * WINDOW_MS;
      window.previous = isOld ? Infinity : window.current;
      window.current = Infinity;
      window.startedAt = now;
    }
    window.current = Math.min(window.current, lagMs);
  }

  /** Drops clocks from which nothing arrived for two windows. */
  #expire(now: number): void {
    for (const [clock, { startedAt }] of this.#measured) {
      if (now - startedAt > 2 * WINDOW_MS) this.#measured.delete(clock);
    }
    for (const [clock, { receivedAt }] of this.#reported) {
      if (now - receivedAt > WINDOW_MS) this.#reported.delete(clock);
    }
  }
}
