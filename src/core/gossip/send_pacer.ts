/**
 * Pacing of statuses to a share of the host's link.
 *
 * @module
 */

/** Largest share of the link that paced statuses may use. */
const LINK_SHARE = 0.1;
/**
 * Longest wait for the share. A hub that is silent for longer is considered stopped,
 * and messages between all nodes then use the links more.
 */
const MAX_WAIT_MS = 400;

/** Delays statuses, so that requests on the same link don't wait behind them. */
export class SendPacer {
  readonly #bytesPerMs: number;
  #freeAt = -Infinity;

  /** Creates a pacer for a link that carries this many bytes a second. */
  constructor(linkBytesPerSecond: number) {
    this.#bytesPerMs = linkBytesPerSecond * LINK_SHARE / 1_000;
  }

  /** Records that statuses of this size were sent. */
  recordSent(bytes: number, now: number): void {
    const waitMs = Math.min(MAX_WAIT_MS, bytes / this.#bytesPerMs);
    this.#freeAt = Math.max(now, this.#freeAt) + waitMs;
    this.#freeAt = Math.min(this.#freeAt, now + MAX_WAIT_MS);
  }

  /** Time until the next statuses may be sent, in milliseconds. */
  waitMs(now: number): number {
    return Math.max(0, this.#freeAt - now);
  }
}
