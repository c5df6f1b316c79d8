/**
 * Counts breaches of the ten promises of docs/DESIGN.md from what engines,
 * services, the store and callers observed.
 *
 * @module
 */
import { parseDomainRecord } from "../core/configuration/parse.ts";
import { DOMAIN_PREFIX } from "../core/configuration/store_keys.ts";
import type { JournalEvent } from "../standins/sim/journal.ts";
import type { DomainRecord } from "../world/replica_group.ts";
import type { SentRequest, SimulatedCallers } from "./callers.ts";
import { expectedResponse, hasCorrectResponse } from "./callers.ts";
import type { Cluster, OperatorChange } from "./cluster.ts";

/** Maximum time until the loss of a group's member is detected. */
export const DETECTION_BOUND_MS = 2_000;
/**
 * Maximum time until a change is in force: an accepted change of the
 * configuration, a zone taken out of service, or an upstream that starts to
 * leave. The requirements say "a few seconds".
 */
export const IN_FORCE_BOUND_MS = 5_000;
const SAMPLE_INTERVAL_MS = 100;

/**
 * Number of a promise in the table of docs/DESIGN.md. The checker checks that:
 *
 * 1. only groups with all members run requests, except that a lost member may go
 *    undetected for `DETECTION_BOUND_MS`;
 * 2. a host is in one group only;
 * 3. a group that warms up for the first time stays within its capacity;
 * 4. a zone out of service receives no requests after `IN_FORCE_BOUND_MS`;
 * 5. each request ends, and a response is complete and correct;
 * 6. a request that was refused as not run did not run;
 * 7. an order runs at most once;
 * 8. a leaving host receives no requests after `IN_FORCE_BOUND_MS`;
 * 9. a graceful shutdown disconnects no caller;
 * 10. gateways that accept requests have each accepted change in time, and no
 *     gateway returns to an older revision.
 */
export type PromiseNumber = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8 | 9 | 10;

/** A breach of a promise, with what was observed. */
export interface Breach {
  readonly promise: PromiseNumber;
  /** Virtual time of the breach, in milliseconds. */
  readonly at: number;
  readonly detail: string;
}

/** Period in which a zone was out of service. */
interface ZoneOutage {
  readonly zone: string;
  readonly from: number;
  readonly to: number;
}

/** Checks some promises during a run, and the others from records at its end. */
export class Checker {
  readonly breaches: Breach[] = [];
  readonly #cluster: Cluster;
  readonly #lastRevisions = new Map<string, number>();
  readonly #shutdowns: Array<{ incarnation: string; at: number }> = [];

  readonly #inForceBoundMs: number;

  /**
   * `inForceBoundMs` is the maximum time from the acceptance of a change until
   * every gateway that accepts requests has it; 0 allows no delay.
   */
  constructor(cluster: Cluster, inForceBoundMs = IN_FORCE_BOUND_MS) {
    this.#cluster = cluster;
    this.#inForceBoundMs = inForceBoundMs;
    cluster.timers.subscribe(SAMPLE_INTERVAL_MS, () => this.#sample());
    cluster.store.state.watch({
      prefix: DOMAIN_PREFIX,
      onEntry: (entry) => this.#checkDomainRecord(entry.value),
    });
  }

  /** Records that a gateway's graceful shutdown has ended. */
  recordShutdown(incarnation: string): void {
    const at = this.#cluster.timers.now();
    this.#shutdowns.push({ incarnation, at });
  }

  /** Checks everything that was recorded during the run. */
  finish(callers: SimulatedCallers): void {
    for (const event of this.#cluster.journal) this.#checkEvent(event);
    const starts = this.#startsByRequest();
    for (const request of callers.requests) this.#checkRequest(request, starts);
    this.#checkOrders();
  }

  /** Returns the number of breaches of each promise. */
  counts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (let promise = 1; promise <= 10; promise++) counts[promise] = 0;
    for (const breach of this.breaches) counts[breach.promise] += 1;
    return counts;
  }

  #recordBreach(promise: PromiseNumber, at: number, detail: string): void {
    this.breaches.push({ promise, at, detail });
  }

