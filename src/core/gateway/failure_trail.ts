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
const DOMAIN_AVOID_MS = 3_000;

/** Keeps the failures of one request. */
export class FailureTrail {
  readonly #timers: Timers;
  readonly #failedOn = new Set<string>();
  /** Fabric domains in which the request broke, with the time. */
  readonly #brokenDomains = new Map<string, number>();
  readonly #lines: string[] = [];

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  /** One line for each failure, for the caller. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  /** The request failed on an upstream. */
  failed({ upstream }: UpstreamEntry, why: string): void {
    this.#lines.push(`${upstream.id}: ${why}`);
    this.#failedOn.add(upstream.id);
  }

  /** The upstream went away under the request. */
  broke(entry: UpstreamEntry, detail: string): void {
    this.failed(entry, `broken, ${detail}`);
    const { upstream } = entry;
    if (upstream.kind !== "group") return;
    this.#brokenDomains.set(upstream.fabricDomain, this.#timers.now());
  }

  /** Whether the request should not be sent to an upstream. */
  avoids({ upstream }: UpstreamEntry): boolean {
    if (this.#failedOn.has(upstream.id)) return true;
    const brokenAt = this.#brokenDomains.get(upstream.fabricDomain);
    return brokenAt !== undefined &&
      this.#timers.now() - brokenAt < DOMAIN_AVOID_MS;
  }
}
