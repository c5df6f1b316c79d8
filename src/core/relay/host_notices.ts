/**
 * What hosts said of themselves in responses.
 *
 * @module
 */
import { dropOldest } from "../../base/collections.ts";
import type { FleetPosition } from "../fleet/fleet_share.ts";
import { fleetShare } from "../fleet/fleet_share.ts";
import type { Observer } from "../fleet/observer.ts";

/** Window over which a host's rate limit is divided among nodes. */
const WINDOW_MS = 4_000;
/** A rate limit ends if no response, here or at a peer, has named it for this time. */
const NOTICE_TTL_MS = 6_000;
/** Own notices that are older are not sent to peers. */
const SHARE_MS = 1_000;
/** Maximum number of notices in a status, the newest first. */
const MAX_SHARED = 64;
/** Maximum number of hosts with a notice. */
const MAX_HOSTS = 8_192;

/** One run of a host. */
export interface HostRun {
  readonly id: string;
  /** When the host started, as it announces it. */
  readonly born: number;
}

/** The rate limit that one run of a host named, or that it named none. */
export interface RateLimitNotice extends HostRun {
  /** Requests per second from all nodes together; undefined for no limit. */
  readonly perSecond: number | undefined;
  /** Monotonic time of the response, in milliseconds. */
  readonly at: number;
}

interface Entry {
  readonly notice: RateLimitNotice;
  readonly from: Observer;
  /** Times of the requests that this process sent to the host. */
  readonly starts: number[];
}

/**
 * Keeps the rate limits that hosts named in responses, here and at peers, and
 * limits this process to its share of each.
 */
export class HostNotices {
  readonly #position: () => FleetPosition;
  readonly #entries = new Map<string, Entry>();

  constructor(position: () => FleetPosition) {
    this.#position = position;
  }

  /**
   * Records a notice, unless a newer one of the host is known. Returns whether it
   * changes the host's limit.
   */
  record(notice: RateLimitNotice, from: Observer): boolean {
    const known = this.#entries.get(notice.id);
    if (known === undefined && notice.perSecond === undefined) return false;
    if (known !== undefined && !isNewer(notice, known.notice)) return false;
    const isSameRun = known?.notice.born === notice.born;
    const starts = isSameRun ? known.starts : [];
    this.#entries.set(notice.id, { notice, from, starts });
    dropOldest(this.#entries, MAX_HOSTS);
    return known?.notice.perSecond !== notice.perSecond;
  }

  /** Whether a host's rate limit leaves room for a request of this process. */
  allows(host: HostRun, now: number): boolean {
    const entry = this.#entries.get(host.id);
    const limit = this.#limitOf(entry, host, now);
    if (entry === undefined || limit === undefined) return true;
    const starts = recentStarts(entry, now);
    return starts.length < this.#quota(host.id, limit);
  }

  /** Records that this process sent a request to the host. */
  recordStart(host: HostRun, now: number): void {
    const entry = this.#entries.get(host.id);
    if (entry?.notice.born !== host.born) return;
    recentStarts(entry, now).push(now);
  }

  /** Notices of this process for peers, the newest first. */
  shared(now: number): RateLimitNotice[] {
    return [...this.#entries.values()]
      .filter(({ notice, from }) =>
        from === "own" && now - notice.at <= SHARE_MS
      )
      .map(({ notice }) => notice)
      .sort((a, b) => b.at - a.at)
      .slice(0, MAX_SHARED);
  }

  /** Drops outdated notices. */
  expire(now: number): void {
    for (const [id, { notice }] of this.#entries) {
      if (now - notice.at > NOTICE_TTL_MS) this.#entries.delete(id);
    }
  }

  #limitOf(
    entry: Entry | undefined,
    host: HostRun,
    now: number,
  ): number | undefined {
    if (entry === undefined) return undefined;
    const { notice } = entry;
    if (notice.born !== host.born) return undefined;
    return now - notice.at <= NOTICE_TTL_MS ? notice.perSecond : undefined;
  }

  /**
   * Requests that this process may send to the host in one window. The hosts'
   * remainders go to different nodes.
   */
  #quota(hostId: string, perSecond: number): number {
    const { size, rank } = this.#position();
    const total = perSecond * WINDOW_MS / 1_000;
    return fleetShare(total, { size, rank: (rank + hash(hostId)) % size });
  }
}

/** Whether a notice comes from a later run of its host, or later in the same run. */
function isNewer(notice: RateLimitNotice, known: RateLimitNotice): boolean {
  if (notice.born !== known.born) return notice.born > known.born;
  return notice.at > known.at;
}

function recentStarts({ starts }: Entry, now: number): number[] {
  while (starts.length > 0 && starts[0] <= now - WINDOW_MS) starts.shift();
  return starts;
}

/** Small hash that all nodes compute alike. */
function hash(text: string): number {
  let value = 0;
  for (let i = 0; i < text.length; i++) {
    value = (value * 31 + text.charCodeAt(i)) >>> 0;
  }
  return value;
}
