/**
 * Writers that assemble the caller's response from one or more attempts.
 *
 * @module
 */
import type { RelayHead } from "../../ports/relay_client.ts";
import type { RelayResponse } from "./relay_request.ts";
import type {
  EventNumbering,
  SpliceOptions,
  StreamFault,
} from "../streams/mod.ts";
import { StreamSplice } from "../streams/mod.ts";

/** Largest response that is buffered until it is complete, in bytes. */
const MAX_BUFFERED_BYTES = 262_144;

/** Result of writing bytes from an upstream. */
export interface WriteResult {
  /** Whether the bytes bring the response forward: a new event in a stream. */
  readonly hasProgress: boolean;
  /** Whether the caller is ready for more bytes. */
  readonly isWritable: boolean;
  /** Why the rest of the upstream's response can't be forwarded. */
  readonly fault?: StreamFault;
}

/** Writes the response, which may span several attempts. */
export interface RelayResponseWriter {
  /** Whether anything has been written to the caller. */
  readonly started: boolean;
  /** Whether another attempt can replace or continue what has been written. */
  readonly canContinue: boolean;
  /**
   * Id of the last event that the caller has; undefined if it has none or the
   * response is not a stream.
   */
  readonly lastEventId: string | undefined;
  /**
   * How the service numbers its events, if a complete stream shows another way
   * than was expected.
   */
  readonly observedNumbering: EventNumbering | undefined;
  /**
   * Sets the head of the current attempt's response. A stream that has sent
   * events keeps the head that it began with.
   */
  setHead(head: RelayHead): void;
  /**
   * Writes or buffers bytes of the current attempt's response. What precedes a
   * fault has been written.
   */
  write(chunk: Uint8Array): WriteResult;
  /**
   * Ends the response, or returns why the attempt's end is not the end of it, such
   * as a stream that ended within an event or without one.
   */
  finish(): StreamFault | undefined;
  /** Discards unwritten data of an attempt that ended. */
  discardPartial(): void;
}

/**
 * Buffers a response until it is complete or too large to buffer. Until then, a
 * retry can replace it.
 */
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

  get canContinue(): boolean {
    return !this.#started;
  }

  get lastEventId(): undefined {
    return undefined;
  }

  get observedNumbering(): undefined {
    return undefined;
  }

  setHead(head: RelayHead): void {
    this.#head = head;
  }

  write(chunk: Uint8Array): WriteResult {
    if (this.#started) return this.#forward(chunk);
    this.#buffered.push(chunk);
    this.#bufferedBytes += chunk.byteLength;
    if (this.#bufferedBytes <= MAX_BUFFERED_BYTES) {
      return { hasProgress: true, isWritable: true };
    }
    return this.#flush();
  }

  finish(): undefined {
    if (!this.#started) this.#flush();
    this.#response.end();
  }

  discardPartial(): void {
    this.#head = undefined;
    this.#buffered = [];
    this.#bufferedBytes = 0;
  }

  #flush(): WriteResult {
    if (this.#head === undefined) {
      const fault: StreamFault = { kind: "incomplete", detail: "no head" };
      return { hasProgress: false, isWritable: true, fault };
    }
    this.#started = true;
    this.#response.writeHead(this.#head.status, this.#head.headers);
    let result: WriteResult = { hasProgress: true, isWritable: true };
    for (const chunk of this.#buffered) result = this.#forward(chunk);
    this.#buffered = [];
    return result;
  }

  #forward(chunk: Uint8Array): WriteResult {
    return { hasProgress: true, isWritable: this.#response.write(chunk) };
  }
}

/** Forwards events as they arrive; retries continue after the last event. */
export class StreamResponseWriter implements RelayResponseWriter {
  readonly #response: RelayResponse;
  readonly #splice: StreamSplice;
  readonly #callerLastEventId: string | undefined;
  #head: RelayHead | undefined;
  #started = false;
  #hasEvents = false;

  constructor(response: RelayResponse, options: SpliceOptions) {
    this.#response = response;
    this.#callerLastEventId = options.lastEventId;
    this.#splice = new StreamSplice(options);
  }

  get started(): boolean {
    return this.#started;
  }

  get canContinue(): boolean {
    return this.#splice.canContinue;
  }

  get lastEventId(): string | undefined {
    return this.#splice.lastEventId;
  }

  get observedNumbering(): EventNumbering | undefined {
    return this.#splice.observedNumbering;
  }

  setHead(head: RelayHead): void {
    this.#head ??= head;
  }

  write(chunk: Uint8Array): WriteResult {
    const { chunks, eventCount, fault } = this.#splice.push(chunk);
    let isWritable = true;
    if (eventCount > 0) this.#hasEvents = true;
    if (chunks.length > 0) this.#writeHead();
    for (const part of chunks) isWritable = this.#response.write(part);
    return { hasProgress: eventCount > 0, isWritable, fault };
  }

  finish(): StreamFault | undefined {
    const fault = this.#splice.checkEnd();
    if (fault !== undefined) return fault;
    // Only a caller that resumes may have had all events before.
    if (!this.#hasEvents && this.#callerLastEventId === undefined) {
      return { kind: "incomplete", detail: "ended before the first event" };
    }
    this.#writeHead();
    this.#response.end();
    return undefined;
  }

  discardPartial(): void {
    this.#splice.beginAttempt();
    if (!this.#started) this.#head = undefined;
  }

  #writeHead(): void {
    if (this.#started || this.#head === undefined) return;
    this.#started = true;
    this.#response.writeHead(this.#head.status, this.#head.headers);
  }
}
