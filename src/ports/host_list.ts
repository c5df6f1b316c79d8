/**
 * The platform's host list.
 *
 * @module
 */
import type { Outcome } from "../base/outcome.ts";
import type { Host } from "../world/host.ts";

/** Why the host list gave no answer. */
export interface HostListError {
  readonly kind: "host_list_unavailable";
  readonly detail: string;
}

/** Live and leaving hosts, shown with a lag. */
export interface HostList {
  list(): Promise<Outcome<readonly Host[], HostListError>>;
}
