/**
 * JSON requests over HTTP to the platform and to engines.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import { request } from "undici";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";

/** Why a request got no usable response. */
export interface HttpJsonError {
  readonly kind: "unreachable" | "rejected" | "malformed";
  readonly detail: string;
}

/** Options of one request. */
export interface HttpJsonCall {
  readonly dispatcher: Dispatcher;
  readonly timeoutMs: number;
  readonly method: "GET" | "POST";
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * Sends a request and parses the response as JSON. A status of 400 or above is
 * an error.
 *
 * @example
 * ```ts
 * const res = await requestJson(url, { dispatcher, timeoutMs: 400, method: "GET" });
 * ```
 */
export async function requestJson(
  url: string,
  call: HttpJsonCall,
): Promise<Outcome<unknown, HttpJsonError>> {
  let text: string;
  let status: number;
  try {
    const res = await request(url, {
      method: call.method,
      dispatcher: call.dispatcher,
      headersTimeout: call.timeoutMs,
      bodyTimeout: call.timeoutMs,
      headers: { "content-type": "application/json", ...call.headers },
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
    });
    status = res.statusCode;
    text = await res.body.text();
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    return failure({ kind: "unreachable", detail });
  }
  if (status >= 400) {
    return failure({ kind: "rejected", detail: `Status ${status}: ${text}` });
  }
  try {
    return success(JSON.parse(text));
  } catch {
    return failure({ kind: "malformed", detail: "The answer is not JSON" });
  }
}
