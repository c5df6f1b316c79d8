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

function chunked(id: string): string {
  const body = bodyOf(id);
  return head(200, id, "Transfer-Encoding: chunked") +
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
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

const NOT_RUN = "Oleanderarch-Not-Executed: 1";

/**
 * A complete response, and after `ms` a copy of it or a refusal without an id on
 * the same connection, whatever it is used for by then.
 *
 * @example
 * ```ts
 * lateWrite("copy", 15).write(context);
 * ```
 */
export function lateWrite(kind: "copy" | "refusal", ms: number): RawResponse {
  return response(
    `late ${kind}`,
    { status: 200 },
    ({ socket, requestId, timers }) => {
      const late = kind === "copy"
        ? whole(200, requestId)
        : head(503, undefined, NOT_RUN, "Content-Length: 0");
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
    socket.write("HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n".repeat(3));
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
    const heads = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n".repeat(100);
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
