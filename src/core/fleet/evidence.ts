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

type DoubtListener = (doubt: Doubt, from: "own" | "peer") => void;

/** By then the store shows that a doubted host is gone, or it is not. */
const DOUBT_TTL_MS = 6_000;

/** Keeps the doubts of this process and of its peers. */
export class Evidence {
  readonly #doubts = new Map<string, Doubt>();
  readonly #trusted = new Map<string, number>();
  readonly #listeners: DoubtListener[] = [];

  /** Calls back for each new doubt. */
  onDoubt(listener: DoubtListener): void {
    this.#listeners.push(listener);
  }

  /** Takes a doubt of this process or of a peer. Returns whether it is news. */
  doubt(doubt: Doubt, from: "own" | "peer"): boolean {
    const known = this.#doubts.get(doubt.key);
    if (doubt.at <= (this.#trusted.get(doubt.key) ?? -Infinity)) return false;
    if (known !== undefined && doubt.at <= known.at + 100) return false;
    this.#doubts.set(doubt.key, doubt);
    if (known !== undefined) return false;
    for (const listener of this.#listeners) listener(doubt, from);
    return true;
  }

  /** Ends a doubt: the upstream was seen to work, or found whole, after it. */
  trust(key: string, seenAt: number): void {
    const known = this.#doubts.get(key);
    if (known !== undefined && seenAt > known.at) this.#doubts.delete(key);
    this.#trusted.set(key, seenAt);
  }

  /** Upstreams found whole of late, for peers. */
  trustedSince(since: number): [key: string, at: number][] {
    return [...this.#trusted].filter(([, at]) => at >= since);
  }

  /** Tells whether an upstream is doubted. */
  isDoubted(key: string): boolean {
    return this.#doubts.has(key);
  }

  /** Upstreams that are doubted. */
  doubted(): string[] {
    return [...this.#doubts.keys()];
  }

  /** Doubts of late, for peers. */
  recent(since: number): Doubt[] {
    return [...this.#doubts.values()].filter((doubt) => doubt.at >= since);
  }

  /** Drops doubts that nothing has renewed. */
  expire(now: number): void {
    for (const [key, doubt] of this.#doubts) {
      if (now - doubt.at > DOUBT_TTL_MS) this.#doubts.delete(key);
    }
    for (const [key, at] of this.#trusted) {
      if (now - at > DOUBT_TTL_MS) this.#trusted.delete(key);
    }
  }
}
