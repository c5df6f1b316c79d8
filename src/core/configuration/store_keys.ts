/**
 * Keys in the key-value store.
 *
 * @module
 */

/** Key of the configuration document. */
export const CONFIG_KEY = "config/main";
/** Prefix of the records of fabric domains, one key for each domain. */
export const DOMAIN_PREFIX = "domains/";
/** Prefix of the registrations of running gateways, each bound to a lease. */
export const GATEWAY_PREFIX = "gateways/";
/** Key that the leading controller holds, bound to its lease. */
export const CONTROLLER_KEY = "controller/active";

/**
 * Returns the key of a fabric domain's record.
 *
 * @example
 * ```ts
 * domainKey("lima-a-1"); // "domains/lima-a-1"
 * ```
 */
export function domainKey(fabricDomain: string): string {
  return `${DOMAIN_PREFIX}${fabricDomain}`;
}

/**
 * Returns the key of a gateway's registration.
 *
 * @example
 * ```ts
 * gatewayKey("gw-1"); // "gateways/gw-1"
 * ```
 */
export function gatewayKey(id: string): string {
  return `${GATEWAY_PREFIX}${id}`;
}
