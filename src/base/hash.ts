/**
 * Hash functions: a fast non-cryptographic hash for placement, and SHA-256 for
 * secrets and bodies.
 *
 * @module
 */
import { createHash } from "node:crypto";
import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/**
 * Hashes text to an unsigned 32-bit integer.
 *
 * @example
 * ```ts
 * const shard = hash32(key) % shards;
 * ```
 */
export function hash32(text: string): number {
  return h32(text) >>> 0;
}

/**
 * Returns the hexadecimal SHA-256 digest.
 *
 * @example
 * ```ts
 * const stored = sha256(apiKey);
 * ```
 */
export function sha256(data: string | Uint8Array): string {
  return createHash("sha256").update(data).digest("hex");
}

/**
 * Orders nodes for a key by rendezvous hashing: removing a node moves only the
 * keys for which it came first.
 *
 * @example
 * ```ts
 * const [owner] = rendezvousOrder("upstream-7", ["gw-1", "gw-2"]);
 * ```
 */
export function rendezvousOrder(
  key: string,
  nodes: readonly string[],
): string[] {
  return nodes
    .map((node) => ({ node, rank: hash32(`${key}|${node}`) }))
    .sort((a, b) => b.rank - a.rank || (a.node < b.node ? -1 : 1))
    .map((entry) => entry.node);
}
