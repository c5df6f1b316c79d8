/**
 * Events at engines and services. They are recorded independently of the serving
 * system, so that its behaviour can be checked against them.
 *
 * @module
 */

/**
 * An event at an engine or a service. Times are in milliseconds of the
 * simulation's timers.
 */
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
    /** Whether every member is present in this epoch at this time. */
    readonly isComplete: boolean;
    /** Whether all members have been ready at the same time in this epoch. */
    readonly wasComplete: boolean;
    /** Time since a member went missing; 0 if every member is present. */
    readonly incompleteForMs: number;
    /** Number of running requests, including this one. */
    readonly running: number;
    /** Concurrent requests that the engine tolerates at this time. */
    readonly maxRunning: number;
    /** Whether the engine has not been warm since it last started or joined. */
    readonly isFirstWarmUp: boolean;
    /** Time since the host began to leave; 0 if it is not leaving. */
    readonly leavingForMs: number;
  }
  | {
    readonly kind: "request_completed";
    readonly at: number;
    readonly hostId: string;
    readonly fingerprint: string;
    /** Whether every member was present when the response ended. */
    readonly isComplete: boolean;
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
    /** A load command arrived while the host was in another group. */
    readonly kind: "loaded_while_in_group";
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
    /** An instance of a plain service ran a request. */
    readonly kind: "order_run";
    readonly at: number;
    readonly hostId: string;
    readonly availabilityZone: string;
    readonly service: string;
    readonly attemptId: string;
    readonly idempotencyKey: string;
    readonly leavingForMs: number;
  };

/** Records events as they occur. */
export interface Journal {
  record(event: JournalEvent): void;
}

/** A journal that discards its events. */
export const NO_JOURNAL: Journal = { record: () => {} };
