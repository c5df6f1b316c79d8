/**
 * The interface of a gateway for callers and operators, independent of the
 * routing implementation.
 *
 * @module
 */
import type { Configuration } from "../../world/configuration.ts";
import type { PeerHandler } from "../membership/messages.ts";
import type { CallerRequest, CallerResponse } from "./caller_request.ts";

/** Gateway addresses that a caller may use, in order of preference. */
export interface AddressList {
  readonly addresses: readonly string[];
  readonly ttlMs: number;
}

/** An accepted request. */
export interface AcceptedRequest {
  /** Reports that the caller has disconnected. */
  onCallerDisconnected(): void;
}

/** Serves callers; implemented by the product and by the naive baseline. */
export interface EntryGateway extends PeerHandler {
  /** The current configuration. */
  readonly cfg: Configuration;
  /** Why no new requests are accepted; undefined when they are. */
  readonly notReadyReason: string | undefined;
  /** Number of requests waiting for an upstream. */
  readonly waiting: number;
  start(): void;
  /** Accepts a request, or fails its response and returns undefined. */
  handle(
    request: CallerRequest,
    response: CallerResponse,
  ): AcceptedRequest | undefined;
  addresses(callerKey: string, zone: string | undefined): AddressList;
  /** Stops after the requests in flight have ended. */
  shutdown(): Promise<void>;
}
