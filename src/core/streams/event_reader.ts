/**
 * Splits a byte stream into blocks of server-sent events.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Splits bytes at the empty line that ends each block. Lines end with a line feed,
 * which a carriage return may precede.
 *
 * @example
 * ```ts
 * reader.append(chunk);
 * for (let block = reader.next(); block !== undefined; block = reader.next()) {
 *   forward(block);
 * }
 * ```
 */
export class EventReader {
  #bytes: Buffer = Buffer.alloc(0);
  /** Number of bytes that were searched for the end of a block. */
  #scannedBytes = 0;

  /** Number of bytes that don't form a complete block yet. */
  get pendingBytes(): number {
    return this.#bytes.length;
  }

  /** Adds bytes; they must not change afterwards. */
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

  /** Removes and returns the next complete block, including its empty line. */
  next(): Buffer | undefined {
    const bytes = this.#bytes;
    let lineEnd = bytes.indexOf(LINE_FEED, this.#scannedBytes);
    while (lineEnd >= 0) {
      const next = bytes[lineEnd + 1] === CARRIAGE_RETURN
        ? lineEnd + 2
        : lineEnd + 1;
      if (bytes[next] === LINE_FEED) {
        this.#bytes = bytes.subarray(next + 1);
        this.#scannedBytes = 0;
        return bytes.subarray(0, next + 1);
      }
      lineEnd = bytes.indexOf(LINE_FEED, lineEnd + 1);
    }
    // The last two bytes may begin an empty line.
    this.#scannedBytes = Math.max(0, bytes.length - 2);
    return undefined;
  }

  /** Discards the incomplete block. */
  discard(): void {
    this.#bytes = Buffer.alloc(0);
    this.#scannedBytes = 0;
  }
}
