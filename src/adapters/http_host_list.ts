/**
 * The platform's host list over HTTP.
 *
 * @module
 */
import { Agent } from "undici";
import { z } from "zod";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";
import type { HostList, HostListError } from "../platform/host_list.ts";
import type { Host } from "../world/host.ts";
import { callJson } from "./http_json.ts";

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

/** {@linkcode HostList} read by `GET /v1/hosts`. */
export class HttpHostList implements HostList {
  readonly #url: string;
  readonly #agent = new Agent({ connections: 2 });

  constructor(endpoint: string) {
    this.#url = `${endpoint}/v1/hosts`;
  }

  async list(): Promise<Outcome<readonly Host[], HostListError>> {
    const res = await callJson(this.#url, {
      dispatcher: this.#agent,
      timeoutMs: LIST_TIMEOUT_MS,
      method: "GET",
    });
    if (!res.ok) return unavailable(res.err.detail);
    const parsed = ListSchema.safeParse(res.value);
    if (!parsed.success) return unavailable("The host list is malformed");
    return success(parsed.data.hosts);
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function unavailable(
  detail: string,
): { readonly ok: false; readonly err: HostListError } {
  return failure({ kind: "host_list_unavailable", detail });
}
