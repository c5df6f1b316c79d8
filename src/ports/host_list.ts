/**
 * The platform's host list.
 *
 * @module
 */
import type { Outcome } from "../base/outcome.ts";
import type { Host } from "../world/host.ts";

/** Reason why the host list could not be read. */
export interface HostListError {
  readonly kind: "host_list_unavailable";
  readonly detail: string;
}

/** Live and leaving hosts; the list lags behind their actual state. */
export interface HostList {
  list(): Promise<Outcome<readonly Host[], HostListError>>;
}
