/**
 * Refuses heads of responses that are no answer, before they are parsed.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Code of the error of a connection on which such a head arrived. */
export const FALSE_HEAD_CODE = "FALSE_HEAD";

const DIGITS = "0123456789";
/** The characters that are allowed at each position of the start of a head. */
const HEAD_START: readonly string[] = [
  ..."HTTP/1.",
  "01",
  " ",
  "12345",
  DIGITS,
  DIGITS,
];
/** Interim statuses that a server may send only if the request asks for them. */
const UNASKED_STATUSES: ReadonlySet<string> = new Set(["100", "101"]);
const CR = 0x0d;
const LF = 0x0a;

type ConnectResult = [err: null, socket: Socket] | [err: Error, socket: null];
type Connector<O> = (
  options: O,
  callback: (...result: ConnectResult) => void,
) => void;

/**
 * Reads the start of each head that arrives on a connection with one request at a
 * time. undici's parser lets other versions and protocols through as answers, and
 * any status of three digits; those below 100 as interim heads.
 */
export class StatusLineGuard {
  readonly #socket: Socket;
  /** Bytes that had been sent when the latest request had been. */
  #sentBytes = 0;
  /** Whether the final head for the latest request has not begun yet. */
  #awaitsHead = false;
  /** Start of the current head, as far as it has arrived. */
  #start = "";
  /** Whether the current line of an interim head has been empty so far. */
  #isLineEmpty = false;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /** Reads received bytes. Returns false once a head is no answer. */
  accepts(chunk: Uint8Array): boolean {
    const { bytesWritten } = this.#socket;
    if (bytesWritten !== this.#sentBytes) {
      this.#sentBytes = bytesWritten;
      this.#awaitsHead = true;
      this.#start = "";
    }
    for (let i = 0; this.#awaitsHead && i < chunk.length; i++) {
      if (!this.#acceptsByte(chunk[i])) return false;
    }
    return true;
  }

  #acceptsByte(byte: number): boolean {
    const at = this.#start.length;
    if (at === HEAD_START.length) {
      this.#skipInterimHead(byte);
      return true;
    }
    // Empty lines before a head are no part of it.
    if (at === 0 && (byte === CR || byte === LF)) return true;
    const char = String.fromCharCode(byte);
    if (!HEAD_START[at].includes(char)) return false;
    this.#start += char;
    if (this.#start.length < HEAD_START.length) return true;
    const status = this.#start.slice(-3);
    this.#awaitsHead = status.startsWith("1");
    this.#isLineEmpty = false;
    return !UNASKED_STATUSES.has(status);
  }

  /** Reads on until the empty line after which the next head begins. */
  #skipInterimHead(byte: number): void {
    if (byte === LF) {
      if (this.#isLineEmpty) this.#start = "";
      this.#isLineEmpty = true;
    } else if (byte !== CR) {
      this.#isLineEmpty = false;
    }
  }
}

/**
 * Returns a connector that does the same as `connect`, and whose connections close
 * with {@linkcode FALSE_HEAD_CODE} on a head that is no answer.
 *
 * @example
 * ```ts
 * new Agent({ pipelining: 1, connect: guardConnections(buildConnector({})) });
 * ```
 */
export function guardConnections<O>(connect: Connector<O>): Connector<O> {
  return (options, callback) => {
    connect(options, (...result) => {
      const [err, socket] = result;
      if (err === null) closeOnFalseHead(socket);
      callback(...result);
    });
  };
}

function closeOnFalseHead(socket: Socket): void {
  const guard = new StatusLineGuard(socket);
  const push = socket.push.bind(socket);
  // undici reads the bytes without an event that shows them before.
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (!(chunk instanceof Uint8Array) || guard.accepts(chunk)) {
      return push(chunk, encoding);
    }
    const err: NodeJS.ErrnoException = new Error("The head is no answer");
    err.code = FALSE_HEAD_CODE;
    socket.destroy(err);
    return false;
  };
}
