/**
 * Finds the head of another response inside a body.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const STATUS_LINE_START = Buffer.from("HTTP/");
/**
 * A status line, of whatever version and status, and a first or later header that
 * only hosts send.
 */
const HEAD_PATTERN =
  /^HTTP\/[\d.]+(?: [^\r\n]*)?\r\n(?:[^\r\n]+\r\n)*oleanderarch-/i;
/** Bytes of a head that are searched for such a header. */
const MAX_HEAD_BYTES = 2_048;
/** Bytes of earlier chunks that are searched again with the next one. */
const OVERLAP_BYTES = 256;

/**
 * Searches a body for the head of a response. A host that writes a response late,
 * on a connection that is in use again, can thereby complete the body of another
 * one; the length of the body doesn't show it.
 */
export class ForeignHeadDetector {
  #overlap: Buffer = Buffer.alloc(0);

  /** Adds bytes of the body, and returns whether they contain a head. */
  push(chunk: Uint8Array): boolean {
    const bytes = Buffer.concat([this.#overlap, chunk]);
    this.#overlap = bytes.subarray(-OVERLAP_BYTES);
    let at = bytes.indexOf(STATUS_LINE_START);
    while (at >= 0) {
      const text = bytes.toString("latin1", at, at + MAX_HEAD_BYTES);
      if (HEAD_PATTERN.test(text)) return true;
      at = bytes.indexOf(STATUS_LINE_START, at + 1);
    }
    return false;
  }
}
