/**
 * Cuts a byte stream into lines.
 *
 * @module
 */
import { StringDecoder } from "node:string_decoder";

/** Holds back the unfinished last line. */
export class LineSplitter {
  readonly #decoder = new StringDecoder("utf8");
  #partialLine = "";

  /** Takes the next chunk and returns the lines that it ends. */
  push(chunk: Uint8Array): string[] {
    const text = this.#partialLine + this.#decoder.write(chunk as never);
    const lines = text.split("\n");
    this.#partialLine = lines.pop() ?? "";
    return lines.filter((line) => line.trim() !== "");
  }
}
