/**
 * Which events of a stream the caller has, and which one must come next.
 *
 * @module
 */
import type { EventBlock } from "./event_block.ts";
import type { StreamFault } from "./stream_fault.ts";

const FIRST_ID = 1;

/** What a stream's ids are checked against. */
export interface StreamPositionOptions {
  /** Id of the last event that the caller received before. */
  readonly lastEventId: string | undefined;
  /** Whether another attempt may continue the stream. */
  readonly isResumable: boolean;
}

/**
 * Checks the ids of successive attempts. Ids are consecutive within an attempt.
 * A stream that may be resumed begins with id 1; an attempt that continues one
 * begins with the next event, or with events that the caller has already.
 */
export class StreamPosition {
  readonly #options: StreamPositionOptions;
  #lastId: number | undefined;
  #hasNewEvents = false;
  /** Whether the last new event's id was confirmed by a second fact. */
  #isConfirmed = true;
  /** Id of the last event of the current attempt. */
  #shownId: number | undefined;
  #shownEvents = 0;
  #newEventsOfAttempt = 0;

  constructor(options: StreamPositionOptions) {
    this.#options = options;
    this.#lastId = parseLastEventId(options.lastEventId);
  }

  /** Id after which another attempt must go on; undefined for the beginning. */
  get lastEventId(): string | undefined {
    return this.#lastId === undefined
      ? this.#options.lastEventId
      : String(this.#lastId);
  }

  /**
   * Whether another attempt can continue the stream: the caller has no event of
   * it, or the id of its last event is certain. One that was shown by the first
   * event of an attempt alone may be wrong.
   */
  get canContinue(): boolean {
    return !this.#hasNewEvents || this.#isConfirmed;
  }

  /** Forgets what the current attempt has shown. */
  beginAttempt(): void {
    this.#shownId = undefined;
    this.#shownEvents = 0;
    this.#newEventsOfAttempt = 0;
  }

  /**
   * Returns whether a block is new to the caller, or why the attempt can't go on.
   * The position moves with each new event, so that it must be written.
   */
  accept(block: EventBlock): "new" | "duplicate" | StreamFault {
    if (block.kind === "control" || block.kind === "end_marker") return "new";
    if (block.kind === "unreadable") {
      return this.#fault("unreadable", block.detail);
    }
    return this.#checkId(block.id) ?? this.#record(block.id);
  }

  /**
   * Returns why the current attempt's end is not the end of the stream; undefined
   * if it may be.
   */
  checkEnd(): StreamFault | undefined {
    if (this.#shownId === undefined || this.#lastId === undefined) {
      return undefined;
    }
    // A single event that repeats the last one may be the next, with a wrong id.
    const isUncertain = this.#newEventsOfAttempt === 0 &&
      this.#shownEvents === 1;
    if (this.#shownId >= this.#lastId && !isUncertain) return undefined;
    const detail = `ended with id ${this.#shownId}`;
    return this.#fault("incomplete", detail);
  }

  #checkId(id: number): StreamFault | undefined {
    const expected = this.#shownId === undefined
      ? this.#expectedFirstId()
      : this.#shownId + 1;
    if (expected === undefined || id === expected) return undefined;
    if (id > expected) return this.#fault("gap", `id ${id}`);
    const isRepetition = this.#shownId === undefined &&
      this.#lastId !== undefined;
    return isRepetition ? undefined : this.#fault("order", `id ${id}`);
  }

  /** Returns the id of an attempt's first event; undefined for any. */
  #expectedFirstId(): number | undefined {
    if (this.#lastId !== undefined) return this.#lastId + 1;
    const { isResumable, lastEventId } = this.#options;
    return isResumable && lastEventId === undefined ? FIRST_ID : undefined;
  }

  #record(id: number): "new" | "duplicate" {
    const isFirst = this.#shownEvents === 0;
    this.#shownId = id;
    this.#shownEvents += 1;
    if (this.#lastId !== undefined && id <= this.#lastId) return "duplicate";
    const isBeginning = this.#lastId === undefined &&
      this.#options.lastEventId === undefined && id === FIRST_ID;
    this.#isConfirmed = !isFirst || isBeginning;
    this.#hasNewEvents = true;
    this.#newEventsOfAttempt += 1;
    this.#lastId = id;
    return "new";
  }

  #fault(kind: StreamFault["kind"], detail: string): StreamFault {
    const after = this.#shownId ?? this.#lastId;
    const place = after === undefined ? "as the first event" : `after ${after}`;
    return { kind, detail: `${detail} ${place}` };
  }
}

function parseLastEventId(text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,15}$/.test(text)
    ? Number(text)
    : undefined;
}
