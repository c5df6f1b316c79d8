/**
 * Messages between gateways and controllers.
 *
 * @module
 */
import type { Outcome } from "../../base/outcome.ts";
import type {
  Configuration,
  GatewayMember,
} from "../../world/configuration.ts";
import type { DomainRecord } from "../../world/replica_group.ts";
import type { LoadReport } from "../../world/upstream.ts";
import type { ShareRequest, ShareResponse } from "../limits/share_allocator.ts";
import type { PartStatuses } from "../gossip/part_statuses.ts";
import type { Suspect } from "../retries/suspect_request_tracker.ts";
import type { Evidence } from "../routing/upstream_table.ts";

/**
 * Lifecycle of a gateway. A `withdrawn` gateway is no longer offered to callers
 * but accepts work until the TTL of earlier address responses has expired.
 */
export type Lifecycle =
  | "starting"
  | "serving"
  | "withdrawn"
  | "draining"
  | "stopped";

/** Revision of a domain record on the sender. */
export interface RecordDigest {
  readonly fabricDomain: string;
  readonly revision: number;
}

/** A load report, with its age when it was sent. */
export interface SharedReport {
  readonly upstreamId: string;
  readonly report: LoadReport;
  readonly ageMs: number;
}

/**
 * State that a gateway sends to a peer, which responds with a message of the
 * same type.
 */
export interface SyncMessage extends PartStatuses {
  readonly from: string;
  readonly incarnation: string;
  readonly lifecycle: Lifecycle;
  readonly configRevision: number;
  /** Present when the receiver was last known to have an older revision. */
  readonly cfg?: Configuration;
  /** Hash of the domain records; equal for processes with the same records. */
  readonly recordsHash: number;
  /** Present when the receiver's records were last known to differ. */
  readonly digests: readonly RecordDigest[];
  /** Records that the receiver was last known to lack. */
  readonly records: readonly DomainRecord[];
  readonly evidence: readonly Evidence[];
  /** Warm upstreams not sent to the receiver before. */
  readonly warm: readonly string[];
  /** Upstreams that turned cold recently. */
  readonly cold: readonly string[];
  readonly suspects: readonly Suspect[];
  readonly reports: readonly SharedReport[];
}

/** Reason why a call to a peer failed. */
export interface PeerError {
  readonly kind: "peer_unreachable" | "peer_rejected";
  readonly detail: string;
}

/** Sends calls to peers. */
export interface PeerNetwork {
  sync(
    peer: GatewayMember,
    msg: SyncMessage,
  ): Promise<Outcome<SyncMessage, PeerError>>;
  /** Requests a share of a cold upstream's budget from its owner. */
  requestShare(
    peer: GatewayMember,
    req: ShareRequest,
  ): Promise<Outcome<ShareResponse, PeerError>>;
}

/** Handles calls from peers. */
export interface PeerHandler {
  /** The newest configuration on this process. */
  readonly cfg: Configuration;
  handleSync(msg: SyncMessage): SyncMessage;
  handleShare(req: ShareRequest): ShareResponse;
}
