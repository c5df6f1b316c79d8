/**
 * Client with which nodes relay callers' requests to hosts, with bytes
 * unchanged. Gateways use `upstream_client.ts` instead.
 *
 * @module
 */
import type { HostRef } from "./host_control.ts";

/** Alternating header names and values, in the order received. */
export type RawHeaders = readonly string[];

/** One attempt at a request. */
export interface RelayAttempt {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  /** Timeout that is sent to the host, in milliseconds. */
  readonly deadlineMs: number;
  readonly customer: string | undefined;
  /** Id of the last event that the caller received. */
  readonly lastEventId: string | undefined;
  /** 0 is admitted first. */
  readonly priority: number;
  /**
   * Whether the request may run twice. Only such a request is sent over a
   * connection that was idle for long, since the host may have closed it.
   */
  readonly idempotent: boolean;
  /**
   * Called when a connection is open, before anything is sent: whether the host
   * may still receive the request. If not, the attempt ends as withheld.
   */
  readonly mayStart: () => boolean;
}

/** Whether a host names a rate limit in a response. */
export type StatedRateLimit =
  /** Requests per second that it takes from all nodes together. */
  | { readonly kind: "limited"; readonly perSecond: number }
  | { readonly kind: "unlimited" }
  /** It names one that can't be read; what it named before still holds. */
  | { readonly kind: "malformed"; readonly text: string };

/** Status and headers of a host's response. */
export interface RelayHead {
  readonly status: number;
  /** Headers to relay to the caller. */
  readonly headers: RawHeaders;
  /**
   * Whether the host guarantees that the request did not run and will not run.
   */
  readonly notRun: boolean;
  /** Whether the address belongs to another host. */
  readonly wrongHost: boolean;
  /** Id of the group member that the host reports as faulty. */
  readonly faultyMemberId: string | undefined;
  /** Whether the response is an event stream. */
  readonly isStream: boolean;
  readonly rateLimit: StatedRateLimit;
}

/** How an attempt ended. */
export type RelayEnd =
  /** The complete response was received. */
  | { readonly kind: "ended" }
  /** No byte of the request was sent. */
  | { readonly kind: "not_sent"; readonly detail: string }
  /** No byte was sent, as `mayStart` returned false. */
  | { readonly kind: "withheld"; readonly detail: string }
  /** The connection was reset or closed. */
  | { readonly kind: "reset"; readonly detail: string }
  /** The host violated the protocol. */
  | { readonly kind: "malformed"; readonly detail: string };

/** Receives the response to one attempt. */
export interface RelayListener {
  onHead(head: RelayHead): void;
  onData(chunk: Uint8Array): void;
  /**
   * Called once, last; never after {@linkcode RelayHandle.cancel} or
   * {@linkcode RelayHandle.discard}.
   */
  onEnd(end: RelayEnd): void;
}

/** A running attempt. */
export interface RelayHandle {
  /** Closes the connection. */
  cancel(): void;
  /**
   * Ignores the rest of the response. Its connection is closed unless the
   * response ends within `MAX_DISCARD_MS` and `MAX_DISCARDED_BYTES`.
   */
  discard(): void;
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
