/**
 * What gateways and controllers tell each other.
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
import type { ShareReply, ShareRequest } from "../limits/slot_owner.ts";
import type { Suspect } from "../retries/suspects.ts";
import type { Evidence } from "../routing/upstream_table.ts";

/**
 * Life of a gateway. A `withdrawn` one is no longer in address answers but takes
 * work until the answers given before have run out.
 */
export type Lifecycle =
  | "starting"
  | "serving"
  | "withdrawn"
  | "draining"
  | "stopped";

/** Revision of a domain record that the sender has. */
export interface RecordDigest {
  readonly fabricDomain: string;
  readonly revision: number;
}

/** A load report with its age when it was sent. */
export interface SharedReport {
  readonly upstreamId: string;
  readonly report: LoadReport;
  readonly ageMs: number;
}

/** A gateway's news for a peer, and the peer's answer in the same shape. */
export interface SyncMessage {
  readonly from: string;
  readonly incarnation: string;
  readonly lifecycle: Lifecycle;
  readonly configRevision: number;
  /** Present when the receiver was last known to have an older one. */
  readonly cfg?: Configuration;
  /** Same for processes that have the same domain records. */
  readonly recordsHash: number;
  /** Present when the receiver's records were last known to differ. */
  readonly digests: readonly RecordDigest[];
  /** Records that the receiver was last known to lack. */
  readonly records: readonly DomainRecord[];
  readonly evidence: readonly Evidence[];
  /** Warm upstreams of which the receiver was not told before. */
  readonly warm: readonly string[];
  readonly cold: readonly string[];
  readonly suspects: readonly Suspect[];
  readonly reports: readonly SharedReport[];
}

/** Why a peer gave no answer. */
export interface PeerError {
  readonly kind: "peer_unreachable" | "peer_rejected";
  readonly detail: string;
}

/** Calls to peers; one adapter carries them. */
export interface PeerNetwork {
  sync(
    peer: GatewayMember,
    msg: SyncMessage,
  ): Promise<Outcome<SyncMessage, PeerError>>;
  requestShare(
    peer: GatewayMember,
    req: ShareRequest,
  ): Promise<Outcome<ShareReply, PeerError>>;
}

/** Calls that a gateway answers. */
export interface PeerHandler {
  /** The newest configuration here. */
  readonly cfg: Configuration;
  handleSync(msg: SyncMessage): SyncMessage;
  handleShare(req: ShareRequest): ShareReply;
}
