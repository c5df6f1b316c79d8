/**
 * What a block of a server-sent event stream contains.
 *
 * @module
 */
import type { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
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
  /** `data: [DONE]`, which has no id. */
  | { readonly kind: "end_marker" }
  | { readonly kind: "event"; readonly id: number }
  /** An event of which it can't be told which one it is, or whether it is one. */
  | { readonly kind: "unreadable"; readonly detail: string };

/**
 * Parses the fields of a block. Each event has data and one numeric id. Any byte
 * of a field's name, an id or a line end that is wrong makes it unreadable, or a
 * block with another id: a name that is one edit away from that of a standard
 * field, and a comment after a field, are not taken for an extension.
 *
 * @example
 * ```ts
 * parseEventBlock(Buffer.from("id: 7\ndata: x\n\n")); // { kind: "event", id: 7 }
 * parseEventBlock(Buffer.from("id: 7\ndbta: x\n\n")).kind; // "unreadable"
 * ```
 *
 * @see https://html.spec.whatwg.org/multipage/server-sent-events.html
 */
export function parseEventBlock(bytes: Buffer): EventBlock {
  let id: number | undefined;
  let hasData = false;
  let hasField = false;
  const endsWithReturn = bytes[bytes.length - 2] === CARRIAGE_RETURN;
  for (let at = 0; at < bytes.length;) {
    const lineFeed = bytes.indexOf(LINE_FEED, at);
    const end = lineFeed > at && bytes[lineFeed - 1] === CARRIAGE_RETURN
      ? lineFeed - 1
      : lineFeed;
    // Otherwise a wrong byte in place of the carriage return would join the data.
    if (endsWithReturn && end === lineFeed) {
      return unreadable("mixed line ends");
    }
    if (bytes[at] === COLON) {
      if (hasField) return unreadable("a comment within an event");
      if (isDamagedField(bytes, at, end)) {
        return unreadable(`comment ${quote(bytes, at, end)}`);
      }
    } else if (startsWithData(bytes, at)) {
      hasData = true;
      hasField = true;
    } else if (startsWithId(bytes, at)) {
      if (id !== undefined) return unreadable("two ids");
      id = parseId(bytes, at + 3, end);
      if (id === undefined) {
        return unreadable(`id ${quote(bytes, at + 3, end)}`);
      }
      hasField = true;
    } else if (end > at) {
      const name = fieldName(bytes, at, end);
      if (name === undefined) return unreadable("a line without a field");
      if (isDamaged(name)) {
        return unreadable(`field ${quote(bytes, at, at + name.length)}`);
      }
      hasData ||= name === "data";
      hasField = true;
    }
    at = lineFeed + 1;
  }
  if (id !== undefined) {
    return hasData
      ? { kind: "event", id }
      : unreadable(`id ${id} without data`);
  }
  if (!hasData) return { kind: "control" };
  return bytes.toString("latin1").trim() === END_MARKER
    ? { kind: "end_marker" }
    : unreadable("an event without an id");
}

function unreadable(detail: string): EventBlock {
  return { kind: "unreadable", detail };
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
 * Returns the name of a line's field; undefined if it has none. Only `data` may
 * have no colon, as its value may be empty.
 */
function fieldName(bytes: Buffer, at: number, end: number): string | undefined {
  const colon = bytes.indexOf(COLON, at);
  const hasColon = colon >= 0 && colon < end;
  const name = bytes.toString("latin1", at, hasColon ? colon : end);
  return hasColon || name === "data" ? name : undefined;
}

/** Whether a comment is a standard field whose first byte became a colon. */
function isDamagedField(bytes: Buffer, at: number, end: number): boolean {
  const text = bytes.toString("latin1", at + 1, Math.min(end, at + 8));
  return FIELD_NAMES.some((name) => text.startsWith(`${name.slice(1)}:`));
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
