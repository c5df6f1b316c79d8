/**
 * Splices the event streams of several attempts into one without duplicates.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from("id:");
/** Maximum size of an event, in bytes. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Events to forward to the caller. */
export interface SplicedEvents {
  /** Complete events that the caller does not have yet. */
  readonly chunks: readonly Uint8Array[];
  readonly eventCount: number;
}

/** Forwards complete events with consecutive ids. */
export class StreamSplice {
  #lastId: number | undefined;
  #partialEvent: Buffer | undefined;
  #scannedBytes = 0;

  constructor(lastEventId: string | undefined) {
    const id = Number(lastEventId);
    this.#lastId = lastEventId !== undefined && Number.isFinite(id)
      ? id
      : undefined;
  }

  /** Id of the last event that was forwarded. */
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

  /** Returns the new events; undefined if one is missing or too large. */
  push(chunk: Uint8Array): SplicedEvents | undefined {
    const bytes = this.#prependPartial(chunk);
    const chunks: Uint8Array[] = [];
    let events = 0;
    let from = 0;
    let at = bytes.indexOf(LINE_FEED, this.#scannedBytes);
    while (at >= 0) {
      if (bytes[at + 1] === LINE_FEED) {
        const event = bytes.subarray(from, at + 2);
        from = at + 2;
        const outcome = this.#acceptEvent(event);
        if (outcome === "broken") return undefined;
        if (outcome === "new") {
          chunks.push(event);
          events += 1;
        }
        at = bytes.indexOf(LINE_FEED, from);
      } else {
        at = bytes.indexOf(LINE_FEED, at + 1);
      }
    }
    if (bytes.length - from > MAX_EVENT_BYTES) return undefined;
    this.#partialEvent = from < bytes.length ? bytes.subarray(from) : undefined;
    this.#scannedBytes = Math.max(0, bytes.length - from - 1);
    return { chunks: joinAdjacent(chunks), eventCount: events };
  }

  #acceptEvent(event: Buffer): "new" | "known" | "broken" {
    const id = parseEventId(event);
    if (id === undefined) return "new";
    if (this.#lastId !== undefined) {
      if (id <= this.#lastId) return "known";
      if (id > this.#lastId + 1) return "broken";
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
