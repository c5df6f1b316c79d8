/**
 * Generated streams with one wrong byte outside their data, and a model of what a
 * caller reads from a response.
 */
import { Buffer } from "node:buffer";
import fc from "fast-check";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import type { CallerResponse } from "../../src/core/gateway/caller_request.ts";
import { ResponseWriter } from "../../src/core/gateway/response_writer.ts";
import type { RelayResponse } from "../../src/core/relay/relay_request.ts";
import type { EventNumbering } from "../../src/core/streams/mod.ts";
import { StreamResponseWriter } from "../../src/core/relay/relay_response_writer.ts";

const LAST_ID = 12;
/** Bytes that are more likely to pass for sound ones. */
const LIKELY_BYTES = [..."0123456789iddata:x -\n\r"].map((c) =>
  c.charCodeAt(0)
);

/** How an upstream formats its events. */
interface StreamFormat {
  readonly lineEnd: "\n" | "\r\n";
  readonly separator: ": " | ":";
  readonly isIdFirst: boolean;
  readonly hasIds: boolean;
  /** Lines or blocks before an event, by the event's id. */
  readonly prefixes: readonly ("" | "comment" | "extension" | "ping")[];
  /** Value of each event's data; the last line of an event with two differs. */
  readonly values: readonly string[];
  readonly hasTwoLines: boolean;
}

/** How one attempt's upstream responds. */
interface AttemptPlan {
  /** Number of events before the one that was asked for; all if Infinity. */
  readonly overlap: number;
  /** Share of the bytes after which the connection is reset; 1 for none. */
  readonly cutShare: number;
  /** Sizes of the chunks, repeated. */
  readonly chunkSizes: readonly number[];
}

/** A response's attempts, and the byte that is wrong in one of them. */
export interface SpoiledStream {
  readonly format: StreamFormat;
  readonly attempts: readonly AttemptPlan[];
  readonly spoiledAttempt: number;
  /** Position among the bytes outside the data, as a share of their number. */
  readonly position: number;
  readonly wrongByte: number;
  /** Number of events that the caller had before; 0 if it does not resume. */
  readonly callerEvents: number;
  /** What the service's streams showed before. */
  readonly numbering: EventNumbering;
}

/** What the caller got. */
export interface SplicedResponse {
  readonly isComplete: boolean;
  /** Data of the events. */
  readonly values: readonly string[];
}

const prefix = fc.constantFrom(
  "" as const,
  "" as const,
  "comment" as const,
  "extension" as const,
  "ping" as const,
);

const format: fc.Arbitrary<StreamFormat> = fc.record({
  lineEnd: fc.constantFrom("\n" as const, "\r\n" as const),
  separator: fc.constantFrom(": " as const, ":" as const),
  isIdFirst: fc.boolean(),
  hasIds: fc.constant(true),
  prefixes: fc.array(prefix, { minLength: LAST_ID, maxLength: LAST_ID }),
  values: fc.array(
    fc.stringMatching(/^[a-z0-9:{}][a-z0-9:{} ]{0,6}$/),
    { minLength: LAST_ID, maxLength: LAST_ID },
  ),
  hasTwoLines: fc.boolean(),
});

const chunkSizes = fc.array(fc.integer({ min: 1, max: 200 }), {
  minLength: 1,
  maxLength: 8,
});

const wrongByte = fc.oneof(
  fc.constantFrom(...LIKELY_BYTES),
  fc.integer({ min: 0, max: 255 }),
);

const share = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });

/** Attempts that may be cut off anywhere. */
function anyAttempts(
  overlap: fc.Arbitrary<number>,
): fc.Arbitrary<AttemptPlan[]> {
  const cutShare = fc.oneof(fc.constant(1), share);
  return fc.array(
    fc.record({ overlap, cutShare, chunkSizes }),
    { minLength: 1, maxLength: 4 },
  );
}

/** Attempts that repeat events, begin afresh, and are cut off anywhere. */
export const anySpoiledStream: fc.Arbitrary<SpoiledStream> = fc.record({
  format,
  attempts: anyAttempts(fc.constantFrom(0, 0, 1, 2, Infinity)),
  spoiledAttempt: fc.integer({ min: 0, max: 3 }),
  position: share,
  wrongByte,
  callerEvents: fc.constantFrom(0, 0, 3, LAST_ID),
  numbering: fc.constantFrom("consecutive", "increasing", "opaque"),
});

