/**
 * Interface of nodes to hosts that serve in replica groups: commands and
 * reports. Gateways and controllers use `engine_control.ts` instead.
 *
 * @module
 */
import type { Outcome } from "../base/outcome.ts";
import type { HostReport } from "../world/serving_host.ts";

/** A command to a host. */
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
    /** `finish` completes queued requests; `cut` drops them. */
    readonly mode: "finish" | "cut";
  }
  | { readonly kind: "leave"; readonly group: string; readonly epoch: number }
  | { readonly kind: "stage"; readonly model: string };

/** A host's reply to a command. */
export type CommandReply =
  /** The command has begun and increases the host's command count. */
  | "begun"
  /** The host is in the requested state already. */
  | "done"
  /**
   * The command does not fit the host's state, or the command count differs
   * from the expected one.
   */
  | "conflict"
  /** The host has seen a newer epoch or another list of members. */
  | "stale"
  /** The address belongs to another host. */
  | "wrong_host"
  /** The host does not support the command. */
  | "unknown";

/** Reason why a call to a host failed; a command may still take effect. */
export interface HostControlError {
  readonly kind: "refused" | "silent" | "malformed";
  readonly detail: string;
}

/** Id and address of a host. */
export interface HostRef {
  readonly id: string;
  readonly address: string;
}

/** Control interface of hosts. */
export interface HostControl {
  report(host: HostRef): Promise<Outcome<HostReport, HostControlError>>;
  /**
   * Sends a command. With `expectedSeq`, the host rejects the command if its
   * command count differs.
   */
  command(
    host: HostRef,
    command: HostCommand,
    expectedSeq: number | undefined,
  ): Promise<Outcome<CommandReply, HostControlError>>;
}
