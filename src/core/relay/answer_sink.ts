/**
 * The caller's answer as it is put together from attempts.
 *
 * @module
 */
import type { RelayHead } from "../../ports/relay_client.ts";
import type { RelayReply } from "./relay_call.ts";
import { StreamSplice } from "./stream_splice.ts";

/** Largest answer held until it is whole, in bytes. */
const MAX_HELD_BYTES = 262_144;

/** What became of bytes from an upstream. */
export type SinkVerdict = "fine" | "wait_for_caller" | "broken";

/** Takes the answer of one attempt after another. */
export interface AnswerSink {
  /** Whether the caller has been sent anything. */
  readonly started: boolean;
  /** Last event passed on, for streams. */
  readonly lastEventId: string | undefined;
  begin(head: RelayHead): void;
  data(chunk: Uint8Array): SinkVerdict;
  /** Ends the answer; false when it isn't whole. */
  finish(): boolean;
  /** Forgets what an attempt left unfinished. */
  restart(): void;
}

/** Holds a plain answer until it is whole, unless it is large. */
export class HeldAnswer implements AnswerSink {
  readonly #reply: RelayReply;
  #head: RelayHead | undefined;
  #held: Uint8Array[] = [];
  #bytes = 0;
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

  data(chunk: Uint8Array): SinkVerdict {
    if (this.#started) return this.#pass(chunk);
    this.#held.push(chunk);
    this.#bytes += chunk.byteLength;
    if (this.#bytes <= MAX_HELD_BYTES) return "fine";
    return this.#release();
  }

  finish(): boolean {
    if (!this.#started) this.#release();
    this.#reply.end();
    return true;
  }

  restart(): void {
    this.#head = undefined;
    this.#held = [];
    this.#bytes = 0;
  }

  #release(): SinkVerdict {
    if (this.#head === undefined) return "broken";
    this.#started = true;
    this.#reply.head(this.#head.status, this.#head.headers);
    let verdict: SinkVerdict = "fine";
    for (const chunk of this.#held) verdict = this.#pass(chunk);
    this.#held = [];
    return verdict;
  }

  #pass(chunk: Uint8Array): SinkVerdict {
    return this.#reply.data(chunk) ? "fine" : "wait_for_caller";
  }
}

/** Passes events on as they come; goes on after the last event elsewhere. */
export class StreamAnswer implements AnswerSink {
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

  data(chunk: Uint8Array): SinkVerdict {
    const spliced = this.#splice.push(chunk);
    if (spliced === undefined) return "broken";
    if (spliced.events === 0) return "fine";
    this.#sendHead();
    let more = true;
    for (const part of spliced.chunks) more = this.#reply.data(part);
    return more ? "fine" : "wait_for_caller";
  }

  finish(): boolean {
    if (this.#splice.midEvent) return false;
    this.#sendHead();
    this.#reply.end();
    return true;
  }

  restart(): void {
    this.#splice.restart();
    if (!this.#started) this.#head = undefined;
  }

  #sendHead(): void {
    if (this.#started || this.#head === undefined) return;
    this.#started = true;
    this.#reply.head(this.#head.status, this.#head.headers);
  }
}
