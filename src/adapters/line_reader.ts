/**
 * Cuts a byte stream into lines.
 *
 * @module
 */
import { StringDecoder } from "node:string_decoder";

/** Holds back the unfinished last line. */
export class LineReader {
  readonly #decoder = new StringDecoder("utf8");
  #rest = "";

  /** Takes the next chunk and returns the lines that it ends. */
  push(chunk: Uint8Array): string[] {
    const text = this.#rest + this.#decoder.write(chunk as never);
    const lines = text.split("\n");
    this.#rest = lines.pop() ?? "";
    return lines.filter((line) => line.trim() !== "");
  }
}
