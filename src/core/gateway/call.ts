/**
 * A caller's request and where its answer goes.
 *
 * @module
 */
import type { Customer, ServiceClass } from "../../world/configuration.ts";

/** What a call asks for. */
export type CallTarget =
  | { readonly kind: "model"; readonly name: string }
  | { readonly kind: "service"; readonly name: string };

/** A request that has been read and authenticated. */
export interface Call {
  readonly id: string;
  readonly customer: Customer;
  readonly serviceClass: ServiceClass;
  readonly target: CallTarget;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Whether the caller wants an event stream. */
  readonly streaming: boolean;
  /** Same for every sending of the same request by the same customer. */
  readonly fingerprint: string;
  readonly prefixKey: string;
  readonly idempotencyKey?: string;
  /** Events that the caller already has from an earlier connection. */
  readonly resumeAfter: number;
}

/** Types of refusal and failure; each has a page for operators. */
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

/** A typed failure of one call. */
export interface Problem {
  readonly kind: ProblemKind;
  readonly detail: string;
  /** Whether the request certainly did not run. */
  readonly notRun: boolean;
  readonly retryAfterMs?: number;
  /** What was tried, oldest first. */
  readonly log: readonly string[];
}

/** The caller's side of a call. */
export interface CallReply {
  /** Starts the answer. Called at most once. */
  head(status: number, headers: Readonly<Record<string, string>>): void;
  /** Sends bytes; false asks to wait for {@linkcode CallReply.onDrain}. */
  data(chunk: Uint8Array): boolean;
  /** Ends a whole answer. */
  end(): void;
  /** Ends the call with a failure, before or after the head. */
  fail(problem: Problem): void;
  /** Called when the caller reads again after {@linkcode CallReply.data} was false. */
  onDrain(callback: () => void): void;
}
