/**
 * A caller over real sockets: looks up gateway addresses, sends requests and checks
 * the responses.
 *
 * @module
 */
import type { Agent } from "undici";
import { request } from "undici";

/** Initial addresses, API key and location of a caller. */
export interface CallerClientOptions {
  /** Caller addresses of some gateways. */
  readonly seeds: readonly string[];
  readonly key: string;
  /** Availability zone whose gateways are preferred. */
  readonly zone?: string;
  readonly dispatcher?: Agent;
}

/** A response as the caller received it. */
export interface CallerResponse {
  /** HTTP status; 0 if the request failed without a complete response. */
  readonly status: number;
  readonly text: string;
  /** Number of events received, without the end marker. */
  readonly events: number;
  /** Whether a stream has its end marker, or any other response status 200. */
  readonly isComplete: boolean;
  readonly firstByteMs: number;
  readonly totalMs: number;
}

/** Headers in addition to those of every request. */
export type ExtraHeaders = Readonly<Record<string, string>>;

const END_MARKER = "data: [DONE]\n\n";

/**
 * Sends each request to the first gateway address that doesn't refuse the
 * connection. Caches the addresses for their TTL.
 */
export class CallerClient {
  readonly #options: CallerClientOptions;
  readonly #now: () => number;
  #addresses: readonly string[] = [];
  #addressesExpireAt = -Infinity;

  constructor(options: CallerClientOptions, now: () => number) {
    this.#options = options;
    this.#now = now;
  }

  /** Streams a chat completion. */
  chat(model: string, content: string): Promise<CallerResponse> {
    const messages = [{ role: "user", content }];
    const body = { model, stream: true, messages };
    return this.#post("/v1/chat/completions", body, {});
  }

  /** Places an order at a plain service. */
  order(
    service: string,
    idempotencyKey: string,
    body: Record<string, unknown>,
  ): Promise<CallerResponse> {
    const headers = { "idempotency-key": idempotencyKey };
    return this.#post(`/services/${service}/orders`, body, headers);
  }

  /**
   * Returns the cached addresses, or looks them up once their TTL is over. Returns
   * the initial ones if no gateway responds.
   */
  async addresses(): Promise<readonly string[]> {
    if (this.#now() < this.#addressesExpireAt) return this.#addresses;
    const { zone, seeds } = this.#options;
    const query = zone === undefined ? "" : `?zone=${zone}`;
    for (const seed of [...this.#addresses, ...seeds]) {
      try {
        const res = await request(`http://${seed}/v1/addresses${query}`);
        const body = await res.body.json() as {
          addresses: string[];
          ttl_ms: number;
        };
        if (body.addresses.length === 0) continue;
        this.#addresses = body.addresses;
        this.#addressesExpireAt = this.#now() + body.ttl_ms;
        return this.#addresses;
      } catch {
        // The gateway is unreachable: try the next address.
      }
    }
    return seeds;
  }

  async #post(
    path: string,
    body: Record<string, unknown>,
    extra: ExtraHeaders,
  ): Promise<CallerResponse> {
    const startedAt = this.#now();
    for (const address of await this.addresses()) {
      try {
        return await this.#send(address, path, { body, extra, startedAt });
      } catch (err) {
        const code = (err as { code?: string }).code;
        if (code !== "ECONNREFUSED") {
          return failedResponse(this.#now() - startedAt);
        }
        this.#addressesExpireAt = -Infinity;
      }
    }
    return failedResponse(this.#now() - startedAt);
  }

  async #send(
    address: string,
    path: string,
    details: { body: unknown; extra: ExtraHeaders; startedAt: number },
  ): Promise<CallerResponse> {
    const res = await request(`http://${address}${path}`, {
      method: "POST",
      dispatcher: this.#options.dispatcher,
      headers: {
        authorization: `Bearer ${this.#options.key}`,
        "content-type": "application/json",
        ...details.extra,
      },
      body: JSON.stringify(details.body),
    });
    let text = "";
    let firstByteMs = 0;
    for await (const chunk of res.body) {
      if (text === "") firstByteMs = this.#now() - details.startedAt;
      text += chunk.toString("utf8");
    }
    const isStream = String(res.headers["content-type"])
      .startsWith("text/event-stream");
    return {
      status: res.statusCode,
      text,
      // In each event, the `data` line follows an `id` line.
      events: text.split("\ndata: {").length - 1,
      isComplete: isStream ? text.endsWith(END_MARKER) : res.statusCode === 200,
      firstByteMs,
      totalMs: this.#now() - details.startedAt,
    };
  }
}

function failedResponse(totalMs: number): CallerResponse {
  return {
    status: 0,
    text: "",
    events: 0,
    isComplete: false,
    firstByteMs: totalMs,
    totalMs,
  };
}
