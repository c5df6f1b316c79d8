/**
 * The hosts that the store lists, as this process and its peers read them.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timer, Timers } from "../../base/timers.ts";
import type {
  CoordinationEvent,
  CoordinationItem,
  CoordinationStore,
} from "../../ports/coordination_store.ts";
import type { FleetSchema } from "../../ports/fleet_schema.ts";
import type { ServingHost } from "../../world/serving_host.ts";
import type { ClockReading } from "../catalog/confirmation.ts";
import { Confirmation } from "../catalog/confirmation.ts";
import type { FeedTiming } from "./change_feed.ts";
import { ChangeFeed } from "./change_feed.ts";
import type { HostChange } from "./host_changes.ts";
import { HostChanges } from "./host_changes.ts";
import type { HostRegistry } from "./host_registry.ts";
import type { HostDeparture, HostRead, HostUpdate } from "./host_update.ts";
import type { StoreEra } from "./store_era.ts";
import type { StoreReachability } from "./store_reachability.ts";

/** Name of the feed of host announcements. */
const HOST_FEED = "hosts";
/**
 * An announcement that is missing within this time after an outage may merely
 * have lapsed, while its host is live.
 */
const POST_OUTAGE_GRACE_MS = 600;
/** For this time after a store outage, nodes poll the store themselves. */
const POST_OUTAGE_POLLING_MS = 4_000;
/**
 * Share of the outage in which announcements lapse after which all of those that
 * a restored store lists have been made again or have lapsed.
 */
const SETTLED_LAPSE_RATIO = 1.5;
/**
 * A node polls the store itself once its list is older than this share of the
 * time within which requests to a leaving host must end.
 */
const MAX_AGE_RATIO = 0.5;
/**
 * The same, as a share of the shortest outage in which announcements lapse:
 * without an outage the list must never be that old.
 */
const MAX_AGE_LAPSE_RATIO = 0.6;
/**
 * Share of the maximum age for which a publisher's poll waits. A list at a peer
 * is as old as two such polls and the peers' statuses take.
 */
const PUBLISHER_WAIT_RATIO = 0.25;
/**
 * The same for the polls of a node that receives no publisher's reads: with the
 * pause between them, a list that such polls alone confirm doesn't get too old.
 */
const FALLBACK_WAIT_RATIO = 0.4;
/** Wait of the polls of other nodes, whose lists publishers' reads confirm. */
const SUBSCRIBER_WAIT_MS = 2_000;
/** Shortest time between polls of the leader; it forms the replica groups. */
const LEADER_PAUSE_MS = 40;
const LARGE_LEADER_PAUSE_MS = 60;
const PUBLISHER_PAUSE_MS = 200;
const PAUSE_MS = 350;
/** For nodes of a large fleet that receive host changes from a publisher. */
const SUBSCRIBER_PAUSE_MS = 12_000;
/** For nodes of a large fleet that receive no host changes from a publisher. */
const FALLBACK_PAUSE_MS = 700;

/** This node's part in reading the hosts. */
export interface HostListRole {
  readonly isLeader: boolean;
  /** Whether the node publishes host changes while another node leads. */
  readonly isPublisher: boolean;
  /** Whether some nodes of the fleet read the hosts for the others. */
  readonly isFleetLarge: boolean;
}

/** Dependencies of {@linkcode HostList}. */
export interface HostListDependencies {
  readonly timers: Timers;
  readonly store: CoordinationStore;
  readonly schema: FleetSchema;
  readonly hosts: HostRegistry;
  readonly reachability: StoreReachability;
  readonly era: StoreEra;
  readonly readClocks: () => ClockReading;
  readonly role: () => HostListRole;
  /** Shortest store outage in which a live host's announcement can lapse. */
  readonly lapseAfterMs: number;
  /** Time within which requests to a leaving host must end. */
  readonly drainWithinMs: () => number;
  /** Called when the list has become too old and is polled. */
  readonly onOutdated: (ageMs: number) => void;
  /** Called after each listing of the hosts by this process. */
  readonly onListed: () => void;
  /** Called when this process learns that a host leaves or has left. */
  readonly onHostLeft: (departure: HostDeparture) => void;
}

