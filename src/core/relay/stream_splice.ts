/**
 * Splices the event streams of several attempts into one without duplicates.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { StreamFault } from "./stream_fault.ts";

const LINE_FEED = 0x0a;
const COLON = 0x3a;
const ID_FIELD = Buffer.from("id:");
/** Maximum size of an event, in bytes. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Events that the caller does not have yet. */
export interface SplicedEvents {
  /** Bytes of the events, where possible of several in one chunk. */
  readonly chunks: readonly Uint8Array[];
  /** Number of events, without comments, which only keep a connection open. */
  readonly eventCount: number;
  /** Why nothing more of the attempt can be forwarded. */
  readonly fault: StreamFault | undefined;
}

/**
 * Extracts complete events from the bytes of successive attempts, and skips those
 * that an earlier attempt delivered. Event ids must be consecutive.
 */
export class StreamSplice {
  #lastId: number | undefined;
  #partialEvent: Buffer | undefined;
  /** Number of bytes of the partial event that were searched for its end. */
  #scannedBytes = 0;

  constructor(lastEventId: string | undefined) {
    const id = Number(lastEventId);
    this.#lastId = lastEventId !== undefined && Number.isFinite(id)
      ? id
      : undefined;
  }

  /**
   * Id of the last event that {@linkcode push} returned, or else of the last one
   * that the caller received before; undefined if neither has a numeric id.
   */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent !== undefined;
  }

  /** Discards the incomplete event of an attempt that ended. */
  discardPartial(): void {
    this.#partialEvent = undefined;
    this.#scannedBytes = 0;
  }

  /**
   * Adds bytes of the current attempt and returns the new events that they
   * complete, up to the first fault. {@linkcode lastId} includes all of them, so
   * they must be written to the caller even if there is a fault.
   */
  push(chunk: Uint8Array): SplicedEvents {
    const bytes = this.#prependPartial(chunk);
    const chunks: Uint8Array[] = [];
    let eventCount = 0;
    let fault: StreamFault | undefined;
    let start = 0;
    let lineEnd = bytes.indexOf(LINE_FEED, this.#scannedBytes);
    while (lineEnd >= 0 && fault === undefined) {
      if (bytes[lineEnd + 1] === LINE_FEED) {
        const event = bytes.subarray(start, lineEnd + 2);
        start = lineEnd + 2;
        const outcome = this.#acceptEvent(event);
        if (outcome === "new") {
          chunks.push(event);
          if (!isComment(event)) eventCount += 1;
        } else if (outcome !== "duplicate") fault = outcome;
        lineEnd = bytes.indexOf(LINE_FEED, start);
      } else {
        lineEnd = bytes.indexOf(LINE_FEED, lineEnd + 1);
      }
    }
    if (fault === undefined && bytes.length - start > MAX_EVENT_BYTES) {
      const detail = `an event of over ${MAX_EVENT_BYTES} bytes`;
      fault = { kind: "too_large", detail };
    }
    this.#partialEvent = start < bytes.length
      ? bytes.subarray(start)
      : undefined;
    this.#scannedBytes = Math.max(0, bytes.length - start - 1);
    return { chunks: joinAdjacent(chunks), eventCount, fault };
  }

  #acceptEvent(event: Buffer): "new" | "duplicate" | StreamFault {
    const id = parseEventId(event);
    if (id === undefined) return "new";
    if (this.#lastId !== undefined) {
      if (id <= this.#lastId) return "duplicate";
      if (id > this.#lastId + 1) {
        return { kind: "gap", detail: `id ${id} after ${this.#lastId}` };
      }
    }
    this.#lastId = id;
    return "new";
  }

  #prependPartial(chunk: Uint8Array): Buffer {
    const incoming = Buffer.from(
      chunk.buffer,
      chunk.byteOffset,
      chunk.byteLength,
    );
    if (this.#partialEvent !== undefined) {
      return Buffer.concat([this.#partialEvent, incoming]);
    }
    this.#scannedBytes = 0;
    return incoming;
  }
}

/** Whether no line of the event has a field. */
function isComment(event: Buffer): boolean {
  let at = 0;
  while (at < event.length) {
    if (event[at] !== COLON && event[at] !== LINE_FEED) return false;
    at = event.indexOf(LINE_FEED, at) + 1;
  }
  return true;
}

function parseEventId(event: Buffer): number | undefined {
  let at = event.indexOf(ID_FIELD);
  while (at > 0 && event[at - 1] !== LINE_FEED) {
    at = event.indexOf(ID_FIELD, at + 1);
  }
  if (at < 0) return undefined;
  const end = event.indexOf(LINE_FEED, at);
  const id = Number(event.toString("latin1", at + ID_FIELD.length, end));
  return Number.isFinite(id) ? id : undefined;
}

/** Merges events that are adjacent in memory, to write them at once. */
function joinAdjacent(chunks: Uint8Array[]): Uint8Array[] {
  if (chunks.length < 2) return chunks;
  const joined: Uint8Array[] = [];
  for (const chunk of chunks) {
    const last = joined.at(-1);
    const adjacent = last !== undefined && last.buffer === chunk.buffer &&
      last.byteOffset + last.byteLength === chunk.byteOffset;
    if (!adjacent) {
      joined.push(chunk);
      continue;
    }
    const length = last.byteLength + chunk.byteLength;
    joined[joined.length - 1] = new Uint8Array(
      last.buffer,
      last.byteOffset,
      length,
    );
  }
  return joined;
}
