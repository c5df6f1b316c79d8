/**
 * JSON requests over HTTP to the platform's store and to hosts.
 *
 * @module
 */
import type { Agent } from "undici";
import type { Timers } from "../base/timers.ts";
import { TIMED_OUT, withTimeout } from "../base/timers.ts";

/** The response to a JSON request, or why there is none. */
export type JsonRequestResult =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: unknown;
  }
  /** The request was not sent. */
  | { readonly kind: "not_sent"; readonly detail: string }
  /** The request may have been sent and carried out. */
  | { readonly kind: "lost"; readonly detail: string }
  /** The same; no response came in time. */
  | { readonly kind: "timed_out"; readonly detail: string };

/** Error codes of connections that could not be opened. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/**
 * Sends a request, with `body` as JSON and `headers` if given, and waits up to `timeoutMs` for
 * the response. The body of the result is undefined when the response is not JSON.
 * Never rejects: a failure or timeout is a result of its own kind.
 *
 * @example
 * ```ts
 * const res = await requestJson(timers, agent, "GET", "http://10.1.0.4:8080/report", 300);
 * ```
 */
export async function requestJson(
  timers: Timers,
  agent: Agent,
  method: "GET" | "POST" | "DELETE",
  url: string,
  timeoutMs: number,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonRequestResult> {
  // undici's own timeouts are accurate only to half a second, and its abort
  // signals don't end a request whose connection is not open yet.
  const abort = new AbortController();
  const pending = sendJson(agent, method, url, abort.signal, body, headers);
  const res = await withTimeout(timers, pending, timeoutMs);
  if (res !== TIMED_OUT) return res;
  abort.abort();
  return { kind: "timed_out", detail: "timeout" };
}

async function sendJson(
  agent: Agent,
  method: "GET" | "POST" | "DELETE",
  url: string,
  signal: AbortSignal,
  body: unknown,
  headers: Readonly<Record<string, string>>,
): Promise<JsonRequestResult> {
  try {
    const { origin, pathname, search } = new URL(url);
    const res = await agent.request({
      origin,
      path: pathname + search,
      method,
      headers: body === undefined
        ? headers
        : { ...headers, "content-type": "application/json" },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal,
    });
    const text = await res.body.text();
    return {
      kind: "answer",
      status: res.statusCode,
      headers: res.headers,
      body: tryParseJson(text),
    };
  } catch (err) {
    const code = String((err as { code?: unknown }).code ?? "");
    const detail = code || (err as Error).message;
    return { kind: NOT_SENT_CODES.has(code) ? "not_sent" : "lost", detail };
  }
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
