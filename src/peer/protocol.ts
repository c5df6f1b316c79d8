/**
 * Version of the protocol between the system's processes.
 *
 * @module
 */

/** Header that carries the sender's protocol version. */
export const PROTOCOL_HEADER = "x-oleander-protocol";
/** Version that this release speaks. */
export const PROTOCOL_VERSION = 1;
/** Oldest version that this release answers. */
export const OLDEST_PROTOCOL_VERSION = 1;
