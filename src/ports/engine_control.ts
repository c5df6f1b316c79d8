/**
 * Commands to model engines and their status.
 *
 * @module
 */
import type { Outcome } from "../base/outcome.ts";
import type { LoadReport } from "../world/upstream.ts";

/** What an engine is told to do. */
export type EngineCommand =
  | {
    readonly kind: "load";
    readonly groupId: string;
    readonly epoch: number;
    readonly model: string;
    readonly version: string;
    /** Addresses of all members, leader first. */
    readonly members: readonly string[];
  }
  | {
    readonly kind: "release";
    readonly groupId: string;
    readonly epoch: number;
  };

/** A command with what makes it safe to deliver late. */
export interface FencedCommand {
  readonly command: EngineCommand;
  /** Fencing number of the sender; checked by some engines only. */
  readonly fence: number;
  /** The command is void this long after it was sent. */
  readonly validForMs: number;
}

/** Progress of an engine in its group. */
export type EnginePhase = "idle" | "loading" | "ready";

/** What an engine says of itself. */
export interface EngineStatus extends LoadReport {
  readonly hostId: string;
  readonly phase: EnginePhase;
  readonly groupId: string;
  /** Weights that the engine has in memory, as `model@version`. */
  readonly weights: readonly string[];
}

/** Why an engine gave no usable answer. */
export type EngineError =
  | { readonly kind: "unreachable"; readonly detail: string }
  | { readonly kind: "rejected"; readonly detail: string }
  | { readonly kind: "malformed"; readonly detail: string };

/** Control side of a model engine; also answers status for plain services. */
export interface EngineControl {
  status(address: string): Promise<Outcome<EngineStatus, EngineError>>;
  send(
    address: string,
    command: FencedCommand,
  ): Promise<Outcome<true, EngineError>>;
}
