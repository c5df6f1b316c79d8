/** A client that keeps one channel open for many requests. */
import { connect } from "node:net";

/** Reads one response; complete only if its framing says so. */
class ResponseReader {
  #bytes = Buffer.alloc(0);
  status;
  headers = {};
  body = [];

  /** Adds bytes, and returns whether the response is complete. */
  add(bytes) {
    this.#bytes = Buffer.concat([this.#bytes, bytes]);
    if (this.status === undefined && !this.#readHead()) return false;
    return this.#readBody();
  }

  #readHead() {
    const end = this.#bytes.indexOf("\r\n\r\n");
    if (end < 0) return false;
    const [first, ...lines] = this.#bytes.toString("latin1", 0, end).split("\r\n");
    this.status = Number(first.split(" ")[1]);
    for (const line of lines) {
      const colon = line.indexOf(":");
      this.headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    this.#bytes = this.#bytes.subarray(end + 4);
    return true;
  }

  #readBody() {
    if (this.headers["transfer-encoding"] === "chunked") return this.#readChunks();
    const length = Number(this.headers["content-length"] ?? 0);
    if (this.#bytes.length < length) return false;
    this.body.push(this.#bytes.subarray(0, length));
    return true;
  }

  #readChunks() {
    for (;;) {
      const lineEnd = this.#bytes.indexOf("\r\n");
      if (lineEnd < 0) return false;
      const length = parseInt(this.#bytes.toString("latin1", 0, lineEnd), 16);
      if (this.#bytes.length < lineEnd + 2 + length + 2) return false;
      this.body.push(this.#bytes.subarray(lineEnd + 2, lineEnd + 2 + length));
      this.#bytes = this.#bytes.subarray(lineEnd + 2 + length + 2);
      if (length === 0) return true;
    }
  }
}

/** One client with a kept channel. */
export class Client {
  #socket;
  /** Returns the address of a front, for each new channel. */
  constructor(chooseFront) {
    this.chooseFront = chooseFront;
  }

  close() {
    this.#socket?.destroy();
    this.#socket = undefined;
  }

  /**
   * Sends one request and waits for its answer, for `deadlineMs` at most. The
   * outcome is a status, `refused` (no channel), `closed` or `gave_up`.
   */
  async request({ method, path, attemptId, deadlineMs, headers = {}, body = "" }) {
    const socket = await this.#channel();
    if (socket === undefined) return { outcome: "refused" };
    const head = [
      `${method} ${path} HTTP/1.1`,
      "Host: album.example",
      `Oleanderarch-Attempt-Id: ${attemptId}`,
      `Oleanderarch-Deadline-Ms: ${deadlineMs}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      ...(method === "GET" ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
    ].join("\r\n");
    const reader = new ResponseReader();
    const result = await new Promise((done) => {
      const timer = setTimeout(() => done({ outcome: "gave_up" }), deadlineMs);
      const finish = (value) => {
        clearTimeout(timer);
        done(value);
      };
      socket.on("data", (bytes) => {
        if (!reader.add(bytes)) return;
        const { status, headers, body } = reader;
        finish({ outcome: status, headers, body: Buffer.concat(body) });
      });
      socket.on("end", () => finish({ outcome: "closed", status: reader.status }));
      socket.on("close", () => finish({ outcome: "closed", status: reader.status }));
      socket.write(`${head}\r\n\r\n${body}`);
    });
    socket.removeAllListeners("data");
    socket.removeAllListeners("end");
    socket.removeAllListeners("close");
    const isKept = typeof result.outcome === "number" &&
      result.headers.connection?.toLowerCase() !== "close";
    if (!isKept) this.close();
    return result;
  }

  async #channel() {
    const kept = this.#socket;
    if (kept !== undefined && !kept.destroyed && !kept.readableEnded) return kept;
    this.close();
    const front = this.chooseFront();
    const socket = connect({ ...front, noDelay: true });
    socket.on("error", () => {});
    const isOpen = await new Promise((done) => {
      const timer = setTimeout(() => done(false), 1_000);
      const finish = (value) => {
        clearTimeout(timer);
        done(value);
      };
      socket.once("connect", () => finish(true));
      socket.once("close", () => finish(false));
    });
    if (!isOpen) {
      socket.destroy();
      return undefined;
    }
    this.#socket = socket;
    return socket;
  }
}
