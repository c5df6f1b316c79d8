/**
 * Cuts a byte stream at event boundaries without reading the events.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const END_MARKER = Buffer.from("data: [DONE]\n\n");
/** Longest event, in bytes. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Whole events of one chunk. */
export interface Framed {
  /** Bytes up to the last event boundary; empty when there is none. */
  readonly whole: Uint8Array;
  /** Events in {@linkcode Framed.whole}, the end marker not counted. */
  readonly events: number;
  /** Whether the end marker was seen. */
  readonly ended: boolean;
}

const NOTHING: Framed = { whole: new Uint8Array(0), events: 0, ended: false };

/** Counts server-sent events and holds back the bytes of an unfinished one. */
export class EventFramer {
  #rest: Buffer | undefined;

  /** Takes the next chunk. Undefined when an event exceeds the bound. */
  push(chunk: Uint8Array): Framed | undefined {
    const bytes = this.#joined(chunk);
    let from = 0;
    let events = 0;
    let boundary = bytes.indexOf(LINE_FEED, 0);
    while (boundary >= 0) {
      if (bytes[boundary + 1] === LINE_FEED) {
        events += 1;
        from = boundary + 2;
        boundary = bytes.indexOf(LINE_FEED, from);
      } else {
        boundary = bytes.indexOf(LINE_FEED, boundary + 1);
      }
    }
    if (bytes.length - from > MAX_EVENT_BYTES) return undefined;
    this.#rest = from < bytes.length ? bytes.subarray(from) : undefined;
    if (events === 0) return NOTHING;
    const whole = bytes.subarray(0, from);
    const ended = endsWithMarker(whole);
    return { whole, events: ended ? events - 1 : events, ended };
  }

  #joined(chunk: Uint8Array): Buffer {
    const fresh = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    return this.#rest === undefined
      ? fresh
      : Buffer.concat([this.#rest, fresh]);
  }
}

function endsWithMarker(bytes: Uint8Array): boolean {
  if (bytes.length < END_MARKER.length) return false;
  const tail = bytes.subarray(bytes.length - END_MARKER.length);
  return END_MARKER.equals(tail);
}
