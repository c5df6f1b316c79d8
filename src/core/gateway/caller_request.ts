/**
 * A caller's request and the interface that receives its response.
 *
 * @module
 */
import type { Customer, ServiceClass } from "../../world/configuration.ts";

/** The model or service that a request addresses. */
export type RequestTarget =
  | { readonly kind: "model"; readonly name: string }
  | { readonly kind: "service"; readonly name: string };

/** A parsed and authenticated request. */
export interface CallerRequest {
  readonly id: string;
  readonly customer: Customer;
  readonly serviceClass: ServiceClass;
  readonly target: RequestTarget;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Whether the caller requested an event stream. */
  readonly streaming: boolean;
  /** Equal for each submission of the same request by the same customer. */
  readonly fingerprint: string;
  /** Key of the prompt's prefix; requests with the same key share a cache. */
  readonly prefixKey: string;
  /**
   * Ids of the parts of the prompt that other requests may share: its messages
   * but the last. Empty for plain services.
   */
  readonly promptParts: readonly string[];
  readonly idempotencyKey?: string;
  /** Number of events that the caller received on earlier connections. */
  readonly resumeAfter: number;
}

/**
 * Types of refusals and failures; each has a documentation page for operators.
 */
export type ProblemKind =
  | "not_run"
  | "outcome_unknown"
  | "unknown_target"
  | "idempotency_key_required"
  | "idempotency_key_reused"
  | "request_crashes_upstream"
  | "too_many_requests"
  | "stream_interrupted"
  | "upstream_failed";

/** A typed failure of one request. */
export interface Problem {
  readonly kind: ProblemKind;
  readonly detail: string;
  /** Whether it is certain that the request did not run. */
  readonly notRun: boolean;
  readonly retryAfterMs?: number;
  /** Failed attempts, oldest first. */
  readonly log: readonly string[];
}

/** Receives the response to a request and sends it to the caller. */
export interface CallerResponse {
  /** Sends the status and headers. Called at most once. */
  writeHead(status: number, headers: Readonly<Record<string, string>>): void;
  /**
   * Sends bytes. False signals backpressure: wait for
   * {@linkcode CallerResponse.onDrain} before sending more.
   */
  write(chunk: Uint8Array): boolean;
  /** Ends a complete response. */
  end(): void;
  /** Ends the response with a failure, before or after the head was sent. */
  fail(problem: Problem): void;
  /**
   * Registers a callback for when more bytes can be sent after
   * {@linkcode CallerResponse.write} returned false.
   */
  onDrain(callback: () => void): void;
}
