/**
 * Client for peers' Connect RPCs.
 *
 * @module
 */
import { Agent } from "node:http";
import type { Client, Interceptor } from "@connectrpc/connect";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";
import type {
  ShareRequest,
  ShareResponse,
} from "../core/limits/share_allocator.ts";
import type {
  PeerError,
  PeerNetwork,
  SyncMessage,
} from "../core/membership/messages.ts";
import type { GatewayMember } from "../world/configuration.ts";
import { fromWire, toWire } from "./sync_codec.ts";
import { PeerService } from "./gen/peer_pb.ts";
import { PROTOCOL_HEADER, PROTOCOL_VERSION } from "./protocol.ts";

const CALL_TIMEOUT_MS = 800;

/** {@linkcode PeerNetwork} over HTTP/1.1 keep-alive connections. */
export class PeerClient implements PeerNetwork {
  readonly #clients = new Map<string, Client<typeof PeerService>>();
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 4 });
  readonly #authenticate: Interceptor;

  constructor(peerKey: string) {
    this.#authenticate = (next) => (req) => {
      req.header.set("authorization", `Bearer ${peerKey}`);
      req.header.set(PROTOCOL_HEADER, String(PROTOCOL_VERSION));
      return next(req);
    };
  }

  async sync(
    peer: GatewayMember,
    msg: SyncMessage,
  ): Promise<Outcome<SyncMessage, PeerError>> {
    try {
      const client = this.#clientFor(peer.peerAddress);
      const res = await client.sync({ news: toWire(msg) });
      const received = fromWire(res.news, msg.configRevision);
      if (received !== undefined) return success(received);
      return failure({ kind: "peer_rejected", detail: "Malformed response" });
    } catch (err) {
      return failure(toPeerError(err));
    }
  }

  async requestShare(
    peer: GatewayMember,
    req: ShareRequest,
  ): Promise<Outcome<ShareResponse, PeerError>> {
    try {
      const { share, warm } = await this.#clientFor(peer.peerAddress)
        .requestShare({ ...req });
      return success({ share, warm });
    } catch (err) {
      return failure(toPeerError(err));
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  #clientFor(address: string): Client<typeof PeerService> {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = createClient(
        PeerService,
        createConnectTransport({
          baseUrl: `http://${address}`,
          httpVersion: "1.1",
          useBinaryFormat: true,
          defaultTimeoutMs: CALL_TIMEOUT_MS,
          interceptors: [this.#authenticate],
          nodeOptions: { agent: this.#agent },
        }),
      );
      this.#clients.set(address, client);
    }
    return client;
  }
}

function toPeerError(err: unknown): PeerError {
  const detail = err instanceof Error ? err.message : String(err);
  const isRejected = err instanceof ConnectError &&
    (err.code === Code.Unauthenticated || err.code === Code.InvalidArgument);
  return { kind: isRejected ? "peer_rejected" : "peer_unreachable", detail };
}
