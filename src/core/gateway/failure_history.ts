/**
 * The failures of one request and the upstreams excluded because of them.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { UpstreamEntry } from "../routing/upstream_entry.ts";

/**
 * How long a request whose upstream crashed is not sent to another group in the
 * same fabric domain, so that an outage of the domain doesn't count as two crashes
 * caused by the request.
 */
const DOMAIN_EXCLUSION_MS = 3_000;

/** Records the failures of one request. */
export class FailureHistory {
  readonly #timers: Timers;
  readonly #failedUpstreams = new Set<string>();
  /**
   * Fabric domains in which a group crashed during the request, with the time of
   * the last crash.
   */
  readonly #crashedDomains = new Map<string, number>();
  readonly #lines: string[] = [];

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  /** One line per failure, for the caller. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  /** Records a failure on an upstream. */
  recordFailure({ upstream }: UpstreamEntry, reason: string): void {
    this.#lines.push(`${upstream.id}: ${reason}`);
    this.#failedUpstreams.add(upstream.id);
  }

  /** Records that the upstream crashed while it ran the request. */
  recordCrash(entry: UpstreamEntry, detail: string): void {
    this.recordFailure(entry, `broken, ${detail}`);
    const { upstream } = entry;
    if (upstream.kind !== "group") return;
    this.#crashedDomains.set(upstream.fabricDomain, this.#timers.now());
  }

  /** Whether the request must not be sent to an upstream. */
  excludes({ upstream }: UpstreamEntry): boolean {
    if (this.#failedUpstreams.has(upstream.id)) return true;
    const crashedAt = this.#crashedDomains.get(upstream.fabricDomain);
    return crashedAt !== undefined &&
      this.#timers.now() - crashedAt < DOMAIN_EXCLUSION_MS;
  }
}
