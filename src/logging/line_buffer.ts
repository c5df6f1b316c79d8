/**
 * Writes log lines to standard output in batches, without waiting for the writes.
 *
 * @module
 */
import process from "node:process";
import type { Timers } from "../base/timers.ts";

const FLUSH_INTERVAL_MS = 100;
/** A line that doesn't fit into the buffer is dropped and counted. */
const MAX_BUFFERED_CHARS = 262_144;

/** Bounded buffer of log lines for standard output. */
export class LineBuffer {
  readonly #write: (text: string) => boolean;
  #lines: string[] = [];
  #bufferedChars = 0;
  #dropped = 0;

  constructor(
    timers: Timers,
    write: (text: string) => boolean = (text) => process.stdout.write(text),
  ) {
    this.#write = write;
    timers.subscribe(FLUSH_INTERVAL_MS, () => this.flush());
  }

  /** Number of lines dropped since the last flush that wrote lines. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Adds a line, or drops it if the buffer is full. */
  push(line: string): void {
    if (this.#bufferedChars + line.length > MAX_BUFFERED_CHARS) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#bufferedChars += line.length + 1;
  }

  /** Writes the buffered lines and the number of dropped ones. */
  flush(): void {
    if (this.#lines.length === 0) return;
    if (this.#dropped > 0) {
      this.#lines.push(
        JSON.stringify({ event: "log_lines_dropped", count: this.#dropped }),
      );
      this.#dropped = 0;
    }
    const text = `${this.#lines.join("\n")}\n`;
    this.#lines = [];
    this.#bufferedChars = 0;
    this.#write(text);
  }
}
