/**
 * Where one request has failed, and what it therefore avoids.
 *
 * @module
 */
import type { Timers } from "../../base/timers.ts";
import type { UpstreamEntry } from "../routing/upstream_entry.ts";

/**
 * How long a request that broke stays out of the fabric domain: the loss of a
 * whole domain must not count as two crashes.
 */
const DOMAIN_EXCLUSION_MS = 3_000;

/** Keeps the failures of one request. */
export class FailureHistory {
  readonly #timers: Timers;
  readonly #failedUpstreams = new Set<string>();
  /** Fabric domains in which the request broke, with the time. */
  readonly #failedDomains = new Map<string, number>();
  readonly #lines: string[] = [];

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  /** One line for each failure, for the caller. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  /** The request failed on an upstream. */
  recordFailure({ upstream }: UpstreamEntry, reason: string): void {
    this.#lines.push(`${upstream.id}: ${reason}`);
    this.#failedUpstreams.add(upstream.id);
  }

  /** The upstream went away under the request. */
  recordLoss(entry: UpstreamEntry, detail: string): void {
    this.recordFailure(entry, `broken, ${detail}`);
    const { upstream } = entry;
    if (upstream.kind !== "group") return;
    this.#failedDomains.set(upstream.fabricDomain, this.#timers.now());
  }

  /** Whether the request should not be sent to an upstream. */
  excludes({ upstream }: UpstreamEntry): boolean {
    if (this.#failedUpstreams.has(upstream.id)) return true;
    const failedAt = this.#failedDomains.get(upstream.fabricDomain);
    return failedAt !== undefined &&
      this.#timers.now() - failedAt < DOMAIN_EXCLUSION_MS;
  }
}
