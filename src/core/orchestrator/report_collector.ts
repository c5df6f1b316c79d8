/**
 * Collects the reports that a new leader needs, in order of need.
 *
 * @module
 */
import type { ServingHost } from "../../world/serving_host.ts";

/** Number of report requests in flight. */
const MAX_CONCURRENT_REPORTS = 48;

/** Dependencies of a {@linkcode ReportCollector}. */
export interface ReportCollectorDependencies {
  /** Requests a host's report; resolves when it has arrived or failed. */
  readonly requestReport: (host: ServingHost) => Promise<boolean>;
  /** Called after each report, which may allow further steps. */
  readonly onReport: () => void;
}

/**
 * Requests a report from every host at the start of a term. Until a host's
 * request has completed, the leader leaves the host as it is.
 */
export class ReportCollector {
  readonly #deps: ReportCollectorDependencies;
  /** Ids of hosts whose requests have not completed. */
  readonly #awaited = new Set<string>();
  #queue: ServingHost[] = [];
  #inFlight = 0;

  constructor(deps: ReportCollectorDependencies) {
    this.#deps = deps;
  }

  /** Whether the state of a host is not known yet in this term. */
  isAwaited(hostId: string): boolean {
    return this.#awaited.has(hostId);
  }

  /** Starts a term. Hosts for which `needOf` is lowest are asked first. */
  begin(
    hosts: readonly ServingHost[],
    needOf: (host: ServingHost) => number,
  ): void {
    this.#awaited.clear();
    for (const { id } of hosts) this.#awaited.add(id);
    this.#queue = [...hosts].sort((a, b) => needOf(b) - needOf(a));
    this.#requestNext();
  }

  #requestNext(): void {
    while (this.#inFlight < MAX_CONCURRENT_REPORTS) {
      const host = this.#queue.pop();
      if (host === undefined) return;
      this.#inFlight += 1;
      this.#deps.requestReport(host).then(() => {
        this.#inFlight -= 1;
        this.#awaited.delete(host.id);
        this.#deps.onReport();
        this.#requestNext();
      });
    }
  }
}