/** A first attempt with a wrong byte, and a sound one after it. */
export const spoiledThenSound: fc.Arbitrary<SpoiledStream> = fc.record({
  format,
  attempts: fc.array(
    fc.record({
      overlap: fc.constant(0),
      cutShare: fc.constant(1),
      chunkSizes,
    }),
    { minLength: 2, maxLength: 2 },
  ),
  spoiledAttempt: fc.constant(0),
  position: share,
  wrongByte,
  callerEvents: fc.constant(0),
  numbering: fc.constant("consecutive"),
});

/** A gateway's engines, which begin where they are asked to, also without ids. */
export const anyEngineStream: fc.Arbitrary<SpoiledStream> = fc.record({
  format: fc.tuple(format, fc.boolean()).map(([sound, hasIds]) => ({
    ...sound,
    hasIds,
  })),
  attempts: anyAttempts(fc.constant(0)),
  spoiledAttempt: fc.integer({ min: 0, max: 3 }),
  position: share,
  wrongByte,
  callerEvents: fc.constantFrom(0, 0, 3),
  numbering: fc.constant("counted" as const),
});

/** Data of all events that the caller does not have. */
export function expectedValues(
  { format, callerEvents }: SpoiledStream,
): string[] {
  const ids = Array.from({ length: LAST_ID }, (_, i) => i + 1);
  return ids.filter((id) => id > callerEvents).map((id) => valueOf(format, id));
}

/** Plays a response's attempts as the relay does: while one may continue it. */
export function splice(stream: SpoiledStream): SplicedResponse {
  const response = new TextResponse();
  const callerLastId = stream.callerEvents > 0
    ? String(stream.callerEvents)
    : undefined;
  const writer = new StreamResponseWriter(response, {
    lastEventId: callerLastId,
    isResumable: true,
    numbering: stream.numbering,
  });
  for (const [index, plan] of stream.attempts.entries()) {
    if (!writer.canContinue) break;
    const bytes = attemptBytes(stream, index, Number(writer.lastEventId ?? 0));
    writer.setHead(HEAD);
    const isWhole = plan.cutShare === 1;
    const sent = bytes.subarray(0, Math.floor(bytes.length * plan.cutShare));
    const isForwarded = cut(sent, plan.chunkSizes)
      .every((chunk) => writer.write(chunk).fault === undefined);
    if (isForwarded && isWhole && writer.finish() === undefined) break;
    writer.discardPartial();
  }
  return {
    isComplete: response.isComplete,
    values: readValues(response.text),
  };
}

/** Plays a response's attempts as a gateway does: until one has its end marker. */
export function spliceAtGateway(stream: SpoiledStream): SplicedResponse {
  const response = new TextResponse();
  const timers = new VirtualTimers();
  const writer = new ResponseWriter(response, timers, stream.callerEvents);
  for (const [index, plan] of stream.attempts.entries()) {
    if (!writer.canContinue) break;
    const bytes = attemptBytes(stream, index, writer.eventCount);
    const sent = bytes.subarray(0, Math.floor(bytes.length * plan.cutShare));
    let kind = "passed";
    for (const chunk of cut(sent, plan.chunkSizes)) {
      kind = writer.writeStream(GATEWAY_HEAD, chunk).kind;
      if (kind !== "passed") break;
    }
    if (kind === "ended") {
      writer.end();
      break;
    }
    writer.reset();
  }
  const values = readValues(response.text);
  return {
    isComplete: response.isComplete,
    values: values.at(-1) === END_MARKER ? values.slice(0, -1) : values,
  };
}

const END_MARKER = "[DONE]";
const GATEWAY_HEAD = { status: 200, headers: {} };
const HEAD = {
  status: 200,
  headers: [],
  notRun: false,
  wrongHost: false,
  faultyMemberId: undefined,
  isStream: true,
  rateLimit: { kind: "unlimited" },
} as const;

class TextResponse implements RelayResponse, CallerResponse {
  text = "";
  isComplete = false;