/**
 * Keeps the host registry up to date, and the age of what it knows: every change
 * that the store accepted before then has been applied. The age follows from
 * reads of the store alone, by this process or by a peer whose changes it has. A
 * process whose list is too old polls the store, whichever nodes should publish.
 */
export class HostList {
  readonly #deps: HostListDependencies;
  readonly #feed: ChangeFeed;
  readonly #changes = new HostChanges();
  readonly #confirmation: Confirmation;
  /** Confirmations by the reads of publishers alone. */
  readonly #publisherConfirmation: Confirmation;
  /** Confirmations by the reads of this process alone. */
  readonly #ownConfirmation: Confirmation;
  /** Revision that this process's last read reached; 0 before one in this era. */
  #ownRevision = 0;
  /** Whether the store was restored and has not been listed since. */
  #isRestored = false;
  /** Until then, a restored store may list hosts that have left. */
  #settlesAt = -Infinity;
  /** Lists the hosts again at {@linkcode #settlesAt}. */
  #settleTimer: Timer | undefined;
  /** When the last outage ended that was long enough for entries to lapse. */
  #longOutageEndedAt = -Infinity;
  #isOutdated = false;
  #wasPublisher = false;

  constructor(deps: HostListDependencies) {
    this.#deps = deps;
    this.#confirmation = this.#createConfirmation();
    this.#publisherConfirmation = this.#createConfirmation();
    this.#ownConfirmation = this.#createConfirmation();
    this.#feed = this.#createFeed();
  }

  /** Starts following. */
  start(): void {
    this.#feed.start();
  }

  /**
   * Time since the list was last known to be complete, in milliseconds; infinite
   * before the first read.
   */
  get ageMs(): number {
    return this.#confirmation.ageMs;
  }

  /** Returns what this process read, to publish it to peers. */
  createUpdate(): HostUpdate {
    const publishesHosts = this.#isPublisher;
    const now = this.#deps.timers.now();
    const { changes, isTruncated } = this.#changes.changesToPublish(now);
    return {
      storeEra: this.#deps.era.newest ?? 0,
      publishesHosts,
      hostChanges: publishesHosts ? changes : [],
      isTruncated: publishesHosts && isTruncated,
      hostRevision: publishesHosts ? this.#changes.lastEventRevision : 0,
      hostRead: this.#readForPeers(),
    };
  }

  /**
   * Applies what a peer, `from`, read. `unseenMs` is the time on its way that the
   * ages in it leave out; undefined if that time is not known.
   */
  receiveUpdate(
    update: HostUpdate,
    from: string,
    unseenMs: number | undefined,
  ): void {
    for (const change of update.hostChanges) {
      if (this.#changes.accept(change)) {
        const isLapsed = change.isLapsed && this.#mayHaveLapsed;
        this.#apply({ ...change, isLapsed }, `peer ${from}`);
      }
      this.#changes.recordReceived(change);
    }
    const isGap = this.#changes.isMissing(update.hostRevision);
    if (isGap || update.isTruncated) this.#feed.pollSoon();
    if (unseenMs !== undefined) this.#confirmByPeer(update, unseenMs);
  }

  /**
   * Lists the hosts again, as the store was restored. Until then the list is what
   * it was, with its age, and takes changes of the new era from peers.
   */
  handleRestoration(era: number): void {
    this.#changes.restart();
    this.#ownRevision = 0;
    this.#isRestored = true;
    const { timers, lapseAfterMs } = this.#deps;
    const settleMs = lapseAfterMs * SETTLED_LAPSE_RATIO;
    this.#settlesAt = timers.now() + settleMs;
    this.#settleTimer?.cancel();
    this.#settleTimer = timers.after(settleMs, () => this.#feed.restart(era));
    this.#longOutageEndedAt = timers.now();
    this.#feed.restart(era);
  }

  /** Polls the store if the list is too old, or this node's role asks for it. */
  check(): void {
    const { ageMs } = this;
    const isOutdated = ageMs > this.#maxAgeMs;
    // Before the first read, the feed lists as often as it can.
    if (isOutdated && ageMs !== Infinity) this.#feed.pollNow();
    if (isOutdated && !this.#isOutdated) this.#deps.onOutdated(ageMs);
    this.#isOutdated = isOutdated;
    this.#feed.endPauseIfDue();
    // Nobody may have published what this process read before its role changed.
    const isPublisher = this.#isPublisher;
    if (isPublisher && !this.#wasPublisher) {
      this.#changes.publishAgain(this.#deps.timers.now());
    }
    this.#wasPublisher = isPublisher;
  }

  #createConfirmation(): Confirmation {
    const { readClocks } = this.#deps;
    return new Confirmation(
      () => readClocks().monotonic,
      () => readClocks().wall,
    );
  }

