/**
 * What really happened at engines and services, for independent checks.
 *
 * @module
 */

/** One thing that happened. */
export type JournalEvent =
  | {
    readonly kind: "request_started";
    readonly at: number;
    readonly hostId: string;
    readonly groupId: string;
    readonly epoch: number;
    readonly availabilityZone: string;
    readonly attemptId: string;
    readonly fingerprint: string;
    /** Whether every member was present in the epoch. */
    readonly whole: boolean;
    /** Whether every member has been present in this epoch before. */
    readonly formed: boolean;
    /** Time since a member went missing; 0 when whole. */
    readonly brokenForMs: number;
    /** Requests running, this one included. */
    readonly running: number;
    /** Most requests that the engine bears at this moment. */
    readonly bears: number;
    /** Whether the engine has not been warm since its start. */
    readonly justStarted: boolean;
    readonly leavingForMs: number;
  }
  | {
    readonly kind: "request_completed";
    readonly at: number;
    readonly hostId: string;
    readonly fingerprint: string;
    readonly whole: boolean;
  }
  | {
    readonly kind: "crashed";
    readonly at: number;
    readonly hostId: string;
    readonly cause: "overload" | "request" | "fault";
    readonly fingerprint: string;
  }
  | {
    readonly kind: "joined";
    readonly at: number;
    readonly hostId: string;
    readonly groupId: string;
    readonly epoch: number;
  }
  | {
    /** A load came while the host was in another group. */
    readonly kind: "stolen";
    readonly at: number;
    readonly hostId: string;
    readonly groupId: string;
  }
  | {
    readonly kind: "left";
    readonly at: number;
    readonly hostId: string;
    readonly groupId: string;
    readonly epoch: number;
  }
  | {
    readonly kind: "order_run";
    readonly at: number;
    readonly hostId: string;
    readonly availabilityZone: string;
    readonly service: string;
    readonly attemptId: string;
    readonly idempotencyKey: string;
    readonly leavingForMs: number;
  };

/** Receives events as they happen. */
export interface Journal {
  record(event: JournalEvent): void;
}

/** A journal that keeps nothing. */
export const NO_JOURNAL: Journal = { record: () => {} };
