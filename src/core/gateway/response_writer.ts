/**
 * Writes one request's response to its caller.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timers } from "../../base/timers.ts";
import type { ResponseHead } from "../../ports/upstream_client.ts";
import type { CallerResponse, Problem } from "./caller_request.ts";
import type { StreamFault } from "../streams/mod.ts";
import { StreamSplice } from "../streams/mod.ts";

/** Largest response that is buffered before it is sent, in bytes. */
const MAX_BUFFERED_BYTES = 8 * 1_048_576;

/** Result of writing one chunk of a stream. */
export type StreamResult =
  | { readonly kind: "passed"; readonly isWritable: boolean }
  | { readonly kind: "ended" }
  /** The rest of the attempt can't be forwarded; what precedes it was. */
  | { readonly kind: "malformed"; readonly fault: StreamFault };

/**
 * Buffers plain responses until they are complete; forwards streams event by
 * event.
 */
export class ResponseWriter {
  readonly #response: CallerResponse;
  readonly #timers: Timers;
  readonly #startedAt: number;
  readonly #splice: StreamSplice;
  #buffer: Uint8Array[] = [];
  #bufferedBytes = 0;
  #headSent = false;
  #firstByteMs: number | undefined;

  /** Creates a writer for a caller that has the first `resumeAfter` events. */
  constructor(response: CallerResponse, timers: Timers, resumeAfter: number) {
    this.#response = response;
    this.#splice = new StreamSplice({
      lastEventId: resumeAfter > 0 ? String(resumeAfter) : undefined,
      isResumable: true,
      numbering: "counted",
    });
    this.#timers = timers;
    this.#startedAt = timers.now();
  }

  /** Number of events that the caller has, also from earlier connections. */
  get eventCount(): number {
    return Number(this.#splice.lastEventId ?? 0);
  }

  /** Whether another attempt can continue what has been sent. */
  get canContinue(): boolean {
    return this.#splice.canContinue;
  }

  /** Whether the response head was sent. */
  get headSent(): boolean {
    return this.#headSent;
  }

  /** Time from the request to the response head, in milliseconds. */
  get firstByteMs(): number | undefined {
    return this.#firstByteMs;
  }

  /** Sends complete events and buffers the rest of the chunk for the next call. */
  writeStream(head: ResponseHead | undefined, chunk: Uint8Array): StreamResult {
    const { chunks, hasEndMarker, fault } = this.#splice.push(chunk);
    let isWritable = true;
    if (chunks.length > 0) this.#sendHead(head);
    for (const part of chunks) isWritable = this.#response.write(part);
    if (fault !== undefined) return { kind: "malformed", fault };
    return hasEndMarker ? { kind: "ended" } : { kind: "passed", isWritable };
  }

  /**
   * Buffers a chunk of a plain response; false when the size limit is exceeded.
   */
  buffer(chunk: Uint8Array): boolean {
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes > MAX_BUFFERED_BYTES) return false;
    this.#buffer.push(chunk);
    return true;
  }

  /**
   * Discards unsent bytes of the last attempt: the next one resumes after the
   * last event that the caller received.
   */
  reset(): void {
    this.#splice.beginAttempt();
    this.#buffer = [];
    this.#bufferedBytes = 0;
  }

  /** The buffered body. */
  get bufferedBody(): Buffer {
    return Buffer.concat(this.#buffer);
  }

  /** Sends the buffered response and ends it. */
  sendBuffered(head: ResponseHead): void {
    const body = this.bufferedBody;
    this.#sendHead(head);
    if (body.length > 0) this.#response.write(body);
    this.#response.end();
  }

  /** Ends a stream. */
  end(): void {
    this.#response.end();
  }

  /** Sends a response that was recorded for an earlier submission. */
  replay(head: ResponseHead, body: string | undefined): void {
    this.#response.writeHead(head.status, head.headers);
    if (body !== undefined) this.#response.write(Buffer.from(body));
    this.#response.end();
  }

  /** Ends the response with a failure. */
  fail(problem: Problem): void {
    this.#response.fail(problem);
  }

  /** Registers a callback for when the caller can receive more bytes. */
  onDrain(callback: () => void): void {
    this.#response.onDrain(callback);
  }

  #sendHead(head: ResponseHead | undefined): void {
    if (this.#headSent) return;
    this.#headSent = true;
    this.#firstByteMs = this.#timers.now() - this.#startedAt;
    this.#response.writeHead(head?.status ?? 200, head?.headers ?? {});
  }
}