  #readForPeers(): HostRead | undefined {
    const { ageMs } = this.#ownConfirmation;
    if (ageMs > this.#maxAgeMs || this.#ownRevision === 0) return undefined;
    return {
      ageMs,
      revision: this.#ownRevision,
      changeRevision: this.#changes.newestChangeRevision,
    };
  }

  /** Confirms the list by a peer's read if all changes up to the read are known. */
  #confirmByPeer(
    { publishesHosts, hostRead }: HostUpdate,
    unseenMs: number,
  ): void {
    if (hostRead === undefined) return;
    const { revision, changeRevision } = hostRead;
    const ageMs = hostRead.ageMs + unseenMs;
    if (this.#changes.isMissing(changeRevision)) return;
    this.#changes.recordProgress(revision);
    if (publishesHosts) this.#publisherConfirmation.recordWithAge(ageMs);
    this.#recordOutage(ageMs);
    this.#confirmation.recordWithAge(ageMs);
  }

  /** Records the end of a long outage if the list has not been confirmed for long. */
  #recordOutage(newAgeMs: number): void {
    const { timers, lapseAfterMs } = this.#deps;
    const { ageMs } = this;
    if (ageMs === Infinity || ageMs - newAgeMs < lapseAfterMs) return;
    this.#longOutageEndedAt = timers.now();
  }

  /**
   * Whether missing announcements may merely have lapsed during a store outage:
   * neither this process nor a peer has read the hosts for long.
   */
  get #mayHaveLapsed(): boolean {
    const { timers, lapseAfterMs } = this.#deps;
    const { ageMs } = this;
    return (ageMs !== Infinity && ageMs >= lapseAfterMs) ||
      timers.now() - this.#longOutageEndedAt < POST_OUTAGE_GRACE_MS;
  }

  get #maxAgeMs(): number {
    const { drainWithinMs, lapseAfterMs } = this.#deps;
    return Math.min(
      drainWithinMs() * MAX_AGE_RATIO,
      lapseAfterMs * MAX_AGE_LAPSE_RATIO,
    );
  }

  get #isPublisher(): boolean {
    const { isLeader, isPublisher, isFleetLarge } = this.#deps.role();
    return isLeader || (isFleetLarge && isPublisher);
  }

  /** Whether recent reads of a publisher arrive. */
  get #receivesReads(): boolean {
    return this.#publisherConfirmation.ageMs < this.#maxAgeMs;
  }

  /** Whether this process can poll rarely, as a publisher reads for it. */
  get #hasPublisher(): boolean {
    const { timers, reachability } = this.#deps;
    return this.#receivesReads &&
      !reachability.isUnreachable &&
      timers.now() - reachability.regainedAt > POST_OUTAGE_POLLING_MS;
  }

  #timing(): FeedTiming {
    return { waitMs: this.#waitMs, pauseMs: this.#pauseMs };
  }

  get #waitMs(): number {
    if (this.#isPublisher) return this.#maxAgeMs * PUBLISHER_WAIT_RATIO;
    if (this.#receivesReads) return SUBSCRIBER_WAIT_MS;
    return this.#maxAgeMs * FALLBACK_WAIT_RATIO;
  }

  get #pauseMs(): number {
    const { isLeader, isFleetLarge } = this.#deps.role();
    if (isLeader) return isFleetLarge ? LARGE_LEADER_PAUSE_MS : LEADER_PAUSE_MS;
    if (!isFleetLarge) return PAUSE_MS;
    if (this.#isPublisher) return PUBLISHER_PAUSE_MS;
    return this.#hasPublisher ? SUBSCRIBER_PAUSE_MS : FALLBACK_PAUSE_MS;
  }

  #createFeed(): ChangeFeed {
    const { timers, store, schema, reachability, readClocks } = this.#deps;
    return new ChangeFeed(
      timers,
      store,
      schema.hostPrefix,
      () => this.#timing(),
      readClocks,
      {
        onListing: (items, asOf) => this.#handleListing(items, asOf),
        onEvents: (events) => this.#handleEvents(events),
        onConfirmed: (requestedAt, asOf) =>
          this.#recordOwnRead(requestedAt, asOf),
        onRequestFailed: (detail) =>
          reachability.recordFailure(HOST_FEED, detail),
      },
    );
  }

  #handleListing(items: readonly CoordinationItem[], asOf: number): void {
    const { timers, schema, hosts } = this.#deps;
    const newer = this.#changes.reset(
      asOf,
      items.map(({ key, revision }) => [key, revision]),
    );
    if (this.#isRestored) this.#longOutageEndedAt = timers.now();
    // A listing takes time, in which a peer may have sent newer changes.
    const current = items.filter(({ key }) => !newer.has(key))
      .flatMap(({ key, value }) => schema.parseHost(key, value) ?? []);
    const isSettled = timers.now() >= this.#settlesAt;
    const listed = isSettled ? current : this.#withoutLeft(current);
    this.#isRestored = false;
    const unchanged = new Set(
      [...newer].map((key) => key.slice(schema.hostPrefix.length)),
    );
    const now = timers.now();
    const serving = [...hosts.hosts()].filter(({ draining }) => !draining);
    hosts.replaceAll(listed, now, this.#mayHaveLapsed, unchanged);
    this.#deps.onListed();
    const listedIds = new Set(listed.map(({ id }) => id));
    for (const { id } of serving) {
      if (unchanged.has(id)) continue;
      this.#reportIfLeft(id, listedIds.has(id), "listing");
    }
  }

  /**
   * The hosts that a restored store lists, but for those that have left as this
   * process knows: the copy may be older than their departure, and a host does not
   * serve again in the same life. A host that is still listed once all announcements
   * have been made again or have lapsed is live.
   */
  #withoutLeft(listed: readonly ServingHost[]): readonly ServingHost[] {
    const { hosts } = this.#deps;
    const remaining = listed.filter(({ id }) =>
      hosts.removedAt(id) === undefined
    );
    return remaining.map((host) => {
      const known = hosts.get(host.id);
      const isLeaving = known?.draining === true && known.born === host.born;
      return isLeaving ? { ...host, draining: true } : host;
    });
  }

  #recordOwnRead(requestedAt: ClockReading, revision: number): void {
    this.#deps.reachability.recordSuccess(HOST_FEED);
    this.#changes.recordProgress(revision);
    this.#ownConfirmation.record(requestedAt);
    this.#ownRevision = revision;
    this.#recordOutage(this.#ownConfirmation.ageMs);
    this.#confirmation.record(requestedAt);
  }

  #handleEvents(events: readonly CoordinationEvent[]): void {
    const now = this.#deps.timers.now();
    const isLapsed = this.#mayHaveLapsed;
    for (const { key, value, revision } of events) {
      const previous = this.#changes.newestChangeRevision;
      const text = value && Buffer.from(value).toString("utf8");
      const change = { key, revision, previous, value: text, isLapsed };
      if (!this.#changes.accept(change)) continue;
      this.#changes.enqueue(change, now);
      this.#apply(change, "poll");
    }
  }

  #apply(
    { key, value, isLapsed }: HostChange,
    from: HostDeparture["from"],
  ): void {
    const { schema, hosts, timers } = this.#deps;
    const now = timers.now();
    const id = key.slice(schema.hostPrefix.length);
    const wasServing = hosts.get(id)?.draining === false;
    const host = value === undefined
      ? undefined
      : schema.parseHost(key, Buffer.from(value));
    if (host !== undefined) hosts.announce(host, now);
    else hosts.withdraw(id, now, isLapsed);
    if (wasServing) this.#reportIfLeft(id, host !== undefined, from);
  }

  /** Reports the departure of a host that has served until now. */
  #reportIfLeft(
    hostId: string,
    isAnnounced: boolean,
    from: HostDeparture["from"],
  ): void {
    const host = this.#deps.hosts.get(hostId);
    if (isAnnounced && host?.draining === false) return;
    const how = host === undefined
      ? "removed"
      : isAnnounced
      ? "draining"
      : "lapsed";
    const listAgeMs = this.ageMs;
    this.#deps.onHostLeft({ hostId, how, from, listAgeMs });
  }
}
