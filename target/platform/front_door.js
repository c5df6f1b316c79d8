/**
 * Where clients' requests come in.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { forwardedHeaders, HEADER } from "./wire_names.js";
/** Limits until the first manifest is known. */
const FIRST_LIMITS = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};
/** The parser's own bound; the manifest's limit is checked on each request. */
const PARSER_HEADER_BYTES = 131_072;
const CHECK_CHANNELS_MS = 250;
const STATUS = {
    no_catalog: 503,
    unconfirmed: 503,
    unknown_route: 404,
    unknown_key: 401,
    overloaded: 503,
    no_replica: 503,
    shutting_down: 503,
    crashes_upstreams: 502,
    expired: 503,
    timed_out: 504,
    upstream_failed: 502,
};
/** Reads requests, and writes answers. */
export class FrontDoor {
    #server;
    #take;
    #limits = FIRST_LIMITS;
    #closing = false;
    constructor(take) {
        this.#take = take;
        this.#server = createServer({
            maxHeaderSize: PARSER_HEADER_BYTES,
            connectionsCheckingInterval: CHECK_CHANNELS_MS,
            requestTimeout: 0,
            noDelay: true,
        }, (req, res) => this.#request(req, res));
        this.#server.on("clientError", (err, socket) => {
            answerBadRequest(err, socket);
        });
        this.limits = FIRST_LIMITS;
    }
    /** Sets what clients may send, and how slowly. */
    set limits(limits) {
        this.#limits = limits;
        this.#server.headersTimeout = limits.headerTimeoutMs;
        this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    }
    /** Begins to listen. */
    listen(ip, port) {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen({ host: ip, port, backlog: 2_048 }, resolve);
        });
    }
    /** Ends each channel after its next answer. */
    closeChannels() {
        this.#closing = true;
        this.#server.closeIdleConnections();
    }
    #request(req, res) {
        const reply = new HttpReply(res, () => this.#closing);
        if (headerBytes(req) > this.#limits.maxHeaderBytes) {
            return reply.status(431, "The header is too large");
        }
        const target = req.url ?? "";
        const requestId = header(req, HEADER.attemptId);
        if (!target.startsWith("/") || requestId === undefined) {
            return reply.status(400, "A path and a request id are needed");
        }
        const declared = Number(req.headers["content-length"] ?? 0);
        if (declared > this.#limits.maxBodyBytes) {
            return reply.status(413, "The body is too large");
        }
        this.#readBody(req, reply, (body) => {
            const call = toCall(req, target, requestId, body);
            const running = this.#take(call, reply);
            if (running === undefined)
                return;
            res.once("close", () => {
                if (!reply.finished)
                    running.callerGone();
            });
            if (res.destroyed)
                running.callerGone();
        });
    }
    #readBody(req, reply, onBody) {
        const chunks = [];
        let bytes = 0;
        req.on("data", (chunk) => {
            bytes += chunk.length;
            if (bytes > this.#limits.maxBodyBytes) {
                req.removeAllListeners("data");
                reply.status(413, "The body is too large");
                return;
            }
            chunks.push(chunk);
        });
        req.on("end", () => {
            if (reply.finished)
                return;
            onBody(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
        });
        req.on("error", () => { });
    }
}
/** The client's side of one request. */
class HttpReply {
    #res;
    #closing;
    #finished = false;
    constructor(res, closing) {
        this.#res = res;
        this.#closing = closing;
        res.on("error", () => { });
    }
    /** Whether the answer has been ended or cut. */
    get finished() {
        return this.#finished;
    }
    head(status, headers) {
        if (this.#res.destroyed)
            return;
        const all = this.#closing() ? [...headers, "connection", "close"] : headers;
        this.#res.writeHead(status, all);
    }
    data(chunk) {
        if (this.#res.destroyed)
            return true;
        return this.#res.write(chunk);
    }
    end() {
        this.#finished = true;
        if (!this.#res.destroyed)
            this.#res.end();
    }
    refuse(refusal) {
        const { kind, detail, retryAfterMs } = refusal;
        const headers = [];
        if (retryAfterMs !== undefined) {
            headers.push(HEADER.retryAfter, (retryAfterMs / 1_000).toFixed(2));
        }
        if (kind === "shutting_down")
            headers.push("connection", "close");
        this.status(STATUS[kind], `${kind}: ${detail}`, headers);
    }
    cut() {
        this.#finished = true;
        this.#res.destroy();
    }
    onDrain(callback) {
        this.#res.once("drain", callback);
    }
    /** Answers with a status of the system's own. */
    status(status, detail, headers = []) {
        if (this.#finished)
            return;
        this.#finished = true;
        if (this.#res.destroyed)
            return;
        const body = Buffer.from(JSON.stringify({ error: detail }));
        const isTooLarge = status === 413 || status === 431;
        const close = this.#closing() || isTooLarge ? ["connection", "close"] : [];
        this.#res.writeHead(status, [
            "content-type",
            "application/json",
            "content-length",
            String(body.length),
            ...headers,
            ...(headers.includes("connection") ? [] : close),
        ]);
        this.#res.end(body);
    }
}
function toCall(req, target, requestId, body) {
    const [prompt, most] = numbers(header(req, HEADER.tokenCount));
    const [deadlineMs] = numbers(header(req, HEADER.deadlineMs));
    const [expectedTokens] = numbers(header(req, HEADER.lengthHint));
    const hostName = (req.headers.host ?? "").toLowerCase().replace(/:\d+$/, "");
    return {
        id: requestId,
        method: req.method ?? "GET",
        hostName,
        target,
        headers: forwardedHeaders(req.rawHeaders),
        body,
        apiKey: apiKeyOf(header(req, HEADER.authorization)),
        deadlineMs,
        lastEventId: header(req, HEADER.lastEventId),
        model: header(req, HEADER.model),
        promptTokens: prompt ?? 0,
        maxTokens: most ?? 0,
        expectedTokens,
    };
}
function header(req, name) {
    const value = req.headers[name];
    return typeof value === "string" ? value : undefined;
}
function numbers(text) {
    if (text === undefined)
        return [];
    return text.split(",").map((part) => {
        const value = Number(part.trim());
        return Number.isFinite(value) && value >= 0 ? value : undefined;
    });
}
function apiKeyOf(authorization) {
    return /^Token\s+(\S+)$/i.exec(authorization ?? "")?.[1];
}
/** Size of the request line and the header, in bytes. */
function headerBytes(req) {
    let bytes = (req.method ?? "").length + (req.url ?? "").length + 12;
    for (const text of req.rawHeaders)
        bytes += text.length + 2;
    return bytes;
}
function answerBadRequest(err, socket) {
    if (!socket.writable || err.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const line = err.code === "HPE_HEADER_OVERFLOW"
        ? "431 Request Header Fields Too Large"
        : err.code === "ERR_HTTP_REQUEST_TIMEOUT"
            ? "408 Request Timeout"
            : "400 Bad Request";
    socket.end(`HTTP/1.1 ${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
