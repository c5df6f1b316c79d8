/**
 * Calls with JSON bodies to the platform's store and to servers.
 *
 * @module
 */
import { clearTimeout, setTimeout } from "node:timers";
import { request } from "undici";
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
    // The library's own time-outs are exact to half a second only, and its
    // signals don't end a call whose channel is not open yet.
    const abort = new AbortController();
    let timer;
    const late = new Promise((resolve) => {
        timer = setTimeout(() => {
            resolve({ kind: "lost", detail: "timeout" });
            abort.abort();
        }, limitMs);
    });
    const call = sendJson(agent, method, url, abort.signal, body);
    const res = await Promise.race([call, late]);
    clearTimeout(timer);
    return res;
}
async function sendJson(agent, method, url, signal, body) {
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
        return { kind: "answer", status: res.statusCode, body: parsed(text) };
    }
    catch (err) {
        const code = String(err.code ?? "");
        const detail = code || err.message;
        return { kind: NOT_SENT.has(code) ? "not_sent" : "lost", detail };
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
