/**
 * One process's replica of the configuration, and the age of its confirmation.
 *
 * @module
 */
import type {
  Configuration,
  GatewayMember,
} from "../../world/configuration.ts";
import { EMPTY_CONFIGURATION } from "../../world/configuration.ts";

/** Age of the last confirmation beyond which no new work is accepted. */
export const CONFIG_STALE_MS = 3_000;

/** Where a confirmation came from. */
export type ConfirmationSource = "store" | "peers" | "none";

/**
 * Maximum number of gateways that confirm revisions. A confirmation needs a
 * majority of them.
 */
export const MAX_CONFIRMERS = 7;

/** Identity of one process: a restart reuses the id, never the incarnation. */
export type ProcessId = Pick<GatewayMember, "id" | "incarnation">;

/**
 * Returns the gateways whose majority confirms a revision.
 *
 * @example
 * ```ts
 * const needed = majorityOf(confirmers(cfg).length);
 * ```
 */
export function confirmers(cfg: Configuration): readonly GatewayMember[] {
  return cfg.gateways.slice(0, MAX_CONFIRMERS);
}

/** Returns the smallest number that is more than half of `count`. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}

/**
 * Holds the newest configuration seen, and the time at which it was last known
 * to be the newest accepted one.
 *
 * A replica is confirmed either by the key-value store, which always has the
 * newest revision, or by a majority of the confirmers: a change is accepted
 * only once a majority has it, so any two majorities share a gateway that has
 * the newest accepted revision. The age of a confirmation starts when it was
 * requested, on the monotonic clock.
 */
export class ConfigReplica {
  #cfg: Configuration = EMPTY_CONFIGURATION;
  #confirmedAt = -Infinity;
  #source: ConfirmationSource = "none";
  /** Time of the latest request to each peer that returned this revision. */
  readonly #peerRequestedAt = new Map<string, number>();
  readonly #self: ProcessId;
  readonly #listeners: Array<(cfg: Configuration) => void> = [];

  constructor(self: ProcessId) {
    this.#self = self;
  }

  /** The newest configuration that this process has seen. */
  get cfg(): Configuration {
    return this.#cfg;
  }

  /** Revision of {@linkcode ConfigReplica.cfg}; 0 before the first. */
  get revision(): number {
    return this.#cfg.revision;
  }

  /** Where the newest confirmation came from. */
  get source(): ConfirmationSource {
    return this.#source;
  }

  /** Calls `listener` after each newer configuration. */
  onChange(listener: (cfg: Configuration) => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Installs a configuration if it is newer; an older one never replaces it.
   * Returns whether it was newer. The last confirmation stays valid: when it
   * was requested, no change after the replaced revision had been accepted, so
   * the newer revision contains every change accepted by then.
   */
  installIfNewer(cfg: Configuration): boolean {
    if (cfg.revision <= this.#cfg.revision) return false;
    this.#cfg = cfg;
    this.#peerRequestedAt.clear();
    for (const listener of this.#listeners) listener(cfg);
    return true;
  }

  /**
   * Records that a read of the store requested at `requestedAt` returned
   * `revision`. A revision older than the replica's confirms the replica too: the
   * replica's revision was written after the request.
   */
  confirmByStore(requestedAt: number, revision: number): void {
    if (revision > this.#cfg.revision) return;
    this.#confirm(requestedAt, "store");
  }

  /**
   * Records that a peer responded with `revision` to a request made at
   * `requestedAt`. A peer with an older revision confirms nothing: it may have
   * restarted and lost a revision that it had acknowledged.
   */
  confirmByPeer(peer: ProcessId, requestedAt: number, revision: number): void {
    if (revision !== this.#cfg.revision) {
      this.#peerRequestedAt.delete(processKey(peer));
      return;
    }
    const key = processKey(peer);
    const before = this.#peerRequestedAt.get(key) ?? -Infinity;
    this.#peerRequestedAt.set(key, Math.max(before, requestedAt));
    this.#confirmByMajority(requestedAt);
  }

  /** Age of the newest confirmation, in milliseconds. */
  ageMs(now: number): number {
    return now - this.#confirmedAt;
  }

  /** Whether new work may be accepted on this configuration. */
  mayServe(now: number): boolean {
    return this.#cfg.revision > 0 && this.ageMs(now) <= CONFIG_STALE_MS;
  }

  /**
   * Confirms the replica as of the latest time at which a majority is known to
   * have had this revision. This process counts as having it at `requestedAt`.
   */
  #confirmByMajority(requestedAt: number): void {
    const members = confirmers(this.#cfg);
    const self = processKey(this.#self);
    const times: number[] = [];
    for (const member of members) {
      const key = processKey(member);
      const time = key === self ? requestedAt : this.#peerRequestedAt.get(key);
      if (time !== undefined) times.push(time);
    }
    const needed = majorityOf(members.length);
    if (members.length === 0 || times.length < needed) return;
    times.sort((a, b) => b - a);
    this.#confirm(times[needed - 1], "peers");
  }

  #confirm(at: number, source: ConfirmationSource): void {
    if (at <= this.#confirmedAt) return;
    this.#confirmedAt = at;
    this.#source = source;
  }
}

function processKey(process: ProcessId): string {
  return `${process.id}/${process.incarnation}`;
}
