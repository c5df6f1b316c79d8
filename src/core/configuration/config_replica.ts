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

/** Longest age of a confirmation with which new work is still accepted. */
export const CONFIG_STALE_MS = 3_000;

/** Where a confirmation came from. */
export type ConfirmationSource = "store" | "peers" | "none";

/**
 * Most gateways that confirm revisions; confirmation needs a majority of them.
 */
export const MAX_CONFIRMERS = 7;

/** Identity of one process: an id may be reused, an incarnation never is. */
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
 * A replica is confirmed either by the key-value service, which always has the
 * newest revision, or by a majority of the confirmers: a change is accepted
 * only once a majority has it, so any two majorities share a gateway that has
 * the newest accepted revision. The age of a confirmation starts when it was
 * requested, on the monotonic clock.
 */
export class ConfigReplica {
  #cfg: Configuration = EMPTY_CONFIGURATION;
  #confirmedAt = -Infinity;
  #source: ConfirmationSource = "none";
  /** Latest request to each peer that responded with the same revision. */
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

  /** Revision of that configuration; 0 before the first. */
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
   * Returns whether it was newer. The last confirmation also holds for the newer
   * revision: when it was requested, no revision newer than the replaced one had
   * been accepted.
   */
  offer(cfg: Configuration): boolean {
    if (cfg.revision <= this.#cfg.revision) return false;
    this.#cfg = cfg;
    this.#peerRequestedAt.clear();
    for (const listener of this.#listeners) listener(cfg);
    return true;
  }

  /** Records that the store, read at `requestedAt`, had `revision`. */
  confirmByStore(requestedAt: number, revision: number): void {
    if (revision > this.#cfg.revision) return;
    this.#confirm(requestedAt, "store");
  }

  /**
   * Records that a peer, asked at `requestedAt`, had `revision`. Only a peer with
   * the same revision confirms it: a peer with an older one may have restarted
   * and lost a revision that it had acknowledged.
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

  /** Confirms as of the latest time at which a majority had this revision. */
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
