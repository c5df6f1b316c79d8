/**
 * Responses of sound and faulty hosts, as bytes on a connection.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { Random } from "../../src/base/random.ts";
import type { Timers } from "../../src/base/timers.ts";

/** What a response is built from. */
export interface ResponseContext {
  readonly socket: Socket;
  readonly requestId: string;
  readonly isStream: boolean;
  /** Id of the last event that the caller of a stream has; 0 if none. */
  readonly lastEventId: number;
  readonly timers: Timers;
  readonly random: Random;
}

/** One way in which a host responds. */
export interface RawResponse {
  readonly name: string;
  /** Whether the host begins to run the request. */
  readonly runs: boolean;
  /** Status of a response that may be forwarded; undefined if none may be. */
  readonly status: number | undefined;
  write(context: ResponseContext): void;
}

const MAX_PIECE_PAUSE_MS = 20;
const LATE_COPY_MS = 15;
const LAST_CHUNK = "0\r\n\r\n";
/** Number of events of a complete stream. */
export const EVENTS_PER_STREAM = 10;
const ENDLESS_CHUNK = Buffer.alloc(16_384, "x");

/**
 * Body of the response to a request, different for each request.
 *
 * @example
 * ```ts
 * bodyOf("a1"); // "body of a1"
 * ```
 */
export function bodyOf(requestId: string): string {
  return `body of ${requestId}`;
}

function head(
  status: number,
  requestId: string | undefined,
  ...lines: string[]
): string {
  const id = requestId === undefined
    ? []
    : [`Oleanderarch-Attempt-Id: ${requestId}`];
  const all = [...id, "Oleanderarch-Server-Stamp: s", ...lines];
  return `HTTP/1.1 ${status} Status\r\n${all.join("\r\n")}\r\n\r\n`;
}

function whole(status: number, id: string, ...lines: string[]): string {
  const body = bodyOf(id);
  return head(status, id, `Content-Length: ${body.length}`, ...lines) + body;
}

function wholeStream(
  { requestId, lastEventId }: ResponseContext,
  last: number,
  ...lines: string[]
): string {
  const type = "Content-Type: text/event-stream";
  const framing = "Transfer-Encoding: chunked";
  let bytes = head(200, requestId, type, framing, ...lines);
  for (let id = lastEventId + 1; id <= last; id++) {
    const event = `id: ${id}\ndata: ${id}\n\n`;
    bytes += `${event.length.toString(16)}\r\n${event}\r\n`;
  }
  return `${bytes}${LAST_CHUNK}`;
}

/** A complete success but for its status line. */
function withStatusLine(
  context: ResponseContext,
  line: string,
  ...more: string[]
): string {
  const bytes = context.isStream
    ? wholeStream(context, EVENTS_PER_STREAM, ...more)
    : whole(200, context.requestId, ...more);
  return line + bytes.slice(bytes.indexOf("\r\n"));
}

