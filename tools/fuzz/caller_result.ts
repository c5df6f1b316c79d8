/**
 * Records the response to one request.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type {
  Refusal,
  RelayResponse,
} from "../../src/core/relay/relay_request.ts";
import type { RawHeaders } from "../../src/ports/relay_client.ts";

/** What the caller of one request received. */
export class CallerResult implements RelayResponse {
  readonly requestId: string;
  readonly isRepeatable: boolean;
  status: number | undefined;
  body = "";
  isComplete = false;
  isAborted = false;
  refusal: Refusal | undefined;
  endedAfterMs: number | undefined;
  readonly #startedAt: number;
  readonly #now: () => number;
  readonly #onEnd: () => void;

  constructor(
    requestId: string,
    isRepeatable: boolean,
    now: () => number,
    onEnd: () => void,
  ) {
    this.requestId = requestId;
    this.isRepeatable = isRepeatable;
    this.#now = now;
    this.#startedAt = now();
    this.#onEnd = onEnd;
  }

  writeHead(status: number, _headers: RawHeaders): void {
    this.status = status;
  }

  write(chunk: Uint8Array): boolean {
    this.body += Buffer.from(chunk).toString("latin1");
    return true;
  }

  end(): void {
    this.isComplete = true;
    this.#finish();
  }

  refuse(refusal: Refusal): void {
    this.refusal = refusal;
    this.#finish();
  }

  abort(): void {
    this.isAborted = true;
    this.#finish();
  }

  onDrain(callback: () => void): void {
    callback();
  }

  #finish(): void {
    this.endedAfterMs = this.#now() - this.#startedAt;
    this.#onEnd();
  }
}
