/**
 * Interface of gateways and controllers to model engines: commands and status.
 * Nodes use `host_control.ts` instead.
 *
 * @module
 */
import type { Outcome } from "../base/outcome.ts";
import type { LoadReport } from "../world/upstream.ts";

/** A command to an engine. */
export type EngineCommand =
  | {
    readonly kind: "load";
    readonly groupId: string;
    readonly epoch: number;
    readonly model: string;
    readonly version: string;
    /** Addresses of all members, the head first. */
    readonly members: readonly string[];
  }
  | {
    readonly kind: "release";
    readonly groupId: string;
    readonly epoch: number;
  };

/** A command with the fields that make late delivery safe. */
export interface FencedCommand {
  readonly command: EngineCommand;
  /** Fencing token of the sender; only some engines check it. */
  readonly fence: number;
  /** Time from sending after which the command expires, in milliseconds. */
  readonly validForMs: number;
}

/** Phase of an engine in its group. */
export type EnginePhase = "idle" | "loading" | "ready";

/** Status that an engine reports. */
export interface EngineStatus extends LoadReport {
  readonly hostId: string;
  readonly phase: EnginePhase;
  readonly groupId: string;
  /** Weights that the engine has in memory, as `model@version`. */
  readonly weights: readonly string[];
}

/** Reason why a call to an engine failed. */
export type EngineError =
  | { readonly kind: "unreachable"; readonly detail: string }
  | { readonly kind: "rejected"; readonly detail: string }
  | { readonly kind: "malformed"; readonly detail: string };

/** Control interface of engines; plain services support its status call too. */
export interface EngineControl {
  status(address: string): Promise<Outcome<EngineStatus, EngineError>>;
  send(
    address: string,
    command: FencedCommand,
  ): Promise<Outcome<true, EngineError>>;
}
