/**
 * One node's connections to the virtual groups.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Random } from "../../src/base/random.ts";
import type { Timers } from "../../src/base/timers.ts";
import type { HostRef } from "../../src/ports/host_control.ts";
import type {
  RelayAttempt,
  RelayClient,
  RelayHandle,
  RelayHead,
  RelayListener,
} from "../../src/ports/relay_client.ts";
import { streamEvent } from "../../src/standins/fleet/scripted_upstreams.ts";
import type { EngineCluster } from "./engine_cluster.ts";
import { zoneName } from "./engine_cluster.ts";
import type { EngineGroup, EngineRequest } from "./engine_group.ts";
import type { OfferedRequest } from "./load_scenarios.ts";

/** One way within and between availability zones. */
export const HOP_MS = { near: 0.5, far: 2 } as const;

/** Dependencies of an {@linkcode EngineClient}. */
export interface EngineClientDependencies {
  readonly timers: Timers;
  readonly random: Random;
  readonly cluster: EngineCluster;
  readonly startMs: number;
  readonly zone: string;
  /** The request that an attempt belongs to. */
  readonly offeredOf: (requestId: string) => OfferedRequest;
}

/** Sends a node's requests to groups. */
export class EngineClient implements RelayClient {
  readonly #deps: EngineClientDependencies;
  readonly #open = new Set<() => void>();
  #isClosed = false;

  constructor(deps: EngineClientDependencies) {
    this.#deps = deps;
  }

  /** Closes all connections, as the node has ended. */
  close(): void {
    this.#isClosed = true;
    for (const close of [...this.#open]) close();
  }

  send(
    host: HostRef,
    attempt: RelayAttempt,
    listener: RelayListener,
  ): RelayHandle {
    const { timers, cluster, startMs, zone } = this.#deps;
    const group = cluster.groupOf(host.id);
    const hopMs = group !== undefined && zoneName(group.index) === zone
      ? HOP_MS.near
      : HOP_MS.far;
    const held: (() => void)[] = [];
    let isPaused = false;
    let isOpen = !this.#isClosed;
    let request: EngineRequest | undefined;
    const close = () => {
      if (!isOpen) return;
      isOpen = false;
      this.#open.delete(close);
      if (group === undefined) return;
      group.inFlight -= 1;
      if (request !== undefined) group.cancel(request);
    };
    const flush = () => {
      while (isOpen && !isPaused && held.length > 0) held.shift()?.();
    };
    const deliver = (callback: () => void) =>
      timers.after(hopMs, () => {
        held.push(callback);
        flush();
      });
    const end = (end: Parameters<RelayListener["onEnd"]>[0]) =>
      deliver(() => {
        request = undefined;
        close();
        listener.onEnd(end);
      });
    const handle = {
      cancel: close,
      discard: close,
      pause: () => {
        isPaused = true;
      },
      resume: () => {
        isPaused = false;
        flush();
      },
    };
    if (this.#isClosed) return handle;
    this.#open.add(close);
    if (group === undefined) {
      end({ kind: "not_sent", detail: "no such host" });
      return handle;
    }
    group.inFlight += 1;
    timers.after(hopMs + startMs, () => {
      if (!isOpen) return;
      if (!attempt.mayStart()) {
        return end({ kind: "withheld", detail: "not announced" });
      }
      if (this.#fails(group)) {
        deliver(() => listener.onHead(toHead(500)));
        return end({ kind: "ended" });
      }
      request = this.#toRequest(attempt, listener, deliver, end);
      group.submit(request);
    });
    return handle;
  }

  #fails(group: EngineGroup): boolean {
    return group.failsHalf && this.#deps.random.float() < 0.5;
  }

  #toRequest(
    attempt: RelayAttempt,
    listener: RelayListener,
    deliver: (callback: () => void) => void,
    end: (end: Parameters<RelayListener["onEnd"]>[0]) => void,
  ): EngineRequest {
    const { promptTokens, events } = this.#deps.offeredOf(attempt.requestId);
    const sentEvents = Number(attempt.lastEventId ?? 0);
    let nextId = sentEvents + 1;
    return {
      promptTokens: promptTokens + sentEvents,
      priority: attempt.priority,
      neededAt: Infinity,
      events: Math.max(1, events - sentEvents),
      onEvent: () => {
        const id = nextId++;
        if (id === sentEvents + 1) deliver(() => listener.onHead(toHead(200)));
        deliver(() => listener.onData(streamEvent(id)));
      },
      onEnd: () => end({ kind: "ended" }),
      onLost: () => end({ kind: "reset", detail: "lost" }),
    };
  }
}

function toHead(status: number): RelayHead {
  return {
    status,
    headers: ["content-type", "text/event-stream"],
    notRun: false,
    wrongHost: false,
    faultyMemberId: undefined,
    isStream: status === 200,
    rateLimit: { kind: "unlimited" },
  };
}

/**
 * Counts the events in what a node wrote to a caller.
 *
 * @example
 * ```ts
 * countEvents(streamEvent(1)); // 1
 * ```
 */
export function countEvents(chunk: Uint8Array): number {
  return Buffer.from(chunk).toString().split("\n\n").length - 1;
}
