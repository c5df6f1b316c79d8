/**
 * What traffic and probes say against upstreams, before the store does.
 *
 * @module
 */

/** Why an upstream is doubted. */
export type DoubtKind = "silent" | "reset" | "unreachable";

/** A doubt about an upstream. */
export interface Doubt {
  readonly key: string;
  readonly kind: DoubtKind;
  /** Monotonic time of the observation. */
  readonly at: number;
}

type SuspicionListener = (doubt: Doubt, from: "own" | "peer") => void;

/** By then the store shows that a doubted host is gone, or it is not. */
const SUSPICION_TTL_MS = 6_000;

/** Keeps the doubts of this process and of its peers. */
export class Evidence {
  readonly #suspicions = new Map<string, Doubt>();
  readonly #cleared = new Map<string, number>();
  readonly #listeners: SuspicionListener[] = [];

  /** Calls back for each new doubt. */
  onDoubt(listener: SuspicionListener): void {
    this.#listeners.push(listener);
  }

  /** Takes a doubt of this process or of a peer. Returns whether it is news. */
  doubt(doubt: Doubt, from: "own" | "peer"): boolean {
    const known = this.#suspicions.get(doubt.key);
    if (doubt.at <= (this.#cleared.get(doubt.key) ?? -Infinity)) return false;
    if (known !== undefined && doubt.at <= known.at + 100) return false;
    this.#suspicions.set(doubt.key, doubt);
    if (known !== undefined) return false;
    for (const listener of this.#listeners) listener(doubt, from);
    return true;
  }

  /** Ends a doubt: the upstream was seen to work, or found whole, after it. */
  trust(key: string, seenAt: number): void {
    const known = this.#suspicions.get(key);
    if (known !== undefined && seenAt > known.at) this.#suspicions.delete(key);
    this.#cleared.set(key, seenAt);
  }

  /** Upstreams found whole of late, for peers. */
  trustedSince(since: number): [key: string, at: number][] {
    return [...this.#cleared].filter(([, at]) => at >= since);
  }

  /** Tells whether an upstream is doubted. */
  isDoubted(key: string): boolean {
    return this.#suspicions.has(key);
  }

  /** Upstreams that are doubted. */
  doubted(): string[] {
    return [...this.#suspicions.keys()];
  }

  /** Doubts of late, for peers. */
  recent(since: number): Doubt[] {
    return [...this.#suspicions.values()].filter((doubt) => doubt.at >= since);
  }

  /** Drops doubts that nothing has renewed. */
  expire(now: number): void {
    for (const [key, doubt] of this.#suspicions) {
      if (now - doubt.at > SUSPICION_TTL_MS) this.#suspicions.delete(key);
    }
    for (const [key, at] of this.#cleared) {
      if (now - at > SUSPICION_TTL_MS) this.#cleared.delete(key);
    }
  }
}
