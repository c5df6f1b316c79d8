/**
 * Which events of a stream the caller has, and which one must come next.
 *
 * @module
 */
import type { EventBlock } from "./event_block.ts";
import type { EventNumbering } from "./event_numbering.ts";
import type { StreamFault, StreamFaultKind } from "./stream_fault.ts";

const FIRST_ID = 1;

/** What a stream's ids are checked against. */
export interface StreamPositionOptions {
  /** Id of the last event that the caller received before. */
  readonly lastEventId: string | undefined;
  /** Whether another attempt may continue the stream. */
  readonly isResumable: boolean;
  /** What the service's streams have shown so far. */
  readonly numbering: EventNumbering;
}

/**
 * Checks the ids of successive attempts.
 *
 * Ids are consecutive within an attempt. A stream that may be resumed begins with
 * id 1; an attempt that continues one begins with the next event, or with events
 * that the caller has already. What deviates from that is a fault, unless the
 * attempt before, at another upstream, ended at the same place with the same
 * deviation: then the service numbers its events that way. Such a stream is
 * forwarded from one attempt, and never continued.
 */
export class StreamPosition {
  readonly #options: StreamPositionOptions;
  #numbering: EventNumbering;
  #lastId: number | undefined;
  /** Number of events that the caller got from this response. */
  #newEvents = 0;
  /** Whether the last new event's id was confirmed by a second fact. */
  #isConfirmed = true;
  /** Whether all new events are numbered from 1, without gaps. */
  #isDense = true;
  /** Place and deviation at which the attempt before ended. */
  #doubt: string | undefined;
  #hasAgreement = false;
  /** Id of the last event of the current attempt. */
  #shownId: number | undefined;
  #shownEvents = 0;
  #newEventsOfAttempt = 0;
  /** Whether counted events have ids; undefined before the first. */
  #hasIds: boolean | undefined;
  /** Whether the ids of the current attempt are the places of its events. */
  #checksIds = false;

  constructor(options: StreamPositionOptions) {
    this.#options = options;
    this.#lastId = parseLastEventId(options.lastEventId);
    // A caller that names an id has seen events with ids.
    const hasIds = this.#lastId !== undefined;
    this.#numbering = hasIds && options.numbering === "opaque"
      ? "consecutive"
      : options.numbering;
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
    if (this.#newEvents === 0) return true;
    return this.#isConfirmed &&
      (this.#numbering === "consecutive" || this.#numbering === "counted");
  }

  /**
   * What a complete response shows of its service; undefined if nothing else than
   * was expected.
   */
  get observedNumbering(): EventNumbering | undefined {
    if (this.#hasAgreement) return this.#numbering;
    const isFresh = this.#options.lastEventId === undefined;
    return this.#options.numbering !== "consecutive" && isFresh &&
        this.#isDense && this.#newEvents > 1
      ? "consecutive"
      : undefined;
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
      return this.#acceptUnreadable(block.detail);
    }
    const id = block.kind === "event" ? block.id : undefined;
    if (this.#numbering === "counted") return this.#count(id);
    if (id === undefined) {
      return this.#acceptUnreadable("an event without an id");
    }
    if (this.#numbering === "opaque") {
      if (this.#newEvents > 0) return this.#fault("order", `id ${id}`);
      this.#numbering = "consecutive";
    }
    const kind = this.#findDeviation(id);
    if (kind !== undefined) {
      const detail = `id ${id}`;
      if (!this.#isAgreed(kind, detail)) return this.#fault(kind, detail);
      this.#numbering = "increasing";
    }
    return this.#record(id);
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
    return this.#fault("incomplete", `ended with id ${this.#shownId}`);
  }

  /** Accepts an event without a readable id in a stream that has no others. */
  #acceptUnreadable(detail: string): "new" | StreamFault {
    const isFirst = this.#newEvents === 0 && this.#shownEvents === 0 &&
      this.#lastId === undefined;
    const mayBegin = this.#numbering === "opaque" ||
      !this.#options.isResumable || this.#isAgreed("unreadable", "");
    const isAllowed = isFirst ? mayBegin : this.#numbering === "opaque";
    if (!isAllowed) return this.#fault("unreadable", detail);
    this.#numbering = "opaque";
    this.#isDense = false;
    this.#newEvents += 1;
    return "new";
  }

  /**
   * Accepts an event of a stream whose events are counted. All have ids, or none
   * has; they are checked if the first one of the attempt is its place.
   */
  #count(id: number | undefined): "new" | StreamFault {
    const place = (this.#lastId ?? 0) + 1;
    this.#hasIds ??= id !== undefined;
    if (this.#hasIds !== (id !== undefined)) {
      // The first event may be the one whose id was spoiled.
      if (this.#newEvents === 1) this.#isConfirmed = false;
      const detail = id === undefined ? "an event without an id" : `id ${id}`;
      return this.#fault("unreadable", detail);
    }
    if (this.#shownEvents === 0) this.#checksIds = id === place;
    if (id !== undefined && this.#checksIds && id !== place) {
      return this.#fault(id > place ? "gap" : "order", `id ${id}`);
    }
    this.#shownId = place;
    this.#shownEvents += 1;
    this.#newEvents += 1;
    this.#newEventsOfAttempt += 1;
    this.#lastId = place;
    return "new";
  }

  /** Returns how an id deviates from what must come next. */
  #findDeviation(id: number): "gap" | "order" | undefined {
    const isFirst = this.#shownId === undefined;
    if (this.#numbering === "increasing") {
      const floor = this.#shownId ?? this.#lastId;
      return floor === undefined || id > floor ? undefined : "order";
    }
    const expected = this.#shownId === undefined
      ? this.#expectedFirstId()
      : this.#shownId + 1;
    if (expected === undefined || id === expected) return undefined;
    if (id > expected) return "gap";
    // An attempt may begin with events that the caller has.
    return isFirst && this.#lastId !== undefined ? undefined : "order";
  }

  /** Returns the id of an attempt's first event; undefined for any. */
  #expectedFirstId(): number | undefined {
    if (this.#lastId !== undefined) return this.#lastId + 1;
    const { isResumable, lastEventId } = this.#options;
    return isResumable && lastEventId === undefined ? FIRST_ID : undefined;
  }

  /**
   * Whether the attempt before ended with the same deviation at the same place,
   * with which the current one begins.
   */
  #isAgreed(kind: StreamFaultKind, detail: string): boolean {
    const doubt = `${this.#lastId} ${kind} ${detail}`;
    const isAgreed = this.#shownEvents === 0 && this.#doubt === doubt;
    this.#doubt = doubt;
    this.#hasAgreement ||= isAgreed;
    return isAgreed;
  }

  #record(id: number): "new" | "duplicate" {
    const isFirst = this.#shownEvents === 0;
    this.#shownId = id;
    this.#shownEvents += 1;
    if (this.#lastId !== undefined && id <= this.#lastId) return "duplicate";
    const isBeginning = this.#lastId === undefined &&
      this.#options.lastEventId === undefined && id === FIRST_ID;
    this.#isConfirmed = !isFirst || isBeginning;
    this.#newEvents += 1;
    this.#isDense &&= id === this.#newEvents;
    this.#newEventsOfAttempt += 1;
    this.#lastId = id;
    return "new";
  }

  #fault(kind: StreamFaultKind, detail: string): StreamFault {
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
