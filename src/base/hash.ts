/**
 * Hash functions: a fast non-cryptographic hash for placement, and SHA-256 for
 * secrets and bodies.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** Primes of the xxHash algorithm. */
const PRIME_1 = 0x9e3779b1;
const PRIME_2 = 0x85ebca77;
const PRIME_3 = 0xc2b2ae3d;
const PRIME_4 = 0x27d4eb2f;
const PRIME_5 = 0x165667b1;
/** Bytes that a step of the algorithm takes, as four lanes of four. */
const STRIPE_BYTES = 16;

/**
 * Hashes text to an unsigned 32-bit integer, by XXH32 of its UTF-8 bytes. Written
 * here, as a WebAssembly module has to be compiled at each start of a process.
 *
 * @example
 * ```ts
 * const shard = hash32(key) % shards;
 * ```
 */
export function hash32(text: string): number {
  const bytes = Buffer.from(text, "utf8");
  const stripesEnd = bytes.length - bytes.length % STRIPE_BYTES;
  let hash = stripesEnd === 0 ? PRIME_5 : hashStripes(bytes, stripesEnd);
  hash = (hash + bytes.length) | 0;
  let at = stripesEnd;
  for (; at + 4 <= bytes.length; at += 4) {
    hash = (hash + Math.imul(bytes.readUInt32LE(at), PRIME_3)) | 0;
    hash = Math.imul(rotateLeft(hash, 17), PRIME_4);
  }
  for (; at < bytes.length; at++) {
    hash = (hash + Math.imul(bytes[at], PRIME_5)) | 0;
    hash = Math.imul(rotateLeft(hash, 11), PRIME_1);
  }
  hash = Math.imul(hash ^ (hash >>> 15), PRIME_2);
  hash = Math.imul(hash ^ (hash >>> 13), PRIME_3);
  return (hash ^ (hash >>> 16)) >>> 0;
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

function hashStripes(bytes: Buffer, end: number): number {
  const lanes = [(PRIME_1 + PRIME_2) | 0, PRIME_2, 0, -PRIME_1 | 0];
  for (let at = 0; at < end; at += STRIPE_BYTES) {
    for (let lane = 0; lane < lanes.length; lane++) {
      const input = bytes.readUInt32LE(at + lane * 4);
      const sum = (lanes[lane] + Math.imul(input, PRIME_2)) | 0;
      lanes[lane] = Math.imul(rotateLeft(sum, 13), PRIME_1);
    }
  }
  const [a, b, c, d] = lanes;
  return rotateLeft(a, 1) + rotateLeft(b, 7) + rotateLeft(c, 12) +
    rotateLeft(d, 18);
}

function rotateLeft(value: number, bits: number): number {
  return (value << bits) | (value >>> (32 - bits));
}
