/**
 * The log of routing and placement decisions.
 *
 * @module
 */

/** A routing or placement decision, or a state change that affects them. */
export interface Decision {
  readonly kind:
    | "route"
    | "retry"
    | "refuse"
    | "finish"
    | "close_upstream"
    | "cool_down"
    | "lifecycle"
    | "configuration"
    | "place"
    | "command"
    | "order";
  readonly request?: string;
  readonly upstream?: string;
  readonly reason: string;
  /** Ids of the upstreams that were considered. */
  readonly from?: readonly string[];
  /** Revision of the configuration or the domain record. */
  readonly revision?: number;
}

/** Records decisions. */
export interface DecisionLog {
  record(decision: Decision): void;
}