  writeHead(): void {}

  write(chunk: Uint8Array): boolean {
    this.text += Buffer.from(chunk).toString("latin1");
    return true;
  }

  end(): void {
    this.isComplete = true;
  }

  refuse(): void {}

  fail(): void {}

  abort(): void {}

  onDrain(): void {}
}

function attemptBytes(
  stream: SpoiledStream,
  index: number,
  lastId: number,
): Buffer {
  const { format, attempts, spoiledAttempt, position, wrongByte } = stream;
  const firstId = Math.max(1, lastId + 1 - attempts[index].overlap);
  let text = "";
  /** Positions of the bytes outside the data. */
  const outside: number[] = [];
  for (let id = firstId; id <= LAST_ID; id++) {
    for (const part of formatEvent(format, id)) {
      for (let i = 0; i < part.text.length; i++) {
        if (!part.isData) outside.push(text.length + i);
      }
      text += part.text;
    }
  }
  if (stream.numbering === "counted") {
    const marker = `data: ${END_MARKER}${format.lineEnd.repeat(2)}`;
    // Without ids, a spoiled marker is an event.
    for (let i = 0; i < marker.length && format.hasIds; i++) {
      outside.push(text.length + i);
    }
    text += marker;
  }
  const bytes = Buffer.from(text, "latin1");
  if (index === spoiledAttempt && outside.length > 0) {
    bytes[outside[Math.floor(position * outside.length)]] = wrongByte;
  }
  return bytes;
}

interface TextPart {
  readonly text: string;
  readonly isData: boolean;
}

function valueOf({ values, hasTwoLines }: StreamFormat, id: number): string {
  const value = values[id - 1];
  return hasTwoLines ? `${value}\n${value}` : value;
}

function formatEvent(format: StreamFormat, id: number): TextPart[] {
  const { lineEnd, separator, isIdFirst, hasIds, prefixes, values } = format;
  const outside = (text: string) => ({ text, isData: false });
  const inside = (text: string) => ({ text, isData: true });
  const idLine = outside(hasIds ? `id${separator}${id}${lineEnd}` : "");
  // Without ids, two events that a spoiled line end joins are the same as one with
  // two lines of data.
  const lineEndPart = { text: lineEnd, isData: !hasIds };
  // The line end between two lines of data is part of the data.
  const space = separator.slice(1);
  const more = format.hasTwoLines
    ? `${lineEnd}data:${space}${values[id - 1]}`
    : "";
  const dataLine = [
    outside("data:"),
    inside(`${space}${values[id - 1]}${more}`),
    lineEndPart,
  ];
  const lines = isIdFirst ? [idLine, ...dataLine] : [...dataLine, idLine];
  return [formatPrefix(format, prefixes[id - 1]), ...lines, lineEndPart];
}

function formatPrefix(
  { lineEnd, isIdFirst, hasIds, hasTwoLines }: StreamFormat,
  kind: StreamFormat["prefixes"][number],
): TextPart {
  // A comment that absorbs a line of data is the same as a longer comment, unless
  // the event's id follows it or loses its data.
  const isData = !hasIds || hasTwoLines && !isIdFirst;
  const end = lineEnd;
  const text = {
    "": "",
    comment: `: working${end}`,
    extension: `weight-versions: 7${end}`,
    ping: `: ping${end}${end}`,
  }[kind];
  return { text, isData };
}

function cut(bytes: Buffer, sizes: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  for (let at = 0, i = 0; at < bytes.length; i++) {
    const size = sizes[i % sizes.length];
    chunks.push(bytes.subarray(at, at + size));
    at += size;
  }
  return chunks;
}

/**
 * Reads the data of a response's events as the specification of server-sent
 * events says: lines end with CR LF, LF or CR, and unknown fields are ignored.
 */
function readValues(text: string): string[] {
  const values: string[] = [];
  let data: string[] = [];
  for (const line of text.split(/\r\n|\n|\r/)) {
    if (line === "") {
      if (data.length > 0) values.push(data.join("\n"));
      data = [];
    } else if (line === "data" || line.startsWith("data:")) {
      data.push(line.slice(5).replace(/^ /, ""));
    }
  }
  return values;
}
