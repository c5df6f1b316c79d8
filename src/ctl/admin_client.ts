/**
 * Client of the administration API.
 *
 * @module
 */
import { request } from "undici";

/** Address and credentials for the API. */
export interface AdminClientOptions {
  /** IP address and port of any controller. */
  readonly address: string;
  readonly token: string;
}

/** A response of the API. */
export interface AdminResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/**
 * Sends requests to the administration API of one controller. Methods reject if
 * the controller can't be reached or its response isn't JSON.
 */
export class AdminClient {
  readonly #options: AdminClientOptions;

  constructor(options: AdminClientOptions) {
    this.#options = options;
  }

  /** Reads a resource below `/admin/v1/`. */
  get(resource: string): Promise<AdminResponse> {
    return this.#request("GET", resource, undefined);
  }

  /** Submits a change and waits until it is in force on all gateways. */
  submit(change: Record<string, unknown>): Promise<AdminResponse> {
    return this.#request("POST", "changes", change);
  }

  /** Settles an order of unknown outcome; `state` is `done` or `not_run`. */
  settleOrder(resource: string, state: string): Promise<AdminResponse> {
    return this.#request("POST", resource, { state });
  }

  async #request(
    method: "GET" | "POST",
    resource: string,
    body: Record<string, unknown> | undefined,
  ): Promise<AdminResponse> {
    const url = `http://${this.#options.address}/admin/v1/${resource}`;
    const res = await request(url, {
      method,
      headers: {
        authorization: `Bearer ${this.#options.token}`,
        "content-type": "application/json",
      },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    const json = await res.body.json();
    return { status: res.statusCode, body: json as Record<string, unknown> };
  }
}
