/**
 * Version of the protocol between the processes of one deployment.
 *
 * @module
 */

/** Header that carries the sender's protocol version. */
export const PROTOCOL_HEADER = "x-oleander-protocol";
/** Protocol version of this release. */
export const PROTOCOL_VERSION = 1;
/** Oldest protocol version that this release accepts. */
export const OLDEST_PROTOCOL_VERSION = 1;
