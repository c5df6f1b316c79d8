/**
 * The caller's answer as it is put together from attempts.
 *
 * @module
 */
import type { RelayHead } from "../../ports/relay_client.ts";
import type { RelayReply } from "./relay_call.ts";
import { StreamSplice } from "./stream_splice.ts";

/** Largest answer held until it is whole, in bytes. */
const MAX_BUFFERED_BYTES = 262_144;

/** What became of bytes from an upstream. */
export type WriteResult = "fine" | "wait_for_caller" | "broken";

/** Takes the answer of one attempt after another. */
export interface ResponseWriter {
  /** Whether the caller has been sent anything. */
  readonly started: boolean;
  /** Last event passed on, for streams. */
  readonly lastEventId: string | undefined;
  begin(head: RelayHead): void;
  write(chunk: Uint8Array): WriteResult;
  /** Ends the answer; false when it isn't whole. */
  finish(): boolean;
  /** Forgets what an attempt left unfinished. */
  discardPartial(): void;
}

/** Holds a plain answer until it is whole, unless it is large. */
export class BufferedResponseWriter implements ResponseWriter {
  readonly #reply: RelayReply;
  #head: RelayHead | undefined;
  #buffered: Uint8Array[] = [];
  #bufferedBytes = 0;
  #started = false;

  constructor(reply: RelayReply) {
    this.#reply = reply;
  }

  get started(): boolean {
    return this.#started;
  }

  get lastEventId(): undefined {
    return undefined;
  }

  begin(head: RelayHead): void {
    this.#head = head;
  }

  write(chunk: Uint8Array): WriteResult {
    if (this.#started) return this.#forward(chunk);
    this.#buffered.push(chunk);
    this.#bufferedBytes += chunk.byteLength;
    if (this.#bufferedBytes <= MAX_BUFFERED_BYTES) return "fine";
    return this.#flush();
  }

  finish(): boolean {
    if (!this.#started) this.#flush();
    this.#reply.end();
    return true;
  }

  discardPartial(): void {
    this.#head = undefined;
    this.#buffered = [];
    this.#bufferedBytes = 0;
  }

  #flush(): WriteResult {
    if (this.#head === undefined) return "broken";
    this.#started = true;
    this.#reply.head(this.#head.status, this.#head.headers);
    let result: WriteResult = "fine";
    for (const chunk of this.#buffered) result = this.#forward(chunk);
    this.#buffered = [];
    return result;
  }

  #forward(chunk: Uint8Array): WriteResult {
    return this.#reply.data(chunk) ? "fine" : "wait_for_caller";
  }
}

/** Passes events on as they come; goes on after the last event elsewhere. */
export class StreamResponseWriter implements ResponseWriter {
  readonly #reply: RelayReply;
  readonly #splice: StreamSplice;
  readonly #callerLastEventId: string | undefined;
  #head: RelayHead | undefined;
  #started = false;

  constructor(reply: RelayReply, lastEventId: string | undefined) {
    this.#reply = reply;
    this.#callerLastEventId = lastEventId;
    this.#splice = new StreamSplice(lastEventId);
  }

  get started(): boolean {
    return this.#started;
  }

  get lastEventId(): string | undefined {
    return this.#splice.lastId === undefined
      ? this.#callerLastEventId
      : String(this.#splice.lastId);
  }

  begin(head: RelayHead): void {
    this.#head ??= head;
  }

  write(chunk: Uint8Array): WriteResult {
    const spliced = this.#splice.push(chunk);
    if (spliced === undefined) return "broken";
    if (spliced.events === 0) return "fine";
    this.#writeHead();
    let isWritable = true;
    for (const part of spliced.chunks) isWritable = this.#reply.data(part);
    return isWritable ? "fine" : "wait_for_caller";
  }

  finish(): boolean {
    if (this.#splice.hasPartialEvent) return false;
    this.#writeHead();
    this.#reply.end();
    return true;
  }

  discardPartial(): void {
    this.#splice.discardPartial();
    if (!this.#started) this.#head = undefined;
  }

  #writeHead(): void {
    if (this.#started || this.#head === undefined) return;
    this.#started = true;
    this.#reply.head(this.#head.status, this.#head.headers);
  }
}
