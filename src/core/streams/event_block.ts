/**
 * What a block of a server-sent event stream contains.
 *
 * @module
 */
import type { Buffer } from "node:buffer";

const COLON = 0x3a;
const SPACE = 0x20;
const ZERO = 0x30;
const NINE = 0x39;
/** Ids with more digits are not exact as a number. */
const MAX_ID_DIGITS = 15;
const FIELD_NAMES = ["data", "id", "event", "retry"];
const EXTENSION_NAME = /^[A-Za-z][\w-]*$/;
/** Length up to which a part of a block is quoted. */
const MAX_QUOTED_LENGTH = 16;
/** Marker after the last event that some engines send. */
const END_MARKER = "data: [DONE]";

/** One block: an event, or what only accompanies events. */
export type EventBlock =
  /** Comments, and fields without an id and data. */
  | { readonly kind: "control" }
  /** `data: [DONE]`, with an id or none. */
  | { readonly kind: "end_marker" }
  | { readonly kind: "event"; readonly id: number }
  /** An event without an id, but otherwise sound. */
  | { readonly kind: "unnumbered" }
  /** An event whose identity is ambiguous, or several events joined into one. */
  | { readonly kind: "unreadable"; readonly detail: string };

const CONTROL: EventBlock = { kind: "control" };
const END: EventBlock = { kind: "end_marker" };
const UNNUMBERED: EventBlock = { kind: "unnumbered" };

/**
 * Parses the lines of one block after the other. Each event has data, and one numeric
 * id or none. Any byte of a field's name, an id or a line end that is wrong makes an
 * event unreadable, or one with another id: a name that is one edit away from that of
 * a standard field, and a comment after a field, are rejected.
 *
 * @example
 * ```ts
 * parser.addLine(Buffer.from("id: 7"), 0, 5, false);
 * parser.addLine(Buffer.from("data: x"), 0, 7, false);
 * parser.endBlock(false); // { kind: "event", id: 7 }
 * ```
 *
 * @see https://html.spec.whatwg.org/multipage/server-sent-events.html
 */
export class EventBlockParser {
  #id: number | undefined;
  #hasEndMarker = false;
  /** Number of lines with data. */
  #dataCount = 0;
  /** Number of lines with a field. */
  #fieldCount = 0;
  /** Whether a line ended without a carriage return. */
  #hasBareLine = false;
  #defect: string | undefined;

  /** Adds the line between two positions, which is not empty. */
  addLine(bytes: Buffer, at: number, end: number, hasReturn: boolean): void {
    if (!hasReturn) this.#hasBareLine = true;
    if (bytes[at] === COLON) {
      this.#defect ??= this.#findDefectOfComment(bytes, at, end);
      return;
    }
    this.#fieldCount += 1;
    if (startsWithData(bytes, at)) {
      this.#dataCount += 1;
      this.#hasEndMarker ||= isEndMarker(bytes, at, end);
    } else if (startsWithId(bytes, at)) {
      this.#addId(bytes, at + 3, end);
    } else this.#defect ??= findDefectOfField(bytes, at, end);
  }

