/**
 * One process's copy of the configuration and how fresh it is known to be.
 *
 * @module
 */
import type {
  Configuration,
  GatewayMember,
} from "../../world/configuration.ts";
import { EMPTY_CONFIGURATION } from "../../world/configuration.ts";

/** Longest age of a confirmation with which new work is still taken. */
export const CONFIG_STALE_MS = 3_000;

/** Where a confirmation came from. */
export type ConfirmationSource = "store" | "peers" | "none";

/** Most gateways that confirm revisions; a majority of them is asked. */
export const MAX_CONFIRMERS = 7;

/** Names one process: its id may be used again, its incarnation never. */
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
 * Holds the newest configuration seen and the time at which it was last known
 * to be the newest accepted one.
 *
 * A copy is confirmed either by the key-value service, which always holds the
 * newest revision, or by a majority of the listed gateways: a change counts as
 * accepted only after a majority has it, so any two majorities share a gateway
 * that knows the newest accepted revision. Confirmations count from the moment
 * at which they were asked for, on the monotonic clock.
 */
export class ConfigReplica {
  #cfg: Configuration = EMPTY_CONFIGURATION;
  #confirmedAt = -Infinity;
  #source: ConfirmationSource = "none";
  /** Latest time at which each peer was asked and had nothing newer. */
  readonly #peerAskedAt = new Map<string, number>();
  readonly #self: ProcessId;
  readonly #listeners: Array<(cfg: Configuration) => void> = [];

  constructor(self: ProcessId) {
    this.#self = self;
  }

  /** The newest configuration seen. */
  get cfg(): Configuration {
    return this.#cfg;
  }

  /** Revision of the newest configuration seen; 0 before any. */
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
   * Takes a configuration if it is newer; an older one never replaces it. The
   * last confirmation holds for the newer copy too: when it was asked for,
   * nothing newer than the older copy was accepted.
   */
  offer(cfg: Configuration): boolean {
    if (cfg.revision <= this.#cfg.revision) return false;
    this.#cfg = cfg;
    this.#peerAskedAt.clear();
    for (const listener of this.#listeners) listener(cfg);
    return true;
  }

  /** Notes that the store, asked at `askedAt`, held `revision`. */
  confirmByStore(askedAt: number, revision: number): void {
    if (revision > this.#cfg.revision) return;
    this.#confirm(askedAt, "store");
  }

  /**
   * Notes that a peer, asked at `askedAt`, held `revision`. Only a peer with
   * the very same revision counts: one that is behind may have been restarted
   * and have forgotten what it acknowledged.
   */
  confirmByPeer(peer: ProcessId, askedAt: number, revision: number): void {
    if (revision !== this.#cfg.revision) {
      this.#peerAskedAt.delete(processKey(peer));
      return;
    }
    const key = processKey(peer);
    const before = this.#peerAskedAt.get(key) ?? -Infinity;
    this.#peerAskedAt.set(key, Math.max(before, askedAt));
    this.#confirmByMajority(askedAt);
  }

  /** Age of the newest confirmation, in milliseconds. */
  ageMs(now: number): number {
    return now - this.#confirmedAt;
  }

  /** Tells whether new work may be taken on this copy. */
  mayServe(now: number): boolean {
    return this.#cfg.revision > 0 && this.ageMs(now) <= CONFIG_STALE_MS;
  }

  /** Confirms as of the time at which a majority had nothing newer. */
  #confirmByMajority(now: number): void {
    const members = confirmers(this.#cfg);
    const self = processKey(this.#self);
    const times: number[] = [];
    for (const member of members) {
      const key = processKey(member);
      const askedAt = key === self ? now : this.#peerAskedAt.get(key);
      if (askedAt !== undefined) times.push(askedAt);
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
