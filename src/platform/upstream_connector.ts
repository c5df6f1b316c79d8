/**
 * Opens connections to hosts.
 *
 * @module
 */
import { buildConnector } from "undici";
import { guardConnections } from "../base/status_line_guard.ts";
import type { ConnectionObserver } from "./connection_observer.ts";
import type { WaitingRequests } from "./waiting_requests.ts";

const CONNECT_TIMEOUT_MS = 600;

/**
 * Creates an undici connector whose connections `observer` observes. It opens
 * none to an origin without waiting requests: undici asks for one after each
 * request that was aborted in flight.
 *
 * @example
 * ```ts
 * new Agent({ connect: createConnector(observer, waiting) });
 * ```
 */
export function createConnector(
  observer: ConnectionObserver,
  waiting: WaitingRequests,
): ReturnType<typeof buildConnector> {
  const connect = guardConnections(
    buildConnector({ timeout: CONNECT_TIMEOUT_MS }),
  );
  return (options, callback) => {
    const { protocol, host } = options;
    if (waiting.of(`${protocol}//${host}`) === 0) {
      callback(new Error("No request needs the connection"), null);
      return;
    }
    connect(options, (...result) => {
      const [err, socket] = result;
      if (err === null) observer.observe(socket);
      callback(...result);
    });
  };
}
