/**
 * Server for peers' Connect RPCs.
 *
 * @module
 */
import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { Code, ConnectError } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { sha256 } from "../base/hash.ts";
import type { PeerHandler } from "../core/membership/messages.ts";
import { fromWire, toWire } from "./sync_codec.ts";
import { PeerService } from "./gen/peer_pb.ts";
import {
  OLDEST_PROTOCOL_VERSION,
  PROTOCOL_HEADER,
  PROTOCOL_VERSION,
} from "./protocol.ts";

const MAX_MESSAGE_BYTES = 8 * 1_048_576;

/**
 * Creates the HTTP server that peers call.
 *
 * @example
 * ```ts
 * createPeerServer(gateway, peerKey).listen(7101, "127.0.0.1");
 * ```
 */
export function createPeerServer(
  handler: PeerHandler,
  peerKey: string,
): Server {
  const adapter = connectNodeAdapter({
    readMaxBytes: MAX_MESSAGE_BYTES,
    routes: (router) => {
      router.service(PeerService, {
        sync(req) {
          const msg = fromWire(req.news, handler.cfg.revision);
          if (msg === undefined) throw malformed("The news is malformed");
          return { news: toWire(handler.handleSync(msg)) };
        },
        requestShare(req) {
          if (req.gatewayId === "" || req.upstreamId === "") {
            throw malformed("The request names no gateway or upstream");
          }
          return handler.handleShare(req);
        },
      });
    },
  });
  const expected = `Bearer ${peerKey}`;
  return createServer((req, res) => {
    if (!isSameSecret(req.headers.authorization ?? "", expected)) {
      return refuse(req, res, 401);
    }
    const version = Number(req.headers[PROTOCOL_HEADER]);
    // Peers may already run the next protocol version.
    const isSupported = version >= OLDEST_PROTOCOL_VERSION &&
      version <= PROTOCOL_VERSION + 1;
    if (!isSupported) return refuse(req, res, 400);
    adapter(req, res);
  });
}

function malformed(message: string): ConnectError {
  return new ConnectError(message, Code.InvalidArgument);
}

function refuse(req: IncomingMessage, res: ServerResponse, status: number) {
  req.resume();
  res.writeHead(status).end();
}

/** Compares digests of both secrets in constant time. */
function isSameSecret(given: string, expected: string): boolean {
  const a = sha256(given);
  const b = sha256(expected);
  return timingSafeEqual(
    new TextEncoder().encode(a),
    new TextEncoder().encode(b),
  );
}
