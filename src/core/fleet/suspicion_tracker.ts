/**
 * Upstreams that are suspected to be lost, from traffic or probes, before the
 * store shows it.
 *
 * @module
 */

/** Why an upstream is suspected. */
export type SuspicionKind = "silent" | "reset" | "unreachable";

/** A suspicion that an upstream is lost. */
export interface Suspicion {
  /** Key of the upstream: a host id, or a group's name and epoch. */
  readonly key: string;
  readonly kind: SuspicionKind;
  /** Monotonic time of the observation, in milliseconds. */
  readonly at: number;
}

type SuspicionListener = (suspicion: Suspicion, from: "own" | "peer") => void;

/**
 * A suspicion expires after this time; by then the store shows whether the host
 * is lost.
 */
const SUSPICION_TTL_MS = 6_000;

/** Keeps the suspicions of this process and of its peers. */
export class SuspicionTracker {
  readonly #suspicions = new Map<string, Suspicion>();
  /** Monotonic time at which each cleared upstream responded. */
  readonly #cleared = new Map<string, number>();
  readonly #listeners: SuspicionListener[] = [];

  /** Adds a listener for new suspicions. */
  onSuspicion(listener: SuspicionListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Records a suspicion of this process or of a peer. Returns whether the
   * upstream is newly suspected.
   */
  record(entry: Suspicion, from: "own" | "peer"): boolean {
    const known = this.#suspicions.get(entry.key);
    if (entry.at <= (this.#cleared.get(entry.key) ?? -Infinity)) return false;
    // Observations within 100 ms don't extend a suspicion.
    if (known !== undefined && entry.at <= known.at + 100) return false;
    this.#suspicions.set(entry.key, entry);
    if (known !== undefined) return false;
    for (const listener of this.#listeners) listener(entry, from);
    return true;
  }

  /**
   * Clears a suspicion: the upstream served a request or passed a probe at
   * `respondedAt`. Earlier observations are ignored from now on.
   */
  clear(key: string, respondedAt: number): void {
    const known = this.#suspicions.get(key);
    if (known !== undefined && respondedAt > known.at) {
      this.#suspicions.delete(key);
    }
    this.#cleared.set(key, respondedAt);
  }

  /** Upstreams that responded since a time, for peers. */
  clearedSince(since: number): [key: string, at: number][] {
    return [...this.#cleared].filter(([, at]) => at >= since);
  }

  /** Whether an upstream is suspected. */
  isSuspected(key: string): boolean {
    return this.#suspicions.has(key);
  }

  /** Suspected upstreams. */
  suspected(): string[] {
    return [...this.#suspicions.keys()];
  }

  /** Suspicions observed since a time, for peers. */
  suspectedSince(since: number): Suspicion[] {
    return [...this.#suspicions.values()].filter((suspicion) =>
      suspicion.at >= since
    );
  }

  /** Drops old suspicions, and old records of cleared ones. */
  expire(now: number): void {
    for (const [key, suspicion] of this.#suspicions) {
      if (now - suspicion.at > SUSPICION_TTL_MS) this.#suspicions.delete(key);
    }
    for (const [key, at] of this.#cleared) {
      if (now - at > SUSPICION_TTL_MS) this.#cleared.delete(key);
    }
  }
}
