/**
 * Splits a byte stream into blocks of server-sent events.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { EventBlock } from "./event_block.ts";
import { EventBlockParser } from "./event_block.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY: Buffer = Buffer.alloc(0);
/** Number of bytes that a loop searches faster than a native call. */
const SHORT_LINE_BYTES = 16;

/**
 * Splits bytes at the empty line that ends each block. Lines end with a line feed,
 * which a carriage return may precede.
 *
 * @example
 * ```ts
 * reader.append(chunk);
 * for (let block = reader.next(); block !== undefined; block = reader.next()) {
 *   handle(block, reader.slice(reader.blockStart, reader.blockEnd));
 * }
 * reader.dropComplete();
 * ```
 */
export class EventReader {
  readonly #parser = new EventBlockParser();
  #bytes = EMPTY;
  #blockStart = 0;
  #blockEnd = 0;
  #lineStart = 0;
  /** Position up to which the current line was searched for its end. */
  #scannedEnd = 0;

  /** Position of the block that {@linkcode next} returned last. */
  get blockStart(): number {
    return this.#blockStart;
  }

  /** Position after the block that {@linkcode next} returned last. */
  get blockEnd(): number {
    return this.#blockEnd;
  }

  /** Number of bytes that don't form a complete block yet. */
  get pendingBytes(): number {
    return this.#bytes.length - this.#blockEnd;
  }

  /** Adds bytes, which must not change afterwards. */
  append(chunk: Uint8Array): void {
    const incoming = Buffer.from(
      chunk.buffer,
      chunk.byteOffset,
      chunk.byteLength,
    );
    this.#bytes = this.#bytes.length > 0
      ? Buffer.concat([this.#bytes, incoming])
      : incoming;
  }

  /** Returns the next complete block. */
  next(): EventBlock | undefined {
    const bytes = this.#bytes;
    for (;;) {
      const at = this.#lineStart;
      const lineFeed = findLineFeed(bytes, this.#scannedEnd);
      if (lineFeed < 0) {
        this.#scannedEnd = bytes.length;
        return undefined;
      }
      this.#lineStart = lineFeed + 1;
      this.#scannedEnd = lineFeed + 1;
      const hasReturn = lineFeed > at &&
        bytes[lineFeed - 1] === CARRIAGE_RETURN;
      const end = hasReturn ? lineFeed - 1 : lineFeed;
      if (end > at) {
        this.#parser.addLine(bytes, at, end, hasReturn);
        continue;
      }
      this.#blockStart = this.#blockEnd;
      this.#blockEnd = lineFeed + 1;
      return this.#parser.endBlock(hasReturn);
    }
  }

  /** Returns the bytes between two positions of blocks. */
  slice(start: number, end: number): Uint8Array {
    return start === 0 && end === this.#bytes.length
      ? this.#bytes
      : this.#bytes.subarray(start, end);
  }

  /** Drops complete blocks, whose positions are no longer valid. */
  dropComplete(): void {
    this.#bytes = this.pendingBytes > 0
      ? this.#bytes.subarray(this.#blockEnd)
      : EMPTY;
    this.#lineStart -= this.#blockEnd;
    this.#scannedEnd -= this.#blockEnd;
    this.#blockStart = 0;
    this.#blockEnd = 0;
  }

  /** Discards the incomplete block. */
  discard(): void {
    this.#bytes = EMPTY;
    this.#blockStart = 0;
    this.#blockEnd = 0;
    this.#lineStart = 0;
    this.#scannedEnd = 0;
    this.#parser.reset();
  }
}

function findLineFeed(bytes: Buffer, from: number): number {
  const end = Math.min(bytes.length, from + SHORT_LINE_BYTES);
  for (let at = from; at < end; at++) {
    if (bytes[at] === LINE_FEED) return at;
  }
  return end < bytes.length ? bytes.indexOf(LINE_FEED, end) : -1;
}
