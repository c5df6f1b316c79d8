/**
 * Calls with JSON bodies to the platform's store and to servers.
 *
 * @module
 */
import type { Agent } from "undici";
import { request } from "undici";
import type { Timers } from "../base/timers.ts";
import { TIMED_OUT, withTimeout } from "../base/timers.ts";

/** An answer, or why there is none. */
export type JsonResult =
  | { readonly kind: "answer"; readonly status: number; readonly body: unknown }
  /** The call was never sent. */
  | { readonly kind: "not_sent"; readonly detail: string }
  /** The call was sent and may have been carried out. */
  | { readonly kind: "lost"; readonly detail: string };

/** Errors of a channel that could not be opened. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/**
 * Makes one call.
 *
 * @example
 * ```ts
 * const res = await callJson(timers, agent, "GET", "http://10.1.0.4:8080/report", 300);
 * ```
 */
export async function callJson(
  timers: Timers,
  agent: Agent,
  method: "GET" | "POST" | "DELETE",
  url: string,
  timeoutMs: number,
  body?: unknown,
): Promise<JsonResult> {
  // The library's own time-outs are exact to half a second only, and its
  // signals don't end a call whose channel is not open yet.
  const abort = new AbortController();
  const call = sendJson(agent, method, url, abort.signal, body);
  const res = await withTimeout(timers, call, timeoutMs);
  if (res !== TIMED_OUT) return res;
  abort.abort();
  return { kind: "lost", detail: "timeout" };
}

async function sendJson(
  agent: Agent,
  method: "GET" | "POST" | "DELETE",
  url: string,
  signal: AbortSignal,
  body: unknown,
): Promise<JsonResult> {
  try {
    const res = await request(url, {
      dispatcher: agent,
      method,
      headers: body === undefined
        ? undefined
        : { "content-type": "application/json" },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal,
    });
    const text = await res.body.text();
    return { kind: "answer", status: res.statusCode, body: tryParseJson(text) };
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
