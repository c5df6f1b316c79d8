/**
 * Splices the event streams of several attempts into one.
 *
 * @module
 */
import type { EventBlock } from "./event_block.ts";
import type { EventNumbering } from "./event_numbering.ts";
import { EventReader } from "./event_reader.ts";
import type { StreamFault } from "./stream_fault.ts";
import type { StreamPositionOptions } from "./stream_position.ts";
import { StreamPosition } from "./stream_position.ts";

/** Maximum size of an event, in bytes. */
export const MAX_EVENT_BYTES = 1_048_576;

const TOO_LARGE: StreamFault = {
  kind: "too_large",
  detail: `an event of over ${MAX_EVENT_BYTES} bytes`,
};

/** Events that the caller does not have yet. */
export interface SplicedEvents {
  /** Bytes of the events, where possible of several in one chunk. */
  readonly chunks: readonly Uint8Array[];
  /** Number of events, without comments, which only keep a connection open. */
  readonly eventCount: number;
  /** Whether the last of them is followed by an end marker, which is included. */
  readonly hasEndMarker: boolean;
  /** Why nothing more of the attempt can be forwarded. */
  readonly fault: StreamFault | undefined;
}

/** Options of a {@linkcode StreamSplice}. */
export type SpliceOptions = StreamPositionOptions;

/**
 * Extracts complete events from the bytes of successive attempts and leaves out
 * those that the caller has, so that a response that ends as complete holds each
 * event once, in order.
 *
 * @example
 * ```ts
 * const { chunks, fault } = splice.push(bytes);
 * for (const chunk of chunks) response.write(chunk);
 * if (fault !== undefined) splice.beginAttempt();
 * ```
 */
export class StreamSplice {
  readonly #reader = new EventReader();
  readonly #position: StreamPosition;

  constructor(options: SpliceOptions) {
    this.#position = new StreamPosition(options);
  }

  /** Id after which another attempt must go on; undefined for the beginning. */
  get lastEventId(): string | undefined {
    return this.#position.lastEventId;
  }

  /** Whether another attempt can continue the stream. */
  get canContinue(): boolean {
    return this.#position.canContinue;
  }

  /**
   * What a complete response shows of its service; undefined if nothing else than
   * was expected.
   */
  get observedNumbering(): EventNumbering | undefined {
    return this.#position.observedNumbering;
  }

  /** Discards the incomplete event of an attempt that ended. */
  beginAttempt(): void {
    this.#reader.discard();
    this.#position.beginAttempt();
  }

  /**
   * Adds bytes of the current attempt and returns the new events that they
   * complete, up to the first fault. {@linkcode lastEventId} includes all of them,
   * so they must be written to the caller even if there is a fault.
   */
  push(chunk: Uint8Array): SplicedEvents {
    const reader = this.#reader;
    const chunks: Uint8Array[] = [];
    let eventCount = 0;
    let hasEndMarker = false;
    let fault: StreamFault | undefined;
    reader.append(chunk);
    /** Position of the first block that is not in `chunks` yet. */
    let start = 0;
    let end = 0;
    for (let block = reader.next(); block; block = reader.next()) {
      const outcome = this.#position.accept(block);
      if (typeof outcome === "object") {
        fault = outcome;
        break;
      }
      if (outcome === "duplicate") {
        if (end > start) chunks.push(reader.slice(start, end));
        start = reader.blockEnd;
      } else {
        if (isEvent(block)) eventCount += 1;
        hasEndMarker = block.kind === "end_marker";
      }
      end = reader.blockEnd;
    }
    if (end > start) chunks.push(reader.slice(start, end));
    reader.dropComplete();
    if (reader.pendingBytes > MAX_EVENT_BYTES) fault ??= TOO_LARGE;
    return { chunks, eventCount, hasEndMarker, fault };
  }

  /**
   * Returns why the current attempt's end is not the end of the stream; undefined
   * if it may be.
   */
  checkEnd(): StreamFault | undefined {
    if (this.#reader.pendingBytes > 0) {
      return { kind: "incomplete", detail: "ended within an event" };
    }
    return this.#position.checkEnd();
  }
}

function isEvent({ kind }: EventBlock): boolean {
  return kind !== "control" && kind !== "end_marker";
}
