/**
 * Writes the response to a caller's request as a Node.js HTTP response.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type {
  CallerResponse,
  Problem,
} from "../core/gateway/caller_request.ts";
import { problemBody, problemStatus } from "./problem_details.ts";

/** Writes a response or a typed failure to one caller. */
export class HttpResponseWriter implements CallerResponse {
  readonly #res: ServerResponse;
  readonly #requestId: string;
  #streaming = false;

  constructor(res: ServerResponse, requestId: string) {
    this.#res = res;
    this.#requestId = requestId;
  }

  writeHead(status: number, headers: Readonly<Record<string, string>>): void {
    const type = headers["content-type"] ?? "";
    this.#streaming = type.startsWith("text/event-stream");
    this.#res.writeHead(status, {
      ...headers,
      "x-request-id": this.#requestId,
      "cache-control": "no-store",
    });
  }

  write(chunk: Uint8Array): boolean {
    return this.#res.write(chunk);
  }

  end(): void {
    this.#res.end();
  }

  fail(problem: Problem): void {
    const body = problemBody(problem, this.#requestId);
    if (!this.#res.headersSent) {
      const retryAfter = problem.retryAfterMs === undefined
        ? {}
        : { "retry-after": String(Math.ceil(problem.retryAfterMs / 1000)) };
      this.#res.writeHead(problemStatus(problem.kind), {
        "content-type": "application/problem+json",
        "x-request-id": this.#requestId,
        ...retryAfter,
      });
      this.#res.end(JSON.stringify(body));
      return;
    }
    // The headers have already been sent. Sends an error event and ends the stream
    // without `data: [DONE]`, so that no client treats the response as complete.
    if (this.#streaming) {
      this.#res.write(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
    }
    this.#res.end();
  }

  onDrain(callback: () => void): void {
    this.#res.once("drain", callback);
  }
}
