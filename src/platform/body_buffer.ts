/**
 * The bytes of a request's body while they arrive.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/**
 * Collects a body. If its length was declared, its bytes are copied to their place
 * as they arrive, so that they are not held twice.
 */
export class BodyBuffer {
  readonly #whole: Buffer | undefined;
  #chunks: Buffer[] = [];
  #bytes = 0;

  constructor(declaredBytes: number) {
    this.#whole = declaredBytes > 0
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
