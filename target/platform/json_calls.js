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
    try {
        const res = await request(url, {
            dispatcher: agent,
            method,
            headers: body === undefined
                ? undefined
                : { "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
            headersTimeout: limitMs,
            bodyTimeout: limitMs,
        });
        const text = await res.body.text();
        return { kind: "answer", status: res.statusCode, body: parsed(text) };
    }
    catch (err) {
        const code = err.code ?? "";
        const detail = code === "" ? err.message : code;
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
