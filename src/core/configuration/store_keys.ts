/**
 * Keys that the product uses in the key-value service.
 *
 * @module
 */

/** The configuration document. */
export const CONFIG_KEY = "config/main";
/** Records of fabric domains, one key each. */
export const DOMAIN_PREFIX = "domains/";
/** Lease-bound registrations of running gateways. */
export const GATEWAY_PREFIX = "gateways/";
/** Lease-bound claim of the active controller. */
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
