/**
 * The platform's host list over HTTP.
 *
 * @module
 */
import { Agent, request } from "undici";
import { z } from "zod";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";
import type { HostList, HostListError } from "../ports/host_list.ts";
import type { Host } from "../world/host.ts";

const LIST_TIMEOUT_MS = 2_000;

const HostSchema = z.object({
  id: z.string().min(1),
  kind: z.enum(["engine", "service"]),
  address: z.string().min(1),
  availabilityZone: z.string().min(1),
  fabricDomain: z.string(),
  accelerators: z.int().min(0),
  bootId: z.string(),
  state: z.enum(["live", "leaving"]),
  service: z.string().optional(),
});
const ListSchema = z.object({ hosts: z.array(HostSchema) });

/** {@linkcode HostList} over `GET /v1/hosts`. */
export class HttpHostList implements HostList {
  readonly #url: string;
  readonly #agent = new Agent({ connections: 2 });
  #etag = "";
  #hosts: readonly Host[] = [];

  constructor(endpoint: string) {
    this.#url = `${endpoint}/v1/hosts`;
  }

  /**
   * Fetches the list. Returns the previous one if the platform responds 304 (not
   * modified) to its ETag, so an unchanged list costs only a few bytes.
   */
  async list(): Promise<Outcome<readonly Host[], HostListError>> {
    try {
      const res = await request(this.#url, {
        dispatcher: this.#agent,
        headersTimeout: LIST_TIMEOUT_MS,
        bodyTimeout: LIST_TIMEOUT_MS,
        headers: this.#etag === "" ? {} : { "if-none-match": this.#etag },
      });
      const text = await res.body.text();
      if (res.statusCode === 304) return success(this.#hosts);
      if (res.statusCode !== 200) {
        return unavailable(`Status ${res.statusCode}`);
      }
      const parsed = ListSchema.safeParse(JSON.parse(text));
      if (!parsed.success) return unavailable("The host list is malformed");
      const { etag } = res.headers;
      this.#etag = typeof etag === "string" ? etag : "";
      this.#hosts = parsed.data.hosts;
      return success(this.#hosts);
    } catch (err) {
      return unavailable(err instanceof Error ? err.message : String(err));
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function unavailable(
  detail: string,
): { readonly ok: false; readonly err: HostListError } {
  return failure({ kind: "host_list_unavailable", detail });
}
