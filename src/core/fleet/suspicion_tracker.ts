/**
 * Upstreams that are suspected to be lost, from traffic or probes, before the
 * store shows it.
 *
 * @module
 */

import type { Observer } from "./observer.ts";

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

type SuspicionListener = (suspicion: Suspicion, from: Observer) => void;

/**
 * A suspicion expires after this time; by then the store shows whether the host
 * is lost.
 */
const SUSPICION_TTL_MS = 6_000;
/**
 * Observations within this time are the same one: the statuses that repeat it take
 * different times.
 */
const REPEAT_WINDOW_MS = 100;

interface Observation {
  readonly suspicion: Suspicion;
  readonly from: Observer;
  /** Whether the upstream responded later. */
  isCleared: boolean;
}

interface Clearance {
  /** Monotonic time of the response. */
  readonly at: number;
  readonly from: Observer;
}

/**
 * Keeps the suspicions of this process and of its peers. Only own observations
 * are shared: each pass to another peer makes an observation younger by the time
 * that the message takes, so that it would never expire.
 */
export class SuspicionTracker {
  readonly #observations = new Map<string, Observation>();
  readonly #clearances = new Map<string, Clearance>();
  readonly #listeners: SuspicionListener[] = [];

  /** Adds a listener for new suspicions. */
  onSuspicion(listener: SuspicionListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Records a suspicion of this process or of a peer. Returns whether the
   * upstream is newly suspected.
   */
  record(suspicion: Suspicion, from: Observer): boolean {
    const { key, at } = suspicion;
    const known = this.#observations.get(key);
    if (at <= (this.#clearances.get(key)?.at ?? -Infinity)) return false;
    if (known !== undefined && isRepeated(known, at, from)) return false;
    this.#observations.set(key, { suspicion, from, isCleared: false });
    if (known !== undefined && !known.isCleared) return false;
    for (const listener of this.#listeners) listener(suspicion, from);
    return true;
  }

  /**
   * Clears a suspicion: the upstream served a request or passed a probe at
   * `respondedAt`. Earlier observations are ignored from now on.
   */
  clear(key: string, respondedAt: number, from: Observer): void {
    const known = this.#observations.get(key);
    if (known !== undefined && respondedAt > known.suspicion.at) {
      known.isCleared = true;
    }
    if (respondedAt > (this.#clearances.get(key)?.at ?? -Infinity)) {
      this.#clearances.set(key, { at: respondedAt, from });
    }
  }

  /** Upstreams that responded to this process since a time, for peers. */
  clearedSince(since: number): [key: string, at: number][] {
    return [...this.#clearances]
      .filter(([, { at, from }]) => from === "own" && at >= since)
      .map(([key, { at }]) => [key, at]);
  }

  /** Whether an upstream is suspected. */
  isSuspected(key: string): boolean {
    return this.#observations.get(key)?.isCleared === false;
  }

  /** Suspected upstreams. */
  suspected(): string[] {
    return [...this.#observations.keys()].filter((key) =>
      this.isSuspected(key)
    );
  }

  /** Suspicions that this process observed since a time, for peers. */
  suspectedSince(since: number): Suspicion[] {
    return [...this.#observations.values()]
      .filter(({ suspicion, from, isCleared }) =>
        from === "own" && !isCleared && suspicion.at >= since
      )
      .map(({ suspicion }) => suspicion);
  }

  /** Drops old suspicions, and old records of cleared ones. */
  expire(now: number): void {
    for (const [key, { suspicion }] of this.#observations) {
      if (now - suspicion.at > SUSPICION_TTL_MS) this.#observations.delete(key);
    }
    for (const [key, { at }] of this.#clearances) {
      if (now - at > SUSPICION_TTL_MS) this.#clearances.delete(key);
    }
  }
}

/** Whether an observation at `at` is known already. */
function isRepeated(known: Observation, at: number, from: Observer): boolean {
  if (known.isCleared && from === "own") return false;
  return at <= known.suspicion.at + REPEAT_WINDOW_MS;
}