  #checkEvent(event: JournalEvent): void {
    const { at } = event;
    if (event.kind === "loaded_while_in_group") {
      this.#recordBreach(
        2,
        at,
        `${event.hostId} loaded ${event.groupId} while in another group`,
      );
    }
    if (event.kind === "request_completed" && !event.isComplete) {
      this.#recordBreach(
        1,
        at,
        `${event.hostId} completed a request while a member was missing`,
      );
    }
    if (event.kind === "order_run") {
      this.#checkEligibility(event, at);
    }
    if (event.kind !== "request_started") return;
    this.#checkEligibility(event, at);
    if (!event.wasComplete) {
      this.#recordBreach(
        1,
        at,
        `${event.groupId} received a request before it was formed`,
      );
    }
    if (event.incompleteForMs > DETECTION_BOUND_MS) {
      this.#recordBreach(
        1,
        at,
        `${event.groupId} received a request ${event.incompleteForMs} ms after it lost a member`,
      );
    }
    // Later warm-ups don't count: gateways detect that a warm engine has turned
    // cold only from a late first byte.
    if (event.isFirstWarmUp && event.running > event.maxRunning) {
      this.#recordBreach(
        3,
        at,
        `${event.groupId} ran ${event.running} requests with a capacity of ${event.maxRunning}`,
      );
    }
  }

  /**
   * Checks that a request does not start in a zone that is out of service, or on
   * a host that is leaving, once `IN_FORCE_BOUND_MS` have passed.
   */
  #checkEligibility(
    event: { hostId: string; availabilityZone: string; leavingForMs: number },
    at: number,
  ): void {
    const outage = this.#zoneOutages().find((o) =>
      o.zone === event.availabilityZone && at > o.from + IN_FORCE_BOUND_MS &&
      at < o.to
    );
    if (outage !== undefined) {
      this.#recordBreach(
        4,
        at,
        `${event.hostId} received a request ${
          at - outage.from
        } ms after its zone was taken out`,
      );
    }
    if (event.leavingForMs > IN_FORCE_BOUND_MS) {
      this.#recordBreach(
        8,
        at,
        `${event.hostId} received a request ${event.leavingForMs} ms after it began to leave`,
      );
    }
  }

  #zoneOutages(): ZoneOutage[] {
    this.#outages ??= findOutages(this.#cluster);
    return this.#outages;
  }
  #outages: ZoneOutage[] | undefined;

  /** Returns the starts of each request's attempts, by request id. */
  #startsByRequest(): Map<string, JournalEvent[]> {
    const starts = new Map<string, JournalEvent[]>();
    for (const event of this.#cluster.journal) {
      if (event.kind !== "request_started" && event.kind !== "order_run") {
        continue;
      }
      // An attempt's id is its request's id with the attempt's number appended.
      const requestId = event.attemptId.replace(/-\d+$/, "");
      const list = starts.get(requestId) ?? [];
      list.push(event);
      starts.set(requestId, list);
    }
    return starts;
  }

  #checkRequest(
    request: SentRequest,
    starts: ReadonlyMap<string, readonly JournalEvent[]>,
  ): void {
    const { requestId, sentAt, problem, endedAt } = request;
    if (endedAt === undefined) {
      return this.#recordBreach(5, sentAt, `${requestId} got no response`);
    }
    const hasResponse = problem === undefined && !request.disconnected;
    if (hasResponse && !hasCorrectResponse(request, this.#cluster)) {
      const expected = expectedResponse(request, this.#cluster).length;
      this.#recordBreach(
        5,
        endedAt,
        `${requestId} got ${request.text.length} of ${expected} characters, or wrong ones`,
      );
    }
    if (problem?.notRun && starts.has(requestId)) {
      this.#recordBreach(
        6,
        endedAt,
        `${requestId} was refused as not run, but ran`,
      );
    }
    const shutdown = this.#shutdowns.find((s) =>
      s.incarnation === request.incarnation
    );
    if (
      request.disconnected && shutdown !== undefined && sentAt < shutdown.at
    ) {
      this.#recordBreach(
        9,
        shutdown.at,
        `${requestId} was disconnected by a shutdown`,
      );
    }
  }

  #checkOrders(): void {
    const runs = new Map<string, number>();
    for (const event of this.#cluster.journal) {
      if (event.kind !== "order_run") continue;
      const count = (runs.get(event.idempotencyKey) ?? 0) + 1;
      runs.set(event.idempotencyKey, count);
      if (count > 1) {
        this.#recordBreach(
          7,
          event.at,
          `${event.idempotencyKey} ran ${count} times`,
        );
      }
    }
  }

  /**
   * Checks that each gateway that accepts requests has every change accepted
   * more than `inForceBoundMs` ago, and that no gateway's revision decreases.
   */
  #sample(): void {
    const now = this.#cluster.timers.now();
    let requiredRevision = 0;
    for (const change of this.#cluster.changes) {
      if (change.acceptedAt === undefined || change.revision === undefined) {
        continue;
      }
      if (now - change.acceptedAt > this.#inForceBoundMs) {
        requiredRevision = Math.max(requiredRevision, change.revision);
      }
    }
    for (const { member, process, gateway } of this.#cluster.gateways) {
      if (process.state !== "up") continue;
      const { revision } = gateway.cfg;
      const previousRevision = this.#lastRevisions.get(member.incarnation) ?? 0;
      this.#lastRevisions.set(member.incarnation, revision);
      if (revision < previousRevision) {
        this.#recordBreach(
          10,
          now,
          `${member.id} went back from revision ${previousRevision} to ${revision}`,
        );
      }
      const isServing = gateway.notReadyReason === undefined;
      if (isServing && revision < requiredRevision) {
        this.#recordBreach(
          10,
          now,
          `${member.id} accepts requests at revision ${revision}, but ${requiredRevision} must be in force`,
        );
      }
    }
  }

  #checkDomainRecord(value: string): void {
    const record = parseDomainRecord(value);
    if (record === undefined) return;
    const host = firstSharedHost(record);
    if (host === undefined) return;
    this.#recordBreach(
      2,
      this.#cluster.timers.now(),
      `${host} is in two groups`,
    );
  }
}

