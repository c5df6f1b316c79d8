/**
 * Splits a byte stream at event boundaries without parsing the events.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const END_MARKER = Buffer.from("data: [DONE]\n\n");
/** Longest event, in bytes. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Events that one chunk completes. */
export interface FramedChunk {
  /** Bytes up to the last event boundary; empty when there is none. */
  readonly bytes: Uint8Array;
  /** Number of events in {@linkcode FramedChunk.bytes}, without the end marker. */
  readonly events: number;
  /** Whether the end marker was received. */
  readonly ended: boolean;
}

const NO_EVENTS: FramedChunk = {
  bytes: new Uint8Array(0),
  events: 0,
  ended: false,
};

/** Counts server-sent events and buffers the bytes of an incomplete one. */
export class EventFramer {
  #remainder: Buffer | undefined;

  /**
   * Processes the next chunk. Returns undefined when an event exceeds
   * {@linkcode MAX_EVENT_BYTES}.
   */
  push(chunk: Uint8Array): FramedChunk | undefined {
    const bytes = this.#prependRemainder(chunk);
    let completeEnd = 0;
    let events = 0;
    let boundary = bytes.indexOf(LINE_FEED, 0);
    while (boundary >= 0) {
      if (bytes[boundary + 1] === LINE_FEED) {
        events += 1;
        completeEnd = boundary + 2;
        boundary = bytes.indexOf(LINE_FEED, completeEnd);
      } else {
        boundary = bytes.indexOf(LINE_FEED, boundary + 1);
      }
    }
    if (bytes.length - completeEnd > MAX_EVENT_BYTES) return undefined;
    this.#remainder = completeEnd < bytes.length
      ? bytes.subarray(completeEnd)
      : undefined;
    if (events === 0) return NO_EVENTS;
    const complete = bytes.subarray(0, completeEnd);
    const ended = endsWithMarker(complete);
    return { bytes: complete, events: ended ? events - 1 : events, ended };
  }

  #prependRemainder(chunk: Uint8Array): Buffer {
    const incoming = Buffer.from(
      chunk.buffer,
      chunk.byteOffset,
      chunk.byteLength,
    );
    return this.#remainder === undefined
      ? incoming
      : Buffer.concat([this.#remainder, incoming]);
  }
}

function endsWithMarker(bytes: Uint8Array): boolean {
  if (bytes.length < END_MARKER.length) return false;
  const tail = bytes.subarray(bytes.length - END_MARKER.length);
  return END_MARKER.equals(tail);
}
