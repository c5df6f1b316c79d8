/**
 * Passing a caller's request on to a host, bytes unchanged.
 *
 * @module
 */
import type { HostRef } from "./host_control.ts";

/** Pairs of header names and values, in the order they came. */
export type RawHeaders = readonly string[];

/** One sending of a request. */
export interface RelayAttempt {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  /** Time that the host has, in milliseconds. */
  readonly deadlineMs: number;
  readonly customer: string | undefined;
  /** Last event that the caller has. */
  readonly lastEventId: string | undefined;
  /** 0 is admitted first. */
  readonly urgency: number;
  /** Whether a connection that has been idle for long may be used. */
  readonly idempotent: boolean;
}

/** Head of a host's answer. */
export interface RelayHead {
  readonly status: number;
  /** Headers to pass on to the caller. */
  readonly headers: RawHeaders;
  /** Whether the host promises that nothing ran and nothing will. */
  readonly notRun: boolean;
  /** Another host has the address. */
  readonly wrongHost: boolean;
  /** The member that the host blames. */
  readonly atFault: string | undefined;
  /** Whether the answer is an event stream. */
  readonly isStream: boolean;
}

/** How an attempt ended. */
export type RelayEnd =
  /** The whole answer came. */
  | { readonly kind: "ended" }
  /** No byte of the request was sent. */
  | { readonly kind: "not_sent"; readonly detail: string }
  /** The connection was reset or closed. */
  | { readonly kind: "reset"; readonly detail: string }
  /** The host broke the protocol. */
  | { readonly kind: "malformed"; readonly detail: string };

/** Receives the answer to one attempt. */
export interface RelayListener {
  onHead(head: RelayHead): void;
  onData(chunk: Uint8Array): void;
  /** Called once, last; never after {@linkcode RelayHandle.cancel}. */
  onEnd(end: RelayEnd): void;
}

/** A running attempt. */
export interface RelayHandle {
  cancel(): void;
  /** Stops reading until {@linkcode RelayHandle.resume}. */
  pause(): void;
  resume(): void;
}

/** Sends requests to hosts. */
export interface RelayClient {
  send(
    host: HostRef,
    attempt: RelayAttempt,
    listener: RelayListener,
  ): RelayHandle;
}
