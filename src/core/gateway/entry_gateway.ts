/**
 * What callers and operators see of a gateway, whatever decides inside.
 *
 * @module
 */
import type { Configuration } from "../../world/configuration.ts";
import type { PeerHandler } from "../membership/messages.ts";
import type { Call, CallReply } from "./call.ts";

/** Addresses that a caller may use, best first. */
export interface AddressAnswer {
  readonly addresses: readonly string[];
  readonly ttlMs: number;
}

/** A request that has been taken. */
export interface RunningCall {
  /** Tells that nobody waits for the answer any more. */
  callerGone(): void;
}

/** Serves callers; implemented by the product and by the baseline. */
export interface EntryGateway extends PeerHandler {
  /** The configuration in force. */
  readonly cfg: Configuration;
  /** Why no new work is taken; undefined when it is. */
  readonly notReadyReason: string | undefined;
  /** Requests waiting for an upstream. */
  readonly waiting: number;
  start(): void;
  handle(call: Call, reply: CallReply): RunningCall | undefined;
  addresses(callerKey: string, zone: string | undefined): AddressAnswer;
  /** Stops gracefully. */
  shutdown(): Promise<void>;
}