  /** Returns the block that an empty line ends, and begins the next one. */
  endBlock(hasReturn: boolean): EventBlock {
    // Otherwise a wrong byte in place of the carriage return would join the data.
    if (hasReturn && this.#hasBareLine) this.#defect ??= "mixed line ends";
    const block = this.#toBlock();
    this.reset();
    return block;
  }

  /** Forgets the lines of a block that is not complete. */
  reset(): void {
    this.#id = undefined;
    this.#hasEndMarker = false;
    this.#dataCount = 0;
    this.#fieldCount = 0;
    this.#hasBareLine = false;
    this.#defect = undefined;
  }

  #toBlock(): EventBlock {
    const id = this.#id;
    if (this.#defect !== undefined) return unreadable(this.#defect);
    const hasData = this.#dataCount > 0;
    if (this.#hasEndMarker) {
      // A spoiled line end joins it to the last event.
      return this.#dataCount === 1
        ? END
        : unreadable("an end marker within an event");
    }
    if (id === undefined) return hasData ? UNNUMBERED : CONTROL;
    return hasData
      ? { kind: "event", id }
      : unreadable(`id ${id} without data`);
  }

  #addId(bytes: Buffer, at: number, end: number): void {
    if (this.#id !== undefined) this.#defect ??= "two ids";
    this.#id = parseId(bytes, at, end);
    if (this.#id === undefined) this.#defect ??= `id ${quote(bytes, at, end)}`;
  }

  /** Returns what is wrong with a comment, which may precede the fields. */
  #findDefectOfComment(
    bytes: Buffer,
    at: number,
    end: number,
  ): string | undefined {
    if (this.#fieldCount > 0) return "a comment within an event";
    // A standard field whose first byte became a colon.
    const text = bytes.toString("latin1", at + 1, Math.min(end, at + 8));
    return FIELD_NAMES.some((name) => text.startsWith(`${name.slice(1)}:`))
      ? `comment ${quote(bytes, at, end)}`
      : undefined;
  }
}

function unreadable(detail: string): EventBlock {
  return { kind: "unreadable", detail };
}

/** Returns what is wrong with a line that is neither `data` nor `id`. */
function findDefectOfField(
  bytes: Buffer,
  at: number,
  end: number,
): string | undefined {
  const colon = bytes.indexOf(COLON, at);
  if (colon < 0 || colon >= end) return "a line without a field";
  return isDamaged(bytes.toString("latin1", at, colon))
    ? `field ${quote(bytes, at, colon)}`
    : undefined;
}

function isEndMarker(bytes: Buffer, at: number, end: number): boolean {
  return end - at === END_MARKER.length &&
    bytes.toString("latin1", at, end) === END_MARKER;
}

function startsWithData(bytes: Buffer, at: number): boolean {
  return bytes[at] === 0x64 && bytes[at + 1] === 0x61 &&
    bytes[at + 2] === 0x74 && bytes[at + 3] === 0x61 &&
    bytes[at + 4] === COLON;
}

function startsWithId(bytes: Buffer, at: number): boolean {
  return bytes[at] === 0x69 && bytes[at + 1] === 0x64 &&
    bytes[at + 2] === COLON;
}

/** Returns an id that consists of digits, after a space or none. */
function parseId(bytes: Buffer, from: number, end: number): number | undefined {
  const start = bytes[from] === SPACE ? from + 1 : from;
  const digits = end - start;
  if (digits < 1 || digits > MAX_ID_DIGITS) return undefined;
  let id = 0;
  for (let at = start; at < end; at++) {
    const byte = bytes[at];
    if (byte < ZERO || byte > NINE) return undefined;
    id = id * 10 + byte - ZERO;
  }
  return id;
}

/**
 * Whether a name is no possible one, or may be a standard one with a wrong byte:
 * in its letters, or in place of the colon or with a colon before it.
 */
function isDamaged(name: string): boolean {
  // An id with a colon directly after it was handled before.
  if (FIELD_NAMES.includes(name)) return false;
  return !EXTENSION_NAME.test(name) ||
    FIELD_NAMES.some((known) =>
      name.startsWith(known) || known.startsWith(name) ||
      isOneEditAway(name, known)
    );
}

function isOneEditAway(text: string, word: string): boolean {
  let same = 0;
  while (same < word.length && text[same] === word[same]) same += 1;
  const rest = text.slice(same);
  const wordRest = word.slice(same);
  return rest.slice(1) === wordRest.slice(1) || rest.slice(1) === wordRest ||
    rest === wordRest.slice(1);
}

function quote(bytes: Buffer, from: number, to: number): string {
  const end = Math.min(to, from + MAX_QUOTED_LENGTH);
  return JSON.stringify(bytes.toString("latin1", from, end));
}
