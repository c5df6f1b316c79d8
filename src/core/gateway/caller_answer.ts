/**
 * What one caller has been given of its answer.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timers } from "../../base/timers.ts";
import type { AnswerHead } from "../../ports/upstream_client.ts";
import type { CallReply, Problem } from "./call.ts";
import { EventFramer } from "./event_framer.ts";

/** Largest answer that is held to be sent whole, in bytes. */
const MAX_BUFFERED_BYTES = 8 * 1_048_576;

/** What became of a piece of a stream. */
export type StreamResult =
  | { readonly kind: "passed"; readonly isWritable: boolean }
  | { readonly kind: "ended" }
  | { readonly kind: "too_long" };

/** Holds plain answers until they are whole; passes streams on by events. */
export class ResponseWriter {
  readonly #reply: CallReply;
  readonly #timers: Timers;
  readonly #startedAt: number;
  #framer = new EventFramer();
  #buffer: Uint8Array[] = [];
  #bufferedBytes = 0;
  #sentEvents = 0;
  #headSent = false;
  #firstByteMs: number | undefined;

  constructor(reply: CallReply, timers: Timers) {
    this.#reply = reply;
    this.#timers = timers;
    this.#startedAt = timers.now();
  }

  /** Events that the caller has been given. */
  get sentEvents(): number {
    return this.#sentEvents;
  }

  /** Whether the answer has begun. */
  get headSent(): boolean {
    return this.#headSent;
  }

  /** Time until the answer began, in milliseconds. */
  get firstByteMs(): number | undefined {
    return this.#firstByteMs;
  }

  /** Passes on the whole events of a piece of a stream. */
  writeStream(head: AnswerHead | undefined, chunk: Uint8Array): StreamResult {
    const framed = this.#framer.push(chunk);
    if (framed === undefined) return { kind: "too_long" };
    if (framed.whole.length === 0) return { kind: "passed", isWritable: true };
    this.#sendHead(head);
    this.#sentEvents += framed.events;
    const isWritable = this.#reply.data(framed.whole);
    return framed.ended ? { kind: "ended" } : { kind: "passed", isWritable };
  }

  /** Keeps a piece of a plain answer; false when it exceeds the bound. */
  buffer(chunk: Uint8Array): boolean {
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes > MAX_BUFFERED_BYTES) return false;
    this.#buffer.push(chunk);
    return true;
  }

  /** Forgets what another attempt must bring again from where the caller is. */
  reset(): void {
    this.#framer = new EventFramer();
    this.#buffer = [];
    this.#bufferedBytes = 0;
  }

  /** The body that is held. */
  get bufferedBody(): Buffer {
    return Buffer.concat(this.#buffer);
  }

  /** Sends what is held, and ends. */
  sendBuffered(head: AnswerHead): void {
    const body = this.bufferedBody;
    this.#sendHead(head);
    if (body.length > 0) this.#reply.data(body);
    this.#reply.end();
  }

  /** Ends a stream. */
  end(): void {
    this.#reply.end();
  }

  /** Sends a whole answer that was recorded before. */
  replay(head: AnswerHead, body: string | undefined): void {
    this.#reply.head(head.status, head.headers);
    if (body !== undefined) this.#reply.data(Buffer.from(body));
    this.#reply.end();
  }

  /** Says why there is no answer. */
  fail(problem: Problem): void {
    this.#reply.fail(problem);
  }

  /** Calls back once the caller can take more. */
  onDrain(callback: () => void): void {
    this.#reply.onDrain(callback);
  }

  #sendHead(head: AnswerHead | undefined): void {
    if (this.#headSent) return;
    this.#headSent = true;
    this.#firstByteMs = this.#timers.now() - this.#startedAt;
    this.#reply.head(head?.status ?? 200, head?.headers ?? {});
  }
}
