/**
 * Commands to hosts that serve in replica groups, and their reports.
 *
 * @module
 */
import type { Outcome } from "../base/outcome.ts";
import type { HostReport } from "../world/serving_host.ts";

/** What a host is told to do. */
export type HostCommand =
  | {
    readonly kind: "join";
    readonly group: string;
    readonly epoch: number;
    readonly model: string;
    /** Host ids, the head first. */
    readonly members: readonly string[];
  }
  | { readonly kind: "open"; readonly group: string; readonly epoch: number }
  | {
    readonly kind: "close";
    readonly group: string;
    readonly epoch: number;
    /** Whether waiting work is finished or cut. */
    readonly mode: "finish" | "cut";
  }
  | { readonly kind: "leave"; readonly group: string; readonly epoch: number }
  | { readonly kind: "stage"; readonly model: string };

/** What a host made of a command. */
export type CommandAnswer =
  /** The command has begun; the host counts it. */
  | "begun"
  /** The state holds already. */
  | "done"
  /** The command does not fit the state, or the expected count differs. */
  | "conflict"
  /** A newer epoch or another list of members was seen. */
  | "stale"
  /** Another host has the address. */
  | "wrong_host"
  /** The host knows no such command. */
  | "unknown";

/** Why a host gave no usable answer; the command may yet be carried out. */
export interface HostControlError {
  readonly kind: "refused" | "silent" | "malformed";
  readonly detail: string;
}

/** A host to be reached. */
export interface HostRef {
  readonly id: string;
  readonly address: string;
}

/** Control side of hosts. */
export interface HostControl {
  report(host: HostRef): Promise<Outcome<HostReport, HostControlError>>;
  /** Sends a command that is void when the host's count is not `expectedSeq`. */
  command(
    host: HostRef,
    command: HostCommand,
    expectedSeq: number | undefined,
  ): Promise<Outcome<CommandAnswer, HostControlError>>;
}
