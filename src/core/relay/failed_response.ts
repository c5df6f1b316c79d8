/**
 * An upstream's error response that is kept while a retry may replace it.
 *
 * @module
 */
import type { RelayHead } from "../../ports/relay_client.ts";
import { MAX_FAILURE_BODY_BYTES } from "../../ports/response_limits.ts";
import type { RelayResponse } from "./relay_request.ts";

/** Collects an error response, up to {@linkcode MAX_FAILURE_BODY_BYTES}. */
export class FailedResponse {
  readonly head: RelayHead;
  readonly #body: Uint8Array[] = [];
  #bytes = 0;

  constructor(head: RelayHead) {
    this.head = head;
  }

  /** Adds a part of the body. Returns false if the body is too large to keep. */
  add(chunk: Uint8Array): boolean {
    this.#bytes += chunk.byteLength;
    if (this.#bytes > MAX_FAILURE_BODY_BYTES) return false;
    this.#body.push(chunk);
    return true;
  }

  /** Writes the complete response to the caller. */
  forward(response: RelayResponse): void {
    response.writeHead(this.head.status, this.head.headers);
    for (const chunk of this.#body) response.write(chunk);
    response.end();
  }
}