/** Returns the first host that is a member of two groups. */
function firstSharedHost(record: DomainRecord): string | undefined {
  const seen = new Set<string>();
  for (const group of record.groups) {
    for (const { hostId } of group.members) {
      if (seen.has(hostId)) return hostId;
      seen.add(hostId);
    }
  }
  return undefined;
}

/**
 * Finds the periods in which zones were out of service: from the acceptance of
 * the change that takes a zone out to the submission of the next change that
 * returns it to service. Concurrent changes are ordered by revision, not by the
 * time of submission.
 */
function findOutages(cluster: Cluster): ZoneOutage[] {
  const outages: ZoneOutage[] = [];
  for (const change of cluster.changes) {
    const { action, acceptedAt, revision = 0 } = change;
    if (action.kind !== "set_zone" || acceptedAt === undefined) continue;
    const zoneReturn = nextZoneReturn(cluster, action.zone, revision);
    if (action.state === "out") {
      const to = zoneReturn?.submittedAt ?? Infinity;
      outages.push({ zone: action.zone, from: acceptedAt, to });
    }
  }
  return outages;
}

/** Returns the first change after a revision that puts the zone in service. */
function nextZoneReturn(
  cluster: Cluster,
  zone: string,
  afterRevision: number,
): OperatorChange | undefined {
  return cluster.changes
    .filter(({ action, revision = 0 }) =>
      action.kind === "set_zone" && action.zone === zone &&
      action.state === "in" && revision > afterRevision
    )
    .sort((a, b) => (a.revision ?? 0) - (b.revision ?? 0))[0];
}
