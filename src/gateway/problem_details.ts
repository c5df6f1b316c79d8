/**
 * Maps failures to RFC 9457 problem details.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { Problem, ProblemKind } from "../core/gateway/caller_request.ts";

/** Kinds of failures that the HTTP layer detects before it calls the gateway. */
export type HttpProblemKind =
  | "malformed_request"
  | "body_too_large"
  | "not_authenticated"
  | "not_found";

/** Body of an `application/problem+json` response. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly detail: string;
  readonly outcome: ProblemKind | HttpProblemKind;
  readonly not_run: boolean;
  readonly request_id: string;
  readonly log: readonly string[];
}

/** Returns the HTTP status of a kind of failure. */
export function problemStatus(kind: ProblemKind | HttpProblemKind): number {
  return match(kind)
    .with("not_run", () => 503)
    .with("outcome_unknown", () => 504)
    .with("unknown_target", "not_found", () => 404)
    .with("idempotency_key_required", "malformed_request", () => 400)
    .with("idempotency_key_reused", "request_crashes_upstream", () => 422)
    .with("too_many_requests", () => 429)
    .with("stream_interrupted", "upstream_failed", () => 502)
    .with("body_too_large", () => 413)
    .with("not_authenticated", () => 401)
    .exhaustive();
}

/** Creates the response body that describes a failure. */
export function problemBody(
  problem: Omit<Problem, "kind"> & { kind: ProblemKind | HttpProblemKind },
  requestId: string,
): ProblemBody {
  return {
    type: `urn:oleander:problem:${problem.kind}`,
    title: problem.kind.replaceAll("_", " "),
    detail: problem.detail,
    outcome: problem.kind,
    not_run: problem.notRun,
    request_id: requestId,
    log: problem.log,
  };
}
