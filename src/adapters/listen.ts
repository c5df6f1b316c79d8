/**
 * Starts HTTP servers.
 *
 * @module
 */
import type { Server } from "node:http";

/**
 * Listens on an IP address and port. Rejects if the address can't be bound.
 *
 * @example
 * ```ts
 * await listen(server, "127.0.0.1:7001");
 * ```
 */
export function listen(server: Server, address: string): Promise<void> {
  const colonIndex = address.lastIndexOf(":");
  const host = address.slice(0, colonIndex).replace(/^\[|\]$/g, "");
  const port = Number(address.slice(colonIndex + 1));
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
