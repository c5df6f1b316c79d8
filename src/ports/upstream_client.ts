/**
 * Client with which gateways send requests to upstreams. Nodes use
 * `relay_client.ts` instead.
 *
 * @module
 */
import type { Upstream } from "../world/upstream.ts";

/** One attempt at a request on one upstream. */
export interface AttemptRequest {
  /**
   * Unique per attempt. A response belongs to the attempt if it comes over the
   * attempt's connection and has its id.
   */
  readonly attemptId: string;
  readonly method: string;
  /** Path on the upstream. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Number of events that earlier attempts delivered, to be skipped. */
  readonly resumeAfter: number;
  /** Whether the response is an event stream with an end marker. */
  readonly streaming: boolean;
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** How an attempt ended. */
export type AttemptEnd =
  /** The transport delivered the complete body. */
  | { readonly kind: "ended" }
  /** No byte of the request reached the upstream. */
  | { readonly kind: "not_sent"; readonly detail: string }
  /**
   * After the request was sent, the upstream disconnected or violated the
   * protocol.
   */
  | { readonly kind: "broken"; readonly detail: string }
  /** The attempt was cancelled on this side. */
  | { readonly kind: "cancelled" };

/** Receives the response to one attempt. */
export interface AttemptListener {
  onHead(head: ResponseHead): void;
  onData(chunk: Uint8Array): void;
  /** Called once, last. */
  onEnd(end: AttemptEnd): void;
}

/** A running attempt. */
export interface Attempt {
  cancel(): void;
  /** Stops reading until {@linkcode Attempt.resume}. */
  pause(): void;
  resume(): void;
}

/** Sends attempts to engines and plain services. */
export interface UpstreamClient {
  send(
    upstream: Upstream,
    req: AttemptRequest,
    listener: AttemptListener,
  ): Attempt;
}
