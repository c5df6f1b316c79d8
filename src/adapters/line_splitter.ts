/**
 * Splits a byte stream into lines.
 *
 * @module
 */
import { StringDecoder } from "node:string_decoder";

/** Buffers the incomplete last line. */
export class LineSplitter {
  readonly #decoder = new StringDecoder("utf8");
  #partialLine = "";

  /** Adds a chunk; returns the lines that it completes, without blank ones. */
  push(chunk: Uint8Array): string[] {
    const text = this.#partialLine + this.#decoder.write(chunk as never);
    const lines = text.split("\n");
    this.#partialLine = lines.pop() ?? "";
    return lines.filter((line) => line.trim() !== "");
  }
}
