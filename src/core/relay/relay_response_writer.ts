/**
 * Writers that assemble the caller's response from one or more attempts.
 *
 * @module
 */
import type { RelayHead } from "../../ports/relay_client.ts";
import type { RelayResponse } from "./relay_request.ts";
import { StreamSplice } from "./stream_splice.ts";

/** Largest response that is buffered until it is complete, in bytes. */
const MAX_BUFFERED_BYTES = 262_144;

/** Result of writing bytes from an upstream. */
export type WriteResult = "fine" | "wait_for_caller" | "broken";

/** Writes the response, which may span several attempts. */
export interface RelayResponseWriter {
  /** Whether anything has been written to the caller. */
  readonly started: boolean;
  /** Id of the last forwarded event; undefined for plain responses. */
  readonly lastEventId: string | undefined;
  /** Sets the head of the current attempt's response. */
  setHead(head: RelayHead): void;
  write(chunk: Uint8Array): WriteResult;
  /** Ends the response; returns false if it is incomplete. */
  finish(): boolean;
  /** Discards unwritten data of an attempt that ended. */
  discardPartial(): void;
}

/** Buffers a plain response until it is complete or too large to buffer. */
export class BufferedResponseWriter implements RelayResponseWriter {
  readonly #response: RelayResponse;
  #head: RelayHead | undefined;
  #buffered: Uint8Array[] = [];
  #bufferedBytes = 0;
  #started = false;

  constructor(response: RelayResponse) {
    this.#response = response;
  }

  get started(): boolean {
    return this.#started;
  }

  get lastEventId(): undefined {
    return undefined;
  }

  setHead(head: RelayHead): void {
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
    this.#response.end();
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
    this.#response.writeHead(this.#head.status, this.#head.headers);
    let result: WriteResult = "fine";
    for (const chunk of this.#buffered) result = this.#forward(chunk);
    this.#buffered = [];
    return result;
  }

  #forward(chunk: Uint8Array): WriteResult {
    return this.#response.write(chunk) ? "fine" : "wait_for_caller";
  }
}

/** Forwards events as they arrive; retries continue after the last event. */
export class StreamResponseWriter implements RelayResponseWriter {
  readonly #response: RelayResponse;
  readonly #splice: StreamSplice;
  readonly #callerLastEventId: string | undefined;
  #head: RelayHead | undefined;
  #started = false;

  constructor(response: RelayResponse, lastEventId: string | undefined) {
    this.#response = response;
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

  setHead(head: RelayHead): void {
    this.#head ??= head;
  }

  write(chunk: Uint8Array): WriteResult {
    const spliced = this.#splice.push(chunk);
    if (spliced === undefined) return "broken";
    if (spliced.eventCount === 0) return "fine";
    this.#writeHead();
    let isWritable = true;
    for (const part of spliced.chunks) isWritable = this.#response.write(part);
    return isWritable ? "fine" : "wait_for_caller";
  }

  finish(): boolean {
    if (this.#splice.hasPartialEvent) return false;
    this.#writeHead();
    this.#response.end();
    return true;
  }

  discardPartial(): void {
    this.#splice.discardPartial();
    if (!this.#started) this.#head = undefined;
  }

  #writeHead(): void {
    if (this.#started || this.#head === undefined) return;
    this.#started = true;
    this.#response.writeHead(this.#head.status, this.#head.headers);
  }
}