function chunked(id: string): string {
  const body = bodyOf(id);
  return head(200, id, "Transfer-Encoding: chunked") +
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

/** A complete success in chunks, with other headers of codings. */
function withCoding(context: ResponseContext, headers: string): string {
  const bytes = context.isStream
    ? wholeStream(context, EVENTS_PER_STREAM)
    : chunked(context.requestId);
  return bytes.replace("Transfer-Encoding: chunked", headers);
}

/** Writes until the peer closes the connection. */
function writeEndlessly(socket: Socket, chunk: Buffer | string): void {
  const writeMore = () => {
    while (!socket.destroyed && socket.write(chunk));
  };
  socket.on("drain", writeMore);
  writeMore();
}

function response(
  name: string,
  options: { runs?: boolean; status?: number },
  write: (context: ResponseContext) => void,
): RawResponse {
  return {
    name,
    runs: options.runs ?? true,
    status: options.status,
    write,
  };
}

/** Sends `bytes` in pieces of random sizes, with pauses. */
function writeInPieces(context: ResponseContext, bytes: string): void {
  const { socket, timers, random } = context;
  const size = 1 + random.int(24);
  if (socket.destroyed || bytes === "") return;
  socket.write(bytes.slice(0, size));
  timers.after(
    random.int(MAX_PIECE_PAUSE_MS),
    () => writeInPieces(context, bytes.slice(size)),
  );
}

const EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
const NOT_RUN = "Oleanderarch-Not-Executed: 1";

/** What is written late: heads with a false version or status are no answers. */
export type LateWriteKind = "copy" | "refusal" | "version" | "status";

/**
 * A complete response, and after `ms` a copy of it, also with a false head, or a
 * refusal without an id on the same connection, whatever it is used for by then.
 *
 * @example
 * ```ts
 * lateWrite("copy", 15).write(context);
 * ```
 */
export function lateWrite(kind: LateWriteKind, ms: number): RawResponse {
  return response(
    `late ${kind}`,
    { status: 200 },
    (context) => {
      const { socket, requestId, timers } = context;
      const late = {
        copy: whole(200, requestId),
        refusal: head(503, undefined, NOT_RUN, "Content-Length: 0"),
        version: withStatusLine(context, "HTTP/2.0 200 Status"),
        status: withStatusLine(context, "HTTP/1.1 0 Status"),
      }[kind];
      socket.write(whole(200, requestId));
      timers.after(ms, () => socket.write(late));
    },
  );
}

/**
 * A response that stops after the first bytes of its body of `bytes`.
 *
 * @example
 * ```ts
 * stopsWithinBody(500, 90).write(context);
 * ```
 */
export function stopsWithinBody(status: number, bytes: number): RawResponse {
  return response("stops within its body", {}, ({ socket, requestId }) => {
    const length = `Content-Length: ${bytes}`;
    socket.write(`${head(status, requestId, length)}part`);
  });
}

/**
 * A stream of the events after the last one that the caller has, up to `last`,
 * which then ends, or whose connection is reset.
 *
 * @example
 * ```ts
 * eventsUpTo(10, "ends").write(context);
 * ```
 */
export function eventsUpTo(last: number, then: "ends" | "resets"): RawResponse {
  return response("events", { status: 200 }, (context) => {
    const { socket, timers } = context;
    const bytes = wholeStream(context, last);
    if (then === "ends") {
      socket.write(bytes);
      return;
    }
    socket.write(bytes.slice(0, -LAST_CHUNK.length));
    timers.after(LATE_COPY_MS, () => socket.resetAndDestroy());
  });
}

/** Status lines that begin no answer, by name. */
export const FALSE_STATUS_LINES: ReadonlyMap<string, string> = new Map([
  ["status 000", "HTTP/1.1 000 Status"],
  ["status 099", "HTTP/1.1 099 Status"],
  ["status 0", "HTTP/1.1 0 Status"],
  ["status 20", "HTTP/1.1 20 Status"],
  ["status 600", "HTTP/1.1 600 Status"],
  ["status 999", "HTTP/1.1 999 Status"],
  ["status 1000", "HTTP/1.1 1000 Status"],
  ["status 2000", "HTTP/1.1 2000 Status"],
  ["status of letters", "HTTP/1.1 abc Status"],
  ["no status", "HTTP/1.1 Status"],
  ["nothing but a version", "HTTP/1.1"],
  ["version 0.9", "HTTP/0.9 200 Status"],
  ["version 1.2", "HTTP/1.2 200 Status"],
  ["version 2", "HTTP/2 200 Status"],
  ["version 2.0", "HTTP/2.0 200 Status"],
  ["another protocol", "RTSP/1.0 200 Status"],
  ["no version", "200 Status"],
  ["status 100", "HTTP/1.1 100 Continue"],
  ["status 101", "HTTP/1.1 101 Switching Protocols"],
  [
    "an upgrade",
    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x",
  ],
]);

/** Headers of codings in which no body can be forwarded, by name. */
export const FOREIGN_CODINGS: ReadonlyMap<string, string> = new Map([
  ["an unknown transfer coding", "Transfer-Encoding: chunkad"],
  ["a second transfer coding", "Transfer-Encoding: gzip, chunked"],
  ["an empty transfer coding", "Transfer-Encoding:"],
  [
    "a content coding",
    "Transfer-Encoding: chunked\r\nContent-Encoding: gzip",
  ],
]);

/** Responses whose heads are no answer; all have the headers of a sound one. */
export const FALSE_HEADS: readonly RawResponse[] = [
  ...[...FALSE_STATUS_LINES].map(([name, line]) =>
    response(name, {}, (context) => {
      context.socket.write(withStatusLine(context, line));
    })
  ),
  ...["status 000", "status 600", "version 2.0"].map((name) =>
    response(`${name}, not run`, {}, (context) => {
      const line = FALSE_STATUS_LINES.get(name) ?? "";
      context.socket.write(withStatusLine(context, line, NOT_RUN));
    })
  ),
  response("status 999 in pieces", {}, (context) => {
    writeInPieces(context, withStatusLine(context, "HTTP/1.1 999 Status"));
  }),
  response("status 000 after an interim head", {}, (context) => {
    const bytes = withStatusLine(context, "HTTP/1.1 000 Status");
    context.socket.write(`${EARLY_HINTS}${bytes}`);
  }),
  response("status 999 after interim heads", {}, (context) => {
    const bytes = withStatusLine(context, "HTTP/1.1 999 Status");
    writeInPieces(context, `${EARLY_HINTS.repeat(2)}${bytes}`);
  }),
  ...["status 100", "status 101", "an upgrade"].map((name) =>
    response(`${name}, alone`, {}, ({ socket }) => {
      socket.write(`${FALSE_STATUS_LINES.get(name)}\r\n\r\n`);
    })
  ),
  response("status 100 before an answer", {}, ({ socket, requestId }) => {
    socket.write(`HTTP/1.1 100 Continue\r\n\r\n${whole(200, requestId)}`);
  }),
  response("status 000 before an answer", {}, ({ socket, requestId }) => {
    socket.write(`HTTP/1.1 000 Status\r\n\r\n${whole(200, requestId)}`);
  }),
  ...[...FOREIGN_CODINGS].map(([name, line]) =>
    response(name, {}, (context) => {
      // The body's end is its connection's, as its framing is not known.
      context.socket.end(withCoding(context, line));
    })
  ),
];

/** A sound response with a head that few hosts send. */
export const UNUSUAL_ANSWER = response(
  "an unusual answer",
  { status: 200 },
  (context) => {
    const bytes = withStatusLine(context, "HTTP/1.0 200 ");
    context.socket.write(`\r\n\r\n${EARLY_HINTS}${bytes}`);
  },
);

/** An answer of which half is sent before the host reads the rest of the request. */
export const EARLY_ANSWER = response(
  "an early answer",
  { status: 200 },
  ({ socket, requestId, timers }) => {
    const bytes = whole(200, requestId);
    const half = bytes.length - bodyOf(requestId).length / 2;
    socket.pause();
    socket.write(bytes.slice(0, half));
    timers.after(LATE_COPY_MS, () => {
      socket.resume();
      timers.after(LATE_COPY_MS, () => socket.write(bytes.slice(half)));
    });
  },
);

/** Complete responses of sound hosts. */
export const SOUND_RESPONSES: readonly RawResponse[] = [
  response("whole", { status: 200 }, ({ socket, requestId }) => {
    socket.write(whole(200, requestId));
  }),
  response("chunked", { status: 200 }, ({ socket, requestId }) => {
    socket.write(chunked(requestId));
  }),
  response("in pieces", { status: 200 }, (context) => {
    writeInPieces(context, whole(200, context.requestId));
  }),
  response("until the end", { status: 200 }, ({ socket, requestId }) => {
    const lines = head(200, requestId, "Connection: close");
    socket.end(lines + bodyOf(requestId));
  }),
  response("after interim heads", { status: 200 }, ({ socket, requestId }) => {
    socket.write(EARLY_HINTS.repeat(3));
    socket.write(whole(200, requestId));
  }),
  response("not found", { status: 404 }, ({ socket, requestId }) => {
    socket.write(whole(404, requestId));
  }),
  response("failed", { status: 500 }, ({ socket, requestId }) => {
    socket.write(whole(500, requestId));
  }),
  response("not run", { runs: false }, ({ socket, requestId }) => {
    socket.write(whole(503, requestId, NOT_RUN));
  }),
];

/** Responses of which only complete, first ones may reach the caller. */
export const FAULTY_RESPONSES: readonly RawResponse[] = [
  response("cut", {}, ({ socket, requestId, random }) => {
    const bytes = whole(200, requestId);
    socket.end(bytes.slice(0, random.int(bytes.length)));
  }),
  response("cut chunks", {}, ({ socket, requestId, random }) => {
    const bytes = chunked(requestId);
    socket.end(bytes.slice(0, random.int(bytes.length)));
  }),
  response("reset", {}, ({ socket, requestId, timers }) => {
    socket.write(head(200, requestId, "Connection: close") + "part");
    timers.after(LATE_COPY_MS, () => socket.resetAndDestroy());
  }),
  response("twice", { status: 200 }, ({ socket, requestId }) => {
    socket.write(whole(200, requestId).repeat(2));
  }),
  response(
    "late copy",
    { status: 200 },
    ({ socket, requestId, timers, random }) => {
      socket.write(whole(200, requestId));
      timers.after(random.int(2 * LATE_COPY_MS), () => {
        if (!socket.destroyed) socket.write(whole(200, requestId));
      });
    },
  ),
  response(
    "late refusal without an id",
    { status: 200 },
    ({ socket, requestId, timers, random }) => {
      socket.write(whole(200, requestId));
      timers.after(random.int(2 * LATE_COPY_MS), () => {
        const lines = [NOT_RUN, "Content-Length: 0"];
        if (!socket.destroyed) socket.write(head(503, undefined, ...lines));
      });
    },
  ),
  response("stale refusal first", {}, ({ socket, requestId }) => {
    socket.write(head(503, undefined, NOT_RUN, "Content-Length: 0"));
    socket.write(whole(200, requestId));
  }),
  response("bytes after the end", { status: 200 }, ({ socket, requestId }) => {
    socket.write(`${whole(200, requestId)}more`);
  }),
  response("of another request", {}, ({ socket }) => {
    socket.write(whole(200, "another"));
  }),
  response("not HTTP", {}, ({ socket }) => {
    socket.write("\x00\x01\x02\r\n\r\n");
  }),
  response("both framings", {}, ({ socket, requestId }) => {
    const lines = ["Transfer-Encoding: chunked", "Content-Length: 3"];
    socket.write(`${head(200, requestId, ...lines)}3\r\nabc\r\n0\r\n\r\n`);
  }),
  response("false chunk size", {}, ({ socket, requestId }) => {
    const lines = head(200, requestId, "Transfer-Encoding: chunked");
    socket.write(`${lines}3\r\n${bodyOf(requestId)}\r\n0\r\n\r\n`);
  }),
  response("unguaranteed 503", {}, ({ socket, requestId }) => {
    socket.write(whole(503, requestId));
  }),
  response("endless failure", {}, ({ socket, requestId }) => {
    socket.write(head(500, requestId, "Transfer-Encoding: chunked"));
    const size = ENDLESS_CHUNK.length.toString(16);
    writeEndlessly(socket, `${size}\r\n${ENDLESS_CHUNK}\r\n`);
  }),
  response("failure that stops", {}, ({ socket, requestId }) => {
    socket.write(`${head(500, requestId, "Content-Length: 90")}part`);
  }),
  response("endless refusal", { runs: false }, ({ socket, requestId }) => {
    const lines = [NOT_RUN, "Transfer-Encoding: chunked"];
    socket.write(head(503, requestId, ...lines));
    const size = ENDLESS_CHUNK.length.toString(16);
    writeEndlessly(socket, `${size}\r\n${ENDLESS_CHUNK}\r\n`);
  }),
  response("refusal that stops", { runs: false }, ({ socket, requestId }) => {
    socket.write(head(503, requestId, NOT_RUN, "Content-Length: 9") + "part");
  }),
  response("endless interim heads", {}, ({ socket }) => {
    const heads = EARLY_HINTS.repeat(100);
    writeEndlessly(socket, heads);
  }),
  response("endless head", {}, ({ socket }) => {
    socket.write("HTTP/1.1 200 OK\r\n");
    writeEndlessly(socket, "x-filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
  }),
  response("endless reason", {}, ({ socket }) => {
    socket.write("HTTP/1.1 200 ");
    writeEndlessly(socket, ENDLESS_CHUNK);
  }),
  response("endless chunk extension", {}, ({ socket, requestId }) => {
    socket.write(`${head(200, requestId, "Transfer-Encoding: chunked")}5;`);
    writeEndlessly(socket, ENDLESS_CHUNK);
  }),
  response("silence", {}, () => {}),
];
