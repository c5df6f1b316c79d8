/**
 * Where decisions are written down.
 *
 * @module
 */

/** One routing or placement decision, or a change of state behind one. */
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
  readonly from?: readonly string[];
  readonly revision?: number;
}

/** Receives decisions. */
export interface DecisionLog {
  decided(decision: Decision): void;
}
