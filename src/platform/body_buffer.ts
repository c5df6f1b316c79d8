/**
 * The bytes of a request's body while they arrive.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Size above which a body is not held twice, even for a moment. */
export const LARGE_BODY_BYTES = 65_536;

/**
 * Collects a body. The bytes of a large one whose length was declared are copied to
 * their place as they arrive.
 */
export class BodyBuffer {
  readonly #whole: Buffer | undefined;
  #chunks: Buffer[] = [];
  #bytes = 0;

  constructor(declaredBytes: number) {
    this.#whole = declaredBytes > LARGE_BODY_BYTES
      ? Buffer.allocUnsafeSlow(declaredBytes)
      : undefined;
  }

  /** Number of bytes that have arrived. */
  get bytes(): number {
    return this.#bytes;
  }

  add(chunk: Buffer): void {
    if (this.#whole === undefined) this.#chunks.push(chunk);
    else chunk.copy(this.#whole, this.#bytes);
    this.#bytes += chunk.length;
  }

  /** Returns the complete body. */
  take(): Uint8Array {
    if (this.#whole !== undefined) return this.#whole;
    const [first] = this.#chunks;
    const body = this.#chunks.length === 1
      ? first
      : Buffer.concat(this.#chunks);
    this.#chunks = [];
    return body;
  }
}
