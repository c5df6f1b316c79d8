/**
 * Faults of the event streams that upstreams send.
 *
 * @module
 */

/** What is wrong with a stream, for logs and metrics. */
export type StreamFaultKind =
  /** An id is higher than the one that must come next. */
  | "gap"
  /** An id is lower than the one that must come next. */
  | "order"
  /** The identity of an event is ambiguous, or several events are joined. */
  | "unreadable"
  /** An event exceeds the size limit. */
  | "too_large"
  /** The response ended where a stream can't end. */
  | "incomplete";

/** Why nothing more of an attempt's stream can be forwarded. */
export interface StreamFault {
  readonly kind: StreamFaultKind;
  /** What was received and what precedes it. */
  readonly detail: string;
}
