/**
 * Calls with JSON bodies to the platform's store and to servers.
 *
 * @module
 */
import { clearTimeout, setTimeout } from "node:timers";
import { request } from "undici";
/** The time of a call is up. */
class LimitReached extends Error {
    constructor() {
        super("timeout");
    }
}
/** Errors of a channel that could not be opened. */
const NOT_SENT = new Set([
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
 * const res = await callJson(agent, "GET", "http://10.1.0.4:8080/report", 300);
 * ```
 */
export async function callJson(agent, method, url, limitMs, body) {
    // The library's own time-outs are only exact to half a second.
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(new LimitReached()), limitMs);
    try {
        const res = await request(url, {
            dispatcher: agent,
            method,
            headers: body === undefined
                ? undefined
                : { "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
            signal: abort.signal,
        });
        const text = await res.body.text();
        return { kind: "answer", status: res.statusCode, body: parsed(text) };
    }
    catch (err) {
        const code = String(err.code ?? "");
        const detail = code || err.message;
        return { kind: NOT_SENT.has(code) ? "not_sent" : "lost", detail };
    }
    finally {
        clearTimeout(timer);
    }
}
function parsed(text) {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
